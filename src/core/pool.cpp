#include "core/pool.hpp"

#include "core/pool_accounting.hpp"
#include "core/pool_admission.hpp"
#include "core/pool_dispatch.hpp"
#include "core/pool_probing.hpp"
#include "core/pool_state.hpp"
#include "core/retry_rules.hpp"

#include <algorithm>
#include <cassert>
#include <utility>

namespace hawthornspur::core
{

namespace
{

constexpr double crash_start_share = 0.5;
constexpr double free_slots_weight = 0.05;
// A slot of the pool comes free within some ten milliseconds; callers follow
// the answer to at most a third of the time that they have left.
constexpr duration shortest_return = std::chrono::milliseconds(50);
constexpr duration longest_return = std::chrono::seconds(2);

/// Drops timers of requests that are gone from the top of the heap, so that
/// the host is not woken for them.
void prune_timers(pool& p)
{
    while (!p.m_timers.empty() &&
           !p.m_requests.contains(p.m_timers.front().m_request))
    {
        pop(p.m_timers);
    }
}

double first_limit(pool const& p, int slots)
{
    // Targets listed when the pool starts are warm; later ones are cold. Those
    // that tell their speed are chosen by it, and when half of a service is
    // replaced at a peak all slots are needed at once.
    if (p.m_targets_known)
    {
        return p.m_tells_speed ? slots : 1;
    }
    return p.m_start == pool_start::after_crash
               ? std::max(1.0, slots * crash_start_share)
               : slots;
}

/// A target that the list shows as back starts cold.
void update_target(target_entry& entry, pool_target const& spec)
{
    if (entry.m_spec.m_leaving && !spec.m_leaving)
    {
        entry.m_draining = false;
        entry.m_limit.m_limit = 1;
        entry.m_outlier = {};
    }
    entry.m_spec = spec;
    entry.m_speed.m_cold_until = spec.m_cold_until;
    entry.m_listed = true;
}

target_entry make_target(pool const& p, pool_target const& spec, time_point now)
{
    target_entry entry;
    entry.m_spec = spec;
    entry.m_speed.m_cold_until = spec.m_cold_until;
    entry.m_first_listed = now;
    entry.m_limit.m_limit = first_limit(p, spec.m_slots);
    for (auto const& inherited : p.m_inherited)
    {
        if (inherited.m_id == spec.m_id && now < p.m_inherited_until)
        {
            entry.m_inherited = inherited.m_in_flight;
            entry.m_inherited_until = p.m_inherited_until;
            entry.m_limit.m_limit = std::clamp(
                inherited.m_limit, 1.0, static_cast<double>(spec.m_slots));
        }
    }
    return entry;
}

/// A request that was classified under an earlier document may have a kind that
/// a pool created since does not know. Returns whether it was refused.
bool refuse_unknown_kind(pool const& p, arrival const& request,
                         pool_effects& out)
{
    if (request.m_kind.m_value < p.m_rules.m_kinds.size())
    {
        return false;
    }
    out.emplace_back(
        refuse_effect{request.m_request, result_code::no_target_available});
    return true;
}

/// Targets that the request may be sent to.
attempt_number attempt_bound(pool const& p, request_entry const& request)
{
    auto const& kind = p.m_kinds[request.m_arrival.m_kind.m_value];
    return std::min(static_cast<attempt_number>(max_attempts),
                    static_cast<attempt_number>(kind.m_config.m_max_attempts));
}

/// Whether the request gets another attempt; otherwise the code to refuse it
/// with.
result_code plan_retry(pool const& p, request_entry const& request,
                       attempt_outcome outcome, time_point now,
                       service_budgets& budgets)
{
    bool const allowed = may_retry(outcome, request.m_idempotent) &&
                         request.m_arrival.m_earlier_attempts == 0 &&
                         request.m_count < attempt_bound(p, request) &&
                         request.m_arrival.m_deadline > now &&
                         has_untried_target(p, request);
    if (!allowed)
    {
        return code_of(outcome);
    }
    if (!try_spend(budgets.m_retry))
    {
        return is_certainly_not_run(outcome) ? result_code::retry_budget_empty
                                             : code_of(outcome);
    }
    return result_code::ok;
}

/// Decides what happens to a request whose last attempt in flight failed.
void continue_after_failure(pool& p, request_map::iterator found,
                            attempt_outcome outcome, time_point now,
                            service_budgets& budgets, pool_effects& out)
{
    auto& request = found->second;
    request.m_last_code = code_of(outcome);
    if (!is_certainly_not_run(outcome))
    {
        request.m_may_have_run = true;
        request.m_may_have_run_code = request.m_last_code;
    }
    if (live_attempts(request) > 0)
    {
        return;
    }
    auto const code = plan_retry(p, request, outcome, now, budgets);
    if (code != result_code::ok)
    {
        refuse(p, found, code, out);
        return;
    }
    request.m_reason = reason_after(outcome);
    request.m_queued = true;
    p.m_retries.push_back(found->first);
}

void handle_request_timer(pool& p, request_map::iterator found, time_point now,
                          service_budgets& budgets, pool_effects& out)
{
    auto& request = found->second;
    if (request.m_answered)
    {
        return;
    }
    if (request.m_arrival.m_deadline > now)
    {
        auto const& kind = p.m_kinds[request.m_arrival.m_kind.m_value];
        bool const has_objective =
            kind.m_config.m_target_latency > duration::zero();
        if (request.m_queued)
        {
            if (has_objective &&
                now + median(kind.m_times) >= request.m_arrival.m_deadline)
            {
                refuse_overdue(p, found, out);
            }
            return;
        }
        if (live_attempts(request) != 1 ||
            request.m_count >= attempt_bound(p, request))
        {
            return;
        }
        if (request.m_hedge)
        {
            hedge(p, request, now, budgets, out);
        }
        else if (request.m_hedges_slow)
        {
            hedge_slow(p, request, now, budgets, out);
        }
        return;
    }
    if (request.m_queued)
    {
        refuse_overdue(p, found, out);
        return;
    }
    // An at-most-once attempt goes on, so that its target can complete it.
    if (request.m_idempotent)
    {
        cancel_attempts(request, 0, out);
    }
    refuse(p, found, result_code::deadline_passed_after_dispatch, out);
}

} // namespace

void pool_deleter::operator()(pool* p) const noexcept
{
    delete p;
}

pool_ptr make_pool(pool_rules rules, pool_start start, time_point now)
{
    pool_ptr p(new pool);
    p->m_start = start;
    p->m_next_probe_check = now;
    set_rules(*p, std::move(rules));
    return p;
}

std::optional<kind_id> find_kind(pool const& p, std::string_view name)
{
    for (std::size_t i = 0; i < p.m_rules.m_kinds.size(); ++i)
    {
        if (p.m_rules.m_kinds[i].m_name == name)
        {
            return kind_id{static_cast<std::uint32_t>(i)};
        }
    }
    return std::nullopt;
}

namespace
{

/// Whether a request that waits or runs is of the kind.
bool is_in_use(pool const& p, std::size_t kind)
{
    return std::any_of(p.m_requests.begin(), p.m_requests.end(),
                       [&](auto const& row)
                       { return row.second.m_arrival.m_kind.m_value == kind; });
}

/// Puts the kinds into the order of the rules. Those that the rules no longer
/// have stay behind them while requests need them.
void reorder_kinds(pool& p, pool_rules const& rules)
{
    std::vector<kind_entry> ordered(rules.m_kinds.size());
    for (std::size_t i = 0; i < ordered.size(); ++i)
    {
        ordered[i].m_config = rules.m_kinds[i];
    }
    std::vector<std::size_t> places(p.m_kinds.size());
    std::vector<bool> is_taken(ordered.size());
    for (std::size_t old = 0; old < p.m_kinds.size(); ++old)
    {
        auto const& name = p.m_kinds[old].m_config.m_name;
        auto const same = std::find_if(
            rules.m_kinds.begin(), rules.m_kinds.end(),
            [&](kind_config const& kind) { return kind.m_name == name; });
        auto const place =
            static_cast<std::size_t>(same - rules.m_kinds.begin());
        if (same != rules.m_kinds.end() && !is_taken[place])
        {
            is_taken[place] = true;
            places[old] = place;
            ordered[place] = std::move(p.m_kinds[old]);
            ordered[place].m_config = *same;
        }
        else if (is_in_use(p, old))
        {
            places[old] = ordered.size();
            ordered.push_back(std::move(p.m_kinds[old]));
        }
    }
    for (auto& [id, request] : p.m_requests)
    {
        auto& kind = request.m_arrival.m_kind;
        kind = {static_cast<std::uint32_t>(places[kind.m_value])};
    }
    p.m_kinds = std::move(ordered);
}

} // namespace

void set_rules(pool& p, pool_rules rules)
{
    reorder_kinds(p, rules);
    if (rules.m_order != p.m_rules.m_order)
    {
        for (auto& kind : p.m_kinds)
        {
            auto const waiting = std::exchange(kind.m_queue, {});
            for (auto const& request : waiting)
            {
                push(kind.m_queue, request, rules.m_order);
            }
        }
    }
    p.m_rules = std::move(rules);
}

void set_targets(pool& p, std::span<pool_target const> targets, time_point now,
                 service_budgets& budgets, pool_effects& out)
{
    for (auto& entry : p.m_targets)
    {
        entry.m_listed = false;
        p.m_tells_speed =
            p.m_tells_speed || entry.m_speed.m_reported.has_value();
    }
    for (auto const& spec : targets)
    {
        assert(spec.m_slots > 0);
        if (auto* known = find_target(p, spec.m_id))
        {
            update_target(*known, spec);
        }
        else
        {
            p.m_targets.push_back(make_target(p, spec, now));
        }
    }
    p.m_targets_known = p.m_targets_known || !targets.empty();
    forget_gone_targets(p);
    keep_ejections_bounded(p);
    check_targets(p, now, budgets, out);
    bind(p, now, out);
}

void on_arrival(pool& p, arrival const& request, time_point now,
                service_budgets& /*budgets*/, pool_effects& out)
{
    if (p.m_requests.contains(request.m_request) ||
        refuse_unknown_kind(p, request, out))
    {
        return;
    }
    wake_probing(p, now);
    p.m_last_arrival = now;
    auto const& kind = p.m_kinds[request.m_kind.m_value];
    auto const wait = expected_wait(p, kind, now);
    auto const sequence = p.m_next_sequence++;
    p.m_mean_free += free_slots_weight *
                     (count_slots(p, now).m_healthy_free - p.m_mean_free);
    if (!request.m_spilled && wait > duration::zero())
    {
        auto* option = choose_spill(p.m_spill, wait, now);
        if (option != nullptr &&
            request.m_deadline - now > option->m_cost + option->m_wait)
        {
            use_slot(*option, request.m_request, sequence, mean(kind.m_times),
                     now);
            out.emplace_back(spill_effect{request.m_request, option->m_zone});
            return;
        }
    }
    admit(p, request, sequence, wait, now, out);
}

void on_answer_started(pool& p, request_id request, attempt_number attempt,
                       time_point /*now*/, pool_effects& out)
{
    auto const found = p.m_requests.find(request);
    if (found == p.m_requests.end() || found->second.m_answered ||
        attempt == 0 || attempt > found->second.m_count ||
        !found->second.m_attempts[attempt - 1].m_live)
    {
        return;
    }
    found->second.m_answered = true;
    out.emplace_back(relay_effect{request, attempt});
    cancel_attempts(found->second, attempt, out);
}

void on_attempt_ended(pool& p, attempt_end const& end, time_point now,
                      service_budgets& budgets, pool_effects& out)
{
    auto const found = p.m_requests.find(end.m_request);
    if (found == p.m_requests.end() || end.m_attempt == 0 ||
        end.m_attempt > found->second.m_count)
    {
        return;
    }
    auto& request = found->second;
    auto& attempt = request.m_attempts[end.m_attempt - 1];
    if (!attempt.m_live)
    {
        return;
    }
    attempt.m_live = false;
    auto& kind = p.m_kinds[request.m_arrival.m_kind.m_value];
    --kind.m_in_flight;
    auto* target = find_target(p, attempt.m_target);
    assert(target != nullptr && target->m_in_flight > 0);
    --target->m_in_flight;
    account(p, *target, kind, end, attempt, now);
    if (end.m_outcome == attempt_outcome::ok)
    {
        earn(budgets.m_retry);
    }
    if (!request.m_answered && (end.m_outcome == attempt_outcome::ok ||
                                end.m_outcome == attempt_outcome::server_error))
    {
        request.m_answered = true;
        out.emplace_back(relay_effect{end.m_request, end.m_attempt});
        cancel_attempts(request, end.m_attempt, out);
    }
    if (!request.m_answered)
    {
        continue_after_failure(p, found, end.m_outcome, now, budgets, out);
    }
    else if (live_attempts(request) == 0)
    {
        p.m_requests.erase(found);
    }
    forget_gone_targets(p);
    keep_ejections_bounded(p);
    bind(p, now, out);
    prune_timers(p);
}

cancel_result on_cancel(pool& p, request_id request, time_point /*now*/,
                        service_budgets& /*budgets*/, pool_effects& out)
{
    auto const found = p.m_requests.find(request);
    if (found == p.m_requests.end())
    {
        return cancel_result::unknown_request;
    }
    auto& entry = found->second;
    auto const result = entry.m_count == 0 ? cancel_result::before_dispatch
                                           : cancel_result::after_dispatch;
    if (entry.m_queued)
    {
        remove_from_queue(p, entry);
        entry.m_queued = false;
    }
    entry.m_answered = true;
    cancel_attempts(entry, 0, out);
    if (live_attempts(entry) == 0)
    {
        p.m_requests.erase(found);
    }
    prune_timers(p);
    return result;
}

void on_probe_answer(pool& p, probe_answer const& answer, time_point now,
                     service_budgets& /*budgets*/, pool_effects& out)
{
    auto* target = find_target(p, answer.m_target);
    if (target == nullptr || !target->m_probe_pending)
    {
        return;
    }
    target->m_probe_pending = false;
    note_load(*target, answer.m_load, now);
    if (answer.m_draining)
    {
        target->m_draining = true;
        keep_ejections_bounded(p);
        return;
    }
    auto& outlier = target->m_outlier;
    if (answer.m_healthy)
    {
        target->m_heard = now;
        if (target->m_draining || outlier.m_ejected)
        {
            // Health endpoints may be wrong, so the target starts cold.
            target->m_limit.m_limit = 1;
            readmit(outlier);
        }
        target->m_draining = false;
        outlier.m_consecutive_failures = 0;
        bind(p, now, out);
    }
    else if (outlier.m_ejected)
    {
        eject(outlier, now);
    }
    else if (note_failure(outlier))
    {
        eject_if_allowed(p, *target, now);
    }
}

void on_summary(pool& p, pool_summary const& summary, duration cost,
                time_point now)
{
    auto found = std::find_if(p.m_spill.begin(), p.m_spill.end(),
                              [&](spill_option const& option)
                              { return option.m_zone == summary.m_zone; });
    if (found == p.m_spill.end())
    {
        p.m_spill.emplace_back();
        found = p.m_spill.end() - 1;
        found->m_zone = summary.m_zone;
    }
    found->m_free_slots = summary.m_free_slots;
    found->m_wait = summary.m_expected_wait;
    found->m_cost = cost;
    found->m_received = now;
}

void on_spill_refused(pool& p, arrival const& request, time_point now,
                      service_budgets& /*budgets*/, pool_effects& out)
{
    auto const sequence = note_spill_refused(p.m_spill, request.m_request, now);
    if (p.m_requests.contains(request.m_request) ||
        refuse_unknown_kind(p, request, out))
    {
        return;
    }
    auto local = request;
    local.m_spilled = false;
    ++local.m_spill_refusals;
    auto const& kind = p.m_kinds[request.m_kind.m_value];
    admit(p, local, sequence.value_or(p.m_next_sequence++),
          expected_wait(p, kind, now), now, out);
}

void on_timer(pool& p, time_point now, service_budgets& budgets,
              pool_effects& out)
{
    while (!p.m_timers.empty() && p.m_timers.front().m_at <= now)
    {
        auto const id = p.m_timers.front().m_request;
        pop(p.m_timers);
        auto const found = p.m_requests.find(id);
        if (found != p.m_requests.end())
        {
            handle_request_timer(p, found, now, budgets, out);
        }
    }
    if (p.m_inherited_until <= now)
    {
        p.m_inherited.clear();
        p.m_inherited_until = time_point::max();
    }
    check_targets(p, now, budgets, out);
    bind(p, now, out);
    prune_timers(p);
}

std::optional<time_point> next_timer(pool const& p)
{
    auto next = std::min({p.m_bind_again, next_check(p), p.m_inherited_until});
    if (!p.m_timers.empty())
    {
        next = std::min(next, p.m_timers.front().m_at);
    }
    return next == time_point::max() ? std::nullopt : std::optional(next);
}

duration retry_after_delay(pool const& p, kind_id kind, time_point now)
{
    if (kind.m_value >= p.m_kinds.size())
    {
        return shortest_return;
    }
    return std::clamp(expected_wait(p, p.m_kinds[kind.m_value], now),
                      shortest_return, longest_return);
}

std::size_t queue_length(pool const& p) noexcept
{
    return p.m_queued + p.m_retries.size();
}

std::size_t in_flight(pool const& p) noexcept
{
    std::size_t total = 0;
    for (auto const& entry : p.m_targets)
    {
        total += static_cast<std::size_t>(entry.m_in_flight);
    }
    return total;
}

} // namespace hawthornspur::core
