#ifndef HAWTHORNSPUR_CORE_POOL_DISPATCH_HPP
#define HAWTHORNSPUR_CORE_POOL_DISPATCH_HPP

#include "core/pool_state.hpp"

namespace hawthornspur::core
{

/// Gives free slots to waiting requests until one of the two runs out.
/// Requests that can no longer finish in time are refused.
void bind(pool& p, time_point now, pool_effects& out);

/// Sends a second attempt when the target of the first one turned slow, if a
/// fast one would still meet the objective. Load pattern: neighbours that make
/// a target seven times slower for half a second while it works.
void hedge_slow(pool& p, request_entry& request, time_point now,
                service_budgets& budgets, pool_effects& out);

/// Sends a second attempt of a request that takes unusually long, if a slot
/// is spare and the budget allows it; otherwise looks again later.
void hedge(pool& p, request_entry& request, time_point now,
           service_budgets& budgets, pool_effects& out);

/// Whether any target, free or not, may still get this request: usable and
/// not tried before.
bool has_untried_target(pool const& p, request_entry const& request);

/// Refuses a request in the queue whose time is over.
void refuse_overdue(pool& p, request_map::iterator request, pool_effects& out);

} // namespace hawthornspur::core

#endif
