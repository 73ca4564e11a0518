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
// Age at which a target's slowness report is refreshed. More frequent probes
// take more slots of the targets than the better placement gains.
constexpr duration slowness_refresh_interval = std::chrono::milliseconds(150);
constexpr duration slowness_check_interval = std::chrono::milliseconds(25);
// Shorter than a warm-up, so that most of it is observed. The probe budget
// bounds the cost.
constexpr duration cold_report_interval = std::chrono::seconds(1);
// A pool without arrivals for this long is idle and does not refresh reports.
constexpr duration active_pool_window = std::chrono::seconds(2);

bool should_refresh_slowness(pool const& pool, time_point now)
{
    return now - pool.m_last_arrival < active_pool_window &&
           std::any_of(
               pool.m_targets.begin(), pool.m_targets.end(),
               [](target_entry const& target) {
                   return target.m_slowness_estimate.m_last_report.has_value();
               });
}

bool try_probe(pool& pool, target_entry& target, time_point now,
               service_budgets& budgets, pool_effects& out)
{
    // A probe opens its own connection; both take time of the target.
    seconds const cost =
        pool.m_rules.m_probe_cost + pool.m_rules.m_connection_cost;
    if (!try_take(budgets.m_probe, cost.count(), now))
    {
        return false;
    }
    target.m_probe_pending = true;
    target.m_is_probe_unsent = false;
    target.m_last_probe = now;
    ++target.m_rate.m_probes;
    out.emplace_back(probe_effect{target.m_spec.m_id});
    return true;
}

void try_end_ejection(pool& pool, target_entry& target, time_point now,
                      service_budgets& budgets, pool_effects& out)
{
    bool const is_failing = target.m_outlier.m_consecutive_failures > 0;
    bool const has_answered = now - target.m_last_answer < recent_answer_window;
    if (has_answered && is_failing)
    {
        // The last answer is too recent for a probe, and a request sent to a
        // failing target might be lost.
        target.m_outlier.m_ejected_until =
            target.m_last_answer + recent_answer_window;
        return;
    }
    // A target that answers, even if slowly, is readmitted with a limit of one
    // request, and so is a target that the budget does not allow to probe.
    if (has_answered || (!target.m_probe_pending &&
                         !try_probe(pool, target, now, budgets, out)))
    {
        readmit(target.m_outlier);
        target.m_limit.m_limit = 1;
    }
}

/// Time of the last answer, the last probe or the first listing.
time_point last_contact(target_entry const& target)
{
    return std::max(
        {target.m_last_answer, target.m_last_probe, target.m_first_listed});
}

/// Whether the target may be probed. Targets that announced draining are probed
/// as well, to detect when they are back.
bool can_be_probed(target_entry const& target)
{
    return target.m_listed && !target.m_spec.m_leaving &&
           !target.m_probe_pending;
}

/// Age at which the slowness report of the target is refreshed. A target with a
/// rate limit is asked no more often than it takes requests.
duration slowness_refresh_age(target_entry const& target)
{
    if (!limit_in_force(target.m_rate))
    {
        return slowness_refresh_interval;
    }
    if (target.m_rate.m_bucket.m_tokens_per_second <= 0)
    {
        return recent_answer_window;
    }
    return std::max(slowness_refresh_interval,
                    std::chrono::duration_cast<duration>(seconds(
                        1 / target.m_rate.m_bucket.m_tokens_per_second)));
}

/// Whether the slowness report of the target has to be refreshed: the pool is
/// active and the target has a free slot and was not contacted recently.
bool is_slowness_stale(pool const& pool, target_entry const& target,
                       time_point now)
{
    return target.m_slowness_estimate.m_last_report &&
           now - pool.m_last_arrival < active_pool_window &&
           target.m_in_flight < target.m_spec.m_slots &&
           now - last_contact(target) >= slowness_refresh_age(target);
}

/// Whether the target is to be asked if it is cold. It may become cold again at
/// any moment, and only health answers say so, also of a busy target.
bool is_cold_report_stale(pool const& pool, target_entry const& target,
                          time_point now)
{
    return pool.m_rules.m_cold_rate > 0 &&
           now - pool.m_last_arrival < active_pool_window &&
           now - target.m_last_probe >= cold_report_interval;
}

bool is_probe_due(pool const& pool, target_entry const& target, time_point now)
{
    return can_be_probed(target) &&
           (is_slowness_stale(pool, target, now) ||
            is_cold_report_stale(pool, target, now) ||
            (target.m_in_flight == 0 &&
             now - last_contact(target) >= recent_answer_window));
}

/// The target due for a probe whose last answer is oldest, or null.
target_entry* find_probe_target(pool& pool, time_point now)
{
    target_entry* stalest = nullptr;
    for (auto& target : pool.m_targets)
    {
        if (is_probe_due(pool, target, now) &&
            (stalest == nullptr ||
             target.m_last_answer < stalest->m_last_answer))
        {
            stalest = &target;
        }
    }
    return stalest;
}

void record_unanswered_probe(pool& pool, target_entry& target, time_point now)
{
    if (target.m_is_probe_unsent)
    {
        return;
    }
    if (target.m_outlier.m_ejected)
    {
        eject(target.m_outlier, now);
    }
    else if (record_failure(target.m_outlier))
    {
        eject_if_allowed(pool, target, now);
    }
}

} // namespace

void check_targets(pool& pool, time_point now, service_budgets& budgets,
                   pool_effects& out)
{
    for (auto& target : pool.m_targets)
    {
        std::erase_if(target.m_held_slots,
                      [&](held_slot held) { return held.m_until <= now; });
        if (target.m_probe_pending &&
            now - target.m_last_probe >= probe_timeout)
        {
            target.m_probe_pending = false;
            record_unanswered_probe(pool, target, now);
        }
        if (!is_leaving(target) && target.m_outlier.m_ejected &&
            target.m_outlier.m_ejected_until <= now)
        {
            try_end_ejection(pool, target, now, budgets, out);
        }
    }
    if (now < pool.m_next_probe_check)
    {
        return;
    }
    pool.m_next_probe_check =
        now + (should_refresh_slowness(pool, now) ? slowness_check_interval
                                                  : probe_check_interval);
    while (auto* target = find_probe_target(pool, now))
    {
        if (!try_probe(pool, *target, now, budgets, out))
        {
            return;
        }
    }
}

void resume_probing(pool& pool, time_point now)
{
    if (now - pool.m_last_arrival >= active_pool_window)
    {
        pool.m_next_probe_check = now;
    }
}

time_point next_target_check(pool const& pool)
{
    auto next =
        pool.m_targets.empty() ? time_point::max() : pool.m_next_probe_check;
    for (auto const& target : pool.m_targets)
    {
        for (auto const held : target.m_held_slots)
        {
            next = std::min(next, held.m_until);
        }
        if (target.m_probe_pending)
        {
            next = std::min(next, target.m_last_probe + probe_timeout);
        }
        else if (!is_leaving(target) && target.m_outlier.m_ejected)
        {
            next = std::min(next, target.m_outlier.m_ejected_until);
        }
    }
    return next;
}

} // namespace hawthornspur::core
