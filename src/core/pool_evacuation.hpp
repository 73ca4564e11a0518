#ifndef HAWTHORNSPUR_CORE_POOL_EVACUATION_HPP
#define HAWTHORNSPUR_CORE_POOL_EVACUATION_HPP

#include "core/pool_state.hpp"

namespace hawthornspur::core
{

/// Whether the zone of the pool is evacuated, so that no listed target may get
/// an attempt.
bool is_evacuated(pool const& pool);

/// Empties the queue of an evacuated pool: spills each waiting request to
/// another zone or refuses it. No target of the pool could take it before its
/// deadline. Does nothing in other pools.
void release_waiting(pool& pool, time_point now, pool_effects& out);

} // namespace hawthornspur::core

#endif
