#ifndef HAWTHORNSPUR_CORE_POOL_ADMISSION_HPP
#define HAWTHORNSPUR_CORE_POOL_ADMISSION_HPP

#include "core/pool_state.hpp"

#include <cstdint>

namespace hawthornspur::core
{

/// Queues the request and dispatches waiting requests to free slots, or refuses
/// the request if it cannot finish in time or the queue is full. `sequence` is
/// its position in the order of arrival, `wait` the result of expected_wait.
void admit(pool& pool, arrival const& request, std::uint64_t sequence,
           duration wait, time_point now, pool_effects& out);

} // namespace hawthornspur::core

#endif
