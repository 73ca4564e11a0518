#include "core/retry_budget.hpp"

#include <algorithm>

namespace hawthornspur::core
{

void earn(retry_budget& budget)
{
    budget.m_tokens =
        std::min(budget.m_burst, budget.m_tokens + budget.m_ratio);
}

bool try_spend(retry_budget& budget)
{
    if (budget.m_tokens < 1)
    {
        return false;
    }
    budget.m_tokens -= 1;
    return true;
}

} // namespace hawthornspur::core
