#include "core/pool_state.hpp"

#include <algorithm>
#include <utility>

namespace hawthornspur::core
{

pool_summary summarize(pool const& p, std::string zone, time_point now)
{
    auto const slots = count_slots(p, now);
    pool_summary summary;
    summary.m_zone = std::move(zone);
    summary.m_slots = slots.m_slots;
    summary.m_queued = p.m_queued + p.m_retries.size();
    // A summary is used for half a second. The slots that are free just now
    // say little about that time; the average that arrivals found says more.
    summary.m_free_slots = static_cast<int>(p.m_mean_free);
    if (summary.m_queued == 0)
    {
        summary.m_free_slots =
            std::max(summary.m_free_slots, slots.m_healthy_free);
    }
    if (summary.m_free_slots == 0)
    {
        auto const rate = std::max(1, slots.m_limit);
        summary.m_expected_wait =
            mean(p.m_times) * static_cast<int>(summary.m_queued + 1) / rate;
    }
    return summary;
}

std::vector<target_handover> make_handover(pool const& p)
{
    std::vector<target_handover> counts;
    counts.reserve(p.m_targets.size());
    for (auto const& target : p.m_targets)
    {
        counts.push_back(
            {target.m_spec.m_id, target.m_in_flight, target.m_limit.m_limit});
    }
    return counts;
}

void apply_handover(pool& p, std::span<target_handover const> counts,
                    time_point release_at, time_point now)
{
    p.m_inherited.assign(counts.begin(), counts.end());
    p.m_inherited_until = release_at;
    if (release_at <= now)
    {
        return;
    }
    for (auto const& count : counts)
    {
        if (auto* target = find_target(p, count.m_id))
        {
            target->m_inherited = count.m_in_flight;
            target->m_inherited_until = release_at;
            target->m_limit.m_limit =
                std::clamp(count.m_limit, 1.0,
                           static_cast<double>(target->m_spec.m_slots));
        }
    }
}

} // namespace hawthornspur::core
