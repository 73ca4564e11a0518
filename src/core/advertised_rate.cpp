#include "core/advertised_rate.hpp"

#include "core/pool_state.hpp"

#include <cassert>

namespace hawthornspur::core
{

bool on_rate_report(pool& pool, target_id target, std::optional<double> limit,
                    time_point now)
{
    assert(!limit || *limit >= 0);
    auto* entry = find_target(pool, target);
    if (entry == nullptr)
    {
        return false;
    }
    auto& rate = entry->m_rate;
    bool const is_changed = rate.m_limit != limit;
    rate.m_limit = limit;
    rate.m_reported_at = now;
    return is_changed;
}

std::vector<rate_usage> take_rate_usage(pool& pool)
{
    std::vector<rate_usage> usage;
    for (auto& target : pool.m_targets)
    {
        auto& rate = target.m_rate;
        if (rate.m_limit)
        {
            usage.push_back({target.m_spec.m_id, *rate.m_limit, rate.m_attempts,
                             rate.m_probes});
        }
        rate.m_attempts = 0;
        rate.m_probes = 0;
    }
    return usage;
}

} // namespace hawthornspur::core
