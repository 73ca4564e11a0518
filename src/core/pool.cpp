#include "core/pool.hpp"

#include "core/pool_binding.hpp"
#include "core/pool_probing.hpp"
#include "core/pool_state.hpp"
#include "core/retry_rules.hpp"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <utility>

namespace hawthornspur::core
{

namespace
{

constexpr double crash_start_share = 0.5;
// The expected wait is a mean. Requests that are admitted close to their
// deadline would often be refused late, after waiting for nothing.
constexpr int wait_safety = 3;
// Above this load on the other targets, a slow target is not ejected.
constexpr double largest_load_without = 0.9;
// Below this share of the others' slots, its own work does not count.
constexpr double smallest_contribution = 0.05;
constexpr double free_slots_weight = 0.05;
constexpr duration shortest_hold = std::chrono::milliseconds(1);

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
    // Targets listed when the pool starts are warm; later ones are cold.
    if (p.m_targets_known)
    {
        return 1;
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
    entry.m_listed = true;
}

target_entry make_target(pool const& p, pool_target const& spec, time_point now)
{
    target_entry entry;
    entry.m_spec = spec;
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

void enqueue(pool& p, request_entry& request, time_point now)
{
    auto& kind = p.m_kinds[request.m_arrival.m_kind.m_value];
    request.m_queued = true;
    push(kind.m_queue,
         {request.m_arrival.m_request, request.m_sequence, now,
          request.m_arrival.m_deadline},
         p.m_rules.m_order);
    ++p.m_queued;
}

/// Makes room for a more urgent request by refusing the newest one of the
/// least urgent kind. Returns false if nothing less urgent waits.
bool evict_less_urgent(pool& p, int priority, pool_effects& out)
{
    kind_entry* least = nullptr;
    for (auto& kind : p.m_kinds)
    {
        if (!kind.m_queue.empty() && kind.m_config.m_priority > priority &&
            (least == nullptr ||
             kind.m_config.m_priority > least->m_config.m_priority))
        {
            least = &kind;
        }
    }
    if (least == nullptr)
    {
        return false;
    }
    auto const victim = p.m_requests.find(least->m_queue.back().m_request);
    least->m_queue.pop_back();
    --p.m_queued;
    victim->second.m_queued = false;
    refuse(p, victim, result_code::queue_full, out);
    return true;
}

/// Whether a request that has to wait would miss its deadline.
bool is_unreachable(kind_entry const& kind, duration wait, duration remaining)
{
    return wait > duration::zero() &&
           wait_safety * wait + p95(kind.m_times) > remaining;
}

/// The refusal that applies before the request is queued, or ok.
result_code check_admission(pool& p, arrival const& request, duration wait,
                            time_point now, pool_effects& out)
{
    auto const& kind = p.m_kinds[request.m_kind.m_value];
    auto const remaining = request.m_deadline - now;
    if (remaining <= duration::zero())
    {
        return result_code::deadline_unreachable;
    }
    if (wait == duration::max())
    {
        return result_code::no_target_available;
    }
    if (request.m_spilled && wait > duration::zero())
    {
        return result_code::spill_refused;
    }
    if (is_unreachable(kind, wait, remaining))
    {
        auto const slots = count_slots(p, now);
        return slots.m_free > 0 && p.m_queued == kind.m_queue.size()
                   ? result_code::kind_share_full
                   : result_code::deadline_unreachable;
    }
    if (p.m_queued >= p.m_rules.m_max_queue &&
        !evict_less_urgent(p, kind.m_config.m_priority, out))
    {
        return result_code::queue_full;
    }
    return result_code::ok;
}

void admit(pool& p, arrival const& request, std::uint64_t sequence,
           duration wait, time_point now, pool_effects& out)
{
    auto const code = check_admission(p, request, wait, now, out);
    if (code != result_code::ok)
    {
        out.emplace_back(refuse_effect{request.m_request, code});
        return;
    }
    auto const& config = p.m_kinds[request.m_kind.m_value].m_config;
    auto& entry = p.m_requests[request.m_request];
    entry.m_arrival = request;
    entry.m_sequence = sequence;
    entry.m_idempotent = config.m_execution == execution_rule::idempotent;
    entry.m_hedge = config.m_hedge && entry.m_idempotent;
    push(p.m_timers, {request.m_deadline, request.m_request});
    enqueue(p, entry, now);
    bind(p, now, out);
}

void note_load(target_entry& target, std::optional<reported_load> const& load)
{
    if (load && load->m_slots > 0)
    {
        target.m_reported_utilization = std::clamp(
            static_cast<double>(load->m_in_flight) / load->m_slots, 0.0, 1.0);
    }
}

/// Whether the pool does without the target: the others can carry the present
/// load, or the target is so slow that it adds next to nothing.
bool is_dispensable(pool const& p, target_entry const& target,
                    double log_relative_slowness, time_point now)
{
    auto const slots = count_slots(p, now);
    auto const limit = whole_limit(target.m_limit, target.m_spec.m_slots);
    auto const rest = static_cast<double>(slots.m_limit - limit);
    auto const load = static_cast<double>(in_flight(p) + queue_length(p));
    auto const contribution =
        target.m_spec.m_slots * std::exp(-log_relative_slowness);
    return load < largest_load_without * rest ||
           contribution < smallest_contribution * rest;
}

double log_ratio_to_median(kind_entry const& kind, duration elapsed)
{
    return std::log(std::max(1e-6, seconds(elapsed).count()) /
                    kind.m_times.m_median.m_value);
}

/// Lets the target's limit and ejection follow one observed time, of a whole
/// answer or of an attempt that was cancelled before its answer.
void judge_target(pool& p, target_entry& target, kind_entry const& kind,
                  double log_ratio, bool is_whole, time_point now)
{
    observe_answer(target.m_limit, log_ratio, log_spread(kind.m_times), now);
    auto const pool_median = find_median(p, now);
    // A target on trial has been slow or failing before; one answer that takes
    // too long is enough.
    bool const slow =
        is_slow(target, pool_median, now) ||
        (target.m_outlier.m_on_trial && is_beyond_tolerance(log_ratio));
    bool const was_lowest = target.m_limit.m_limit <= 1;
    if (!slow)
    {
        if (!is_whole)
        {
            return;
        }
        note_success(target.m_outlier);
        if (!target.m_outlier.m_on_trial)
        {
            raise(target.m_limit, target.m_spec.m_slots);
        }
        return;
    }
    auto const relative =
        target.m_limit.m_last_log_ratio - pool_median.m_log_slowness;
    lower_after_slow_answer(target.m_limit, relative, now);
    if (was_lowest && is_dispensable(p, target, relative, now))
    {
        eject_if_allowed(p, target, now);
    }
}

void note_whole_answer(pool& p, target_entry& target, kind_entry& kind,
                       duration elapsed, time_point now)
{
    observe(kind.m_times, elapsed);
    observe(p.m_times, elapsed);
    judge_target(p, target, kind, log_ratio_to_median(kind, elapsed), true,
                 now);
}

/// A cancelled attempt would have taken at least the time that it ran. Without
/// this, hedges would hide a slow target from the owner.
void note_cancelled(pool& p, target_entry& target, kind_entry const& kind,
                    duration elapsed, time_point now)
{
    if (kind.m_times.m_samples == 0)
    {
        return;
    }
    auto const log_ratio = log_ratio_to_median(kind, elapsed);
    if (is_beyond_tolerance(log_ratio))
    {
        judge_target(p, target, kind, log_ratio, false, now);
    }
}

/// A failed slot stays taken for as long as work usually takes, so that a
/// target that fails fast attracts no more work than a healthy one.
void hold_slot(target_entry& target, kind_entry const& kind,
               time_point dispatched, time_point now)
{
    auto const until =
        std::max(dispatched + mean(kind.m_times), now + shortest_hold);
    std::erase_if(target.m_held,
                  [&](held_slot held) { return held.m_until <= now; });
    if (static_cast<int>(target.m_held.size()) < target.m_spec.m_slots)
    {
        target.m_held.push_back({until});
    }
}

void account(pool& p, target_entry& target, kind_entry& kind,
             attempt_end const& end, time_point dispatched, time_point now)
{
    note_load(target, end.m_load);
    target.m_draining = target.m_draining || end.m_draining;
    if (end.m_outcome == attempt_outcome::ok)
    {
        target.m_heard = now;
        note_whole_answer(p, target, kind, now - dispatched, now);
        return;
    }
    if (end.m_outcome == attempt_outcome::cancelled)
    {
        note_cancelled(p, target, kind, now - dispatched, now);
        return;
    }
    hold_slot(target, kind, dispatched, now);
    if (end.m_outcome == attempt_outcome::shed)
    {
        target.m_heard = now;
        lower_after_shed(target.m_limit, now);
    }
    else if (note_failure(target.m_outlier))
    {
        eject_if_allowed(p, target, now);
    }
}

/// Whether the request gets another attempt; otherwise the code to refuse it
/// with.
result_code plan_retry(pool const& p, request_entry const& request,
                       attempt_outcome outcome, time_point now,
                       service_budgets& budgets)
{
    bool const allowed = may_retry(outcome, request.m_idempotent) &&
                         request.m_arrival.m_earlier_attempts == 0 &&
                         request.m_count < max_attempts &&
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
        if (!request.m_queued && live_attempts(request) == 1 &&
            request.m_count < max_attempts)
        {
            hedge(p, request, now, budgets, out);
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

void set_rules(pool& p, pool_rules rules)
{
    // Kinds never shrink: requests in flight finish under their old rules.
    p.m_kinds.resize(std::max(p.m_kinds.size(), rules.m_kinds.size()));
    for (std::size_t i = 0; i < rules.m_kinds.size(); ++i)
    {
        if (p.m_kinds[i].m_config.m_name != rules.m_kinds[i].m_name)
        {
            p.m_kinds[i].m_times = {};
        }
        p.m_kinds[i].m_config = rules.m_kinds[i];
    }
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
    assert(request.m_kind.m_value < p.m_rules.m_kinds.size());
    if (p.m_requests.contains(request.m_request))
    {
        return;
    }
    auto const& kind = p.m_kinds[request.m_kind.m_value];
    auto const wait = expected_wait(p, kind, now);
    auto const sequence = p.m_next_sequence++;
    p.m_mean_free +=
        free_slots_weight * (count_slots(p, now).m_free - p.m_mean_free);
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
    account(p, *target, kind, end, attempt.m_dispatched, now);
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
    note_load(*target, answer.m_load);
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
    if (p.m_requests.contains(request.m_request))
    {
        return;
    }
    auto local = request;
    local.m_spilled = false;
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
