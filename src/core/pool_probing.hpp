#ifndef HAWTHORNSPUR_CORE_POOL_PROBING_HPP
#define HAWTHORNSPUR_CORE_POOL_PROBING_HPP

#include "core/pool_state.hpp"

namespace hawthornspur::core
{

/// Releases held slots, times out probes, readmits targets whose ejection is
/// over and probes targets that have not answered recently, within the budget.
void check_targets(pool& pool, time_point now, service_budgets& budgets,
                   pool_effects& out);

/// Makes the next probe check due now if the pool was idle, since the targets
/// of an idle pool are probed less often. Called before an arrival is recorded.
void resume_probing(pool& pool, time_point now);

/// Time at which check_targets has to be called next, or time_point::max().
time_point next_target_check(pool const& pool);

} // namespace hawthornspur::core

#endif
