#include "core/repeat_budget.hpp"

#include <algorithm>
#include <cassert>

namespace hawthornspur::core
{

namespace
{

// A span sees the repeats of requests that arrived up to one lifetime before
// it. With an eighth of the span, steady load can use eight ninths of the
// ratio.
constexpr int lifetimes_per_window = 8;
constexpr double usable_share =
    lifetimes_per_window / (lifetimes_per_window + 1.0);
constexpr int periods_per_lifetime = 25;
// In one span, a token bucket gives its capacity and what is added meanwhile.
constexpr double spare_capacity_share = 0.5;

void remove_expired(repeat_budget& budget, time_point now)
{
    auto& periods = budget.m_periods;
    while (!periods.empty() &&
           periods.front().m_start + budget.m_lifetime <= now)
    {
        periods.pop_front();
    }
}

} // namespace

repeat_budget make_repeat_budget(repeat_limits const& limits, int hosts,
                                 time_point now)
{
    repeat_budget budget;
    budget.m_spare = make_token_bucket(0, 0, now);
    set_limits(budget, limits, hosts, now);
    return budget;
}

void set_limits(repeat_budget& budget, repeat_limits const& limits, int hosts,
                time_point now)
{
    assert(hosts > 0 && limits.m_window > duration::zero());
    budget.m_per_request = usable_share * limits.m_ratio;
    budget.m_lifetime = limits.m_window / lifetimes_per_window;
    std::chrono::duration<double> const window = limits.m_window;
    auto const spare = limits.m_burst / hosts;
    set_rate(budget.m_spare,
             (1 - spare_capacity_share) * spare / window.count(),
             spare_capacity_share * spare, now);
}

void record_request(repeat_budget& budget, time_point now)
{
    remove_expired(budget, now);
    if (now - budget.m_last_request >= budget.m_lifetime)
    {
        budget.m_spare.m_tokens = 0;
        budget.m_spare.m_updated_at = now;
    }
    budget.m_last_request = now;
    auto& periods = budget.m_periods;
    if (periods.empty() ||
        periods.back().m_start + budget.m_lifetime / periods_per_lifetime <=
            now)
    {
        periods.push_back({now, 0});
    }
    periods.back().m_unspent += budget.m_per_request;
}

bool try_spend(repeat_budget& budget, time_point now)
{
    remove_expired(budget, now);
    // Parts of requests add up to whole numbers with rounding errors.
    constexpr double one = 1 - 1e-9;
    double available = 0;
    for (auto const& period : budget.m_periods)
    {
        available += period.m_unspent;
    }
    auto const missing = std::max(0.0, one - available);
    if (missing > 0 && !try_take(budget.m_spare, missing, now))
    {
        return false;
    }
    auto owed = one - missing;
    for (auto& period : budget.m_periods)
    {
        auto const part = std::min(owed, period.m_unspent);
        period.m_unspent -= part;
        owed -= part;
    }
    return true;
}

} // namespace hawthornspur::core
