#include "core/pool_state.hpp"

#include <algorithm>
#include <utility>

namespace hawthornspur::core
{

pool_summary summarize(pool const& pool, std::string zone, time_point now)
{
    auto const slots = count_slots(pool, now);
    pool_summary summary;
    summary.m_zone = std::move(zone);
    summary.m_slots = slots.m_slots;
    summary.m_queued = pool.m_queued_count + pool.m_retry_queue.size();
    // A summary is used for half a second. The average number of free slots at
    // arrivals is more representative of that time than the current number.
    summary.m_free_slots = static_cast<int>(pool.m_mean_free_slots);
    if (summary.m_queued == 0)
    {
        summary.m_free_slots =
            std::max(summary.m_free_slots, slots.m_healthy_free);
    }
    if (summary.m_free_slots == 0)
    {
        auto const rate = std::max(1, slots.m_limit);
        summary.m_expected_wait = mean(pool.m_service_time) *
                                  static_cast<int>(summary.m_queued + 1) / rate;
    }
    return summary;
}

std::vector<target_handover> make_handover(pool const& pool)
{
    std::vector<target_handover> handover;
    handover.reserve(pool.m_targets.size());
    for (auto const& target : pool.m_targets)
    {
        handover.push_back(
            {target.m_spec.m_id, target.m_in_flight, target.m_limit.m_limit});
    }
    return handover;
}

void apply_handover(pool& pool, std::span<target_handover const> handover,
                    time_point release_at, time_point now)
{
    pool.m_handover.assign(handover.begin(), handover.end());
    pool.m_handover_until = release_at;
    if (release_at <= now)
    {
        return;
    }
    for (auto const& entry : handover)
    {
        if (auto* target = find_target(pool, entry.m_id))
        {
            target->m_inherited_in_flight = entry.m_in_flight;
            target->m_inherited_until = release_at;
            target->m_limit.m_limit =
                std::clamp(entry.m_limit, 1.0,
                           static_cast<double>(target->m_spec.m_slots));
        }
    }
}

} // namespace hawthornspur::core
