#include "core/pool_probing.hpp"

#include <algorithm>
#include <utility>

namespace hawthornspur::core
{

namespace
{

constexpr duration recent_answer_window = std::chrono::seconds(1);
constexpr duration probe_check_interval = std::chrono::milliseconds(250);
constexpr duration probe_timeout = std::chrono::seconds(1);
// A report of a target's speed is used for this long. Shorter costs more slots
// of the targets than better placement gains (docs/measurements-platform.md).
constexpr duration speed_refresh = std::chrono::milliseconds(150);
constexpr duration speed_check_interval = std::chrono::milliseconds(25);
// A pool without arrivals for this long asks its targets seldom.
constexpr duration active_pool_window = std::chrono::seconds(2);

bool asks_for_speed(pool const& p, time_point now)
{
    return now - p.m_last_arrival < active_pool_window &&
           std::any_of(p.m_targets.begin(), p.m_targets.end(),
                       [](target_entry const& target)
                       { return target.m_speed.m_reported.has_value(); });
}

bool try_probe(pool& p, target_entry& target, time_point now,
               service_budgets& budgets, pool_effects& out)
{
    // A probe opens its own connection, and both cost the target time.
    seconds const cost = p.m_rules.m_probe_cost + p.m_rules.m_connection_cost;
    if (!try_take(budgets.m_probe, cost.count(), now))
    {
        return false;
    }
    target.m_probe_pending = true;
    target.m_probed = now;
    out.emplace_back(probe_effect{target.m_spec.m_id});
    return true;
}

void end_ejection(pool& p, target_entry& target, time_point now,
                  service_budgets& budgets, pool_effects& out)
{
    bool const is_failing = target.m_outlier.m_consecutive_failures > 0;
    bool const has_answered = now - target.m_heard < recent_answer_window;
    if (has_answered && is_failing)
    {
        // Too early for a probe, and a live request might be lost.
        target.m_outlier.m_ejected_until =
            target.m_heard + recent_answer_window;
        return;
    }
    // A target that answers, if slowly, is tried with one live request at a
    // time, and so is any target without budget for a probe.
    if (has_answered ||
        (!target.m_probe_pending && !try_probe(p, target, now, budgets, out)))
    {
        readmit(target.m_outlier);
        target.m_limit.m_limit = 1;
    }
}

/// A target may be probed when nothing else tells how it does. Targets that
/// announced draining are probed to learn when they are back.
time_point last_asked(target_entry const& target)
{
    return std::max({target.m_heard, target.m_probed, target.m_first_listed});
}

bool may_be_probed(target_entry const& target)
{
    return target.m_listed && !target.m_spec.m_leaving &&
           !target.m_probe_pending;
}

/// A target that tells how fast it works is asked again while its slots may be
/// used and it has not answered for a while, but not when it is full.
bool is_speed_old(pool const& p, target_entry const& target, time_point now)
{
    return target.m_speed.m_reported &&
           now - p.m_last_arrival < active_pool_window &&
           target.m_in_flight < target.m_spec.m_slots &&
           now - last_asked(target) >= speed_refresh;
}

bool is_probe_due(pool const& p, target_entry const& target, time_point now)
{
    return may_be_probed(target) &&
           (is_speed_old(p, target, now) ||
            (target.m_in_flight == 0 &&
             now - last_asked(target) >= recent_answer_window));
}

target_entry* next_to_probe(pool& p, time_point now)
{
    target_entry* longest = nullptr;
    for (auto& target : p.m_targets)
    {
        if (is_probe_due(p, target, now) &&
            (longest == nullptr || target.m_heard < longest->m_heard))
        {
            longest = &target;
        }
    }
    return longest;
}

} // namespace

void check_targets(pool& p, time_point now, service_budgets& budgets,
                   pool_effects& out)
{
    for (auto& target : p.m_targets)
    {
        std::erase_if(target.m_held,
                      [&](held_slot held) { return held.m_until <= now; });
        if (target.m_probe_pending && now - target.m_probed >= probe_timeout)
        {
            target.m_probe_pending = false;
            if (target.m_outlier.m_ejected)
            {
                eject(target.m_outlier, now);
            }
            else if (note_failure(target.m_outlier))
            {
                eject_if_allowed(p, target, now);
            }
        }
        if (!is_leaving(target) && target.m_outlier.m_ejected &&
            target.m_outlier.m_ejected_until <= now)
        {
            end_ejection(p, target, now, budgets, out);
        }
    }
    if (now < p.m_next_probe_check)
    {
        return;
    }
    p.m_next_probe_check =
        now +
        (asks_for_speed(p, now) ? speed_check_interval : probe_check_interval);
    while (auto* target = next_to_probe(p, now))
    {
        if (!try_probe(p, *target, now, budgets, out))
        {
            return;
        }
    }
}

void wake_probing(pool& p, time_point now)
{
    if (now - p.m_last_arrival >= active_pool_window)
    {
        p.m_next_probe_check = now;
    }
}

time_point next_check(pool const& p)
{
    auto next = p.m_targets.empty() ? time_point::max() : p.m_next_probe_check;
    for (auto const& target : p.m_targets)
    {
        for (auto const held : target.m_held)
        {
            next = std::min(next, held.m_until);
        }
        if (target.m_probe_pending)
        {
            next = std::min(next, target.m_probed + probe_timeout);
        }
        else if (!is_leaving(target) && target.m_outlier.m_ejected)
        {
            next = std::min(next, target.m_outlier.m_ejected_until);
        }
    }
    return next;
}

} // namespace hawthornspur::core
