#ifndef HAWTHORNSPUR_CORE_RETRY_BUDGET_HPP
#define HAWTHORNSPUR_CORE_RETRY_BUDGET_HPP

namespace hawthornspur::core
{

/// Bounds retries and hedges to a share of the successes, so that failures do
/// not multiply the load.
struct retry_budget
{
    double m_ratio = 0.1;
    double m_burst = 10;
    double m_tokens = 0;
};

void earn(retry_budget& budget);

/// Takes one retry if the budget has one.
bool try_spend(retry_budget& budget);

} // namespace hawthornspur::core

#endif
