#include "serve/quota_usage.hpp"

#include <algorithm>

namespace hawthornspur::serve
{

quota_counts& current_counts(quota_usage& usage, core::time_point now)
{
    constexpr core::duration interval = std::chrono::seconds(10);
    constexpr std::int64_t count = quota_usage::interval_count;
    auto const newest = now.time_since_epoch() / interval;
    auto const first_stale = std::max(usage.m_newest, newest - count) + 1;
    for (auto i = first_stale; i <= newest; ++i)
    {
        usage.m_intervals[static_cast<std::size_t>(i % count)] = {};
    }
    usage.m_newest = std::max(usage.m_newest, newest);
    return usage.m_intervals[static_cast<std::size_t>(usage.m_newest % count)];
}

quota_counts last_minute(quota_usage& usage, core::time_point now)
{
    current_counts(usage, now);
    quota_counts sum;
    for (auto const& counts : usage.m_intervals)
    {
        sum.m_admitted += counts.m_admitted;
        sum.m_refused += counts.m_refused;
    }
    return sum;
}

} // namespace hawthornspur::serve
