#ifndef HAWTHORNSPUR_CORE_RETRY_BUDGET_HPP
#define HAWTHORNSPUR_CORE_RETRY_BUDGET_HPP

namespace hawthornspur::core
{

/// Limits retries and hedges to a share of the successful requests, so that
/// failures do not multiply the load.
struct retry_budget
{
    /// Tokens added by each success.
    double m_ratio = 0.1;
    /// Maximum number of tokens.
    double m_burst = 10;
    double m_tokens = 0;
};

/// Adds tokens for a success.
void earn(retry_budget& budget);

/// Takes one token. Returns false if there is none.
bool try_spend(retry_budget& budget);

} // namespace hawthornspur::core

#endif
