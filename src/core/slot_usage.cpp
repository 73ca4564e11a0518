#include "core/slot_usage.hpp"

#include "core/pool_state.hpp"

#include <algorithm>

namespace hawthornspur::core
{

namespace
{

/// Takes up to `count` of the remaining slots.
int take_slots(int& remaining, int count)
{
    auto const taken = std::min(remaining, count);
    remaining -= taken;
    return taken;
}

void add_target(target_entry const& target, time_point now, slot_usage& usage)
{
    auto remaining = target.m_spec.m_slots;
    usage.m_in_flight += take_slots(remaining, target.m_in_flight);
    if (target.m_outlier.m_ejected)
    {
        usage.m_ejected += remaining;
        return;
    }
    if (target.m_inherited_until > now)
    {
        usage.m_inherited +=
            take_slots(remaining, target.m_inherited_in_flight);
    }
    auto const held = std::count_if(
        target.m_held_slots.begin(), target.m_held_slots.end(),
        [&](held_slot const& slot) { return slot.m_until > now; });
    usage.m_held += take_slots(remaining, static_cast<int>(held));
    auto const free = take_slots(remaining, free_slots(target, now));
    (is_reported_slow(target.m_slowness_estimate, now)
         ? usage.m_free_at_slow_target
         : usage.m_free) += free;
    usage.m_above_limit += remaining;
}

} // namespace

slot_usage count_slot_usage(pool const& pool, time_point now)
{
    slot_usage usage;
    for (auto const& target : pool.m_targets)
    {
        if (!is_leaving(target))
        {
            add_target(target, now, usage);
        }
    }
    return usage;
}

} // namespace hawthornspur::core
