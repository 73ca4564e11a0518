#ifndef HAWTHORNSPUR_CORE_POOL_PROBING_HPP
#define HAWTHORNSPUR_CORE_POOL_PROBING_HPP

#include "core/pool_state.hpp"

namespace hawthornspur::core
{

/// Readmits targets whose ejection is over and probes targets that have not
/// answered lately, as far as the budget allows.
void check_targets(pool& p, time_point now, service_budgets& budgets,
                   pool_effects& out);

/// When check_targets has something to do next.
/// Requests arrive after a pause, in which targets were asked seldom: the next
/// check is due now. Called before the arrival is noted.
void wake_probing(pool& p, time_point now);

time_point next_check(pool const& p);

} // namespace hawthornspur::core

#endif
