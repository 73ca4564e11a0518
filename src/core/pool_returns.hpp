#ifndef HAWTHORNSPUR_CORE_POOL_RETURNS_HPP
#define HAWTHORNSPUR_CORE_POOL_RETURNS_HPP

#include "core/pool_state.hpp"

namespace hawthornspur::core
{

/// Counts the request as a return if its caller has made an attempt before.
void record_return(pool& pool, arrival const& request, time_point now);

/// Counts the start of a request by the priority of its customer, if it names
/// one.
void count_start(pool& pool, arrival const& request, duration waited);

/// Counts a refusal by the priority of the customer, if the request names one.
void count_refusal(pool& pool, arrival const& request, result_code code);

} // namespace hawthornspur::core

#endif
