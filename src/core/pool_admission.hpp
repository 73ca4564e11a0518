#ifndef HAWTHORNSPUR_CORE_POOL_ADMISSION_HPP
#define HAWTHORNSPUR_CORE_POOL_ADMISSION_HPP

#include "core/pool_state.hpp"

#include <cstdint>

namespace hawthornspur::core
{

/// Queues the request and binds what can be bound, or refuses it at once if it
/// cannot finish in time or finds no room. `sequence` is its place in the order
/// of arrival and `wait` what expected_wait said.
void admit(pool& p, arrival const& request, std::uint64_t sequence,
           duration wait, time_point now, pool_effects& out);

} // namespace hawthornspur::core

#endif
