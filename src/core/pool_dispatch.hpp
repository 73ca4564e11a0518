#ifndef HAWTHORNSPUR_CORE_POOL_DISPATCH_HPP
#define HAWTHORNSPUR_CORE_POOL_DISPATCH_HPP

#include "core/pool_state.hpp"

namespace hawthornspur::core
{

/// Dispatches waiting requests to free slots, retries first. Spills requests
/// that another zone is expected to finish sooner, and refuses those that can
/// no longer finish before their deadline.
void dispatch_queued(pool& pool, time_point now, pool_effects& out);

/// Sends a second attempt to a fast target if the target of the first one
/// reports that it is slow, provided that the objective can still be met, a
/// slot is spare and the retry budget allows it. If the target is not slow or
/// no slot is spare, checks again later. Other workloads on its machine may
/// make a target seven times slower for half a second while it processes a
/// request.
void hedge_on_slow_target(pool& pool, request_entry& request, time_point now,
                          service_budgets& budgets, pool_effects& out);

/// Sends a second attempt of a request that takes unusually long if a slot is
/// spare and the retry budget allows it. If no slot is spare, checks again
/// later.
void hedge_on_delay(pool& pool, request_entry& request, time_point now,
                    service_budgets& budgets, pool_effects& out);

/// Whether there is a usable target, with or without a free slot, that the
/// request has not been sent to.
bool has_untried_target(pool const& pool, request_entry const& request);

/// Spills a request that was removed from the queue and has had no attempt, if
/// another zone has a free slot for it. Returns whether it was spilled; the
/// request is then erased.
bool spill_waiting(pool& pool, request_map::iterator request, time_point now,
                   pool_effects& out);

/// Refuses a waiting request that can no longer finish before its deadline.
void refuse_overdue(pool& pool, request_map::iterator request,
                    pool_effects& out);

} // namespace hawthornspur::core

#endif
