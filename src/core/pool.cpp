#include "core/pool.hpp"

#include "core/pool_accounting.hpp"
#include "core/pool_admission.hpp"
#include "core/pool_dispatch.hpp"
#include "core/pool_probing.hpp"
#include "core/pool_returns.hpp"
#include "core/pool_sharing.hpp"
#include "core/pool_state.hpp"
#include "core/repeat_decision.hpp"
#include "core/retry_rules.hpp"

#include <algorithm>
#include <cassert>
#include <limits>
#include <utility>

namespace hawthornspur::core
{

namespace
{

constexpr double limit_share_after_crash = 0.5;
constexpr double mean_free_slots_weight = 0.05;

/// Removes timers of finished requests from the top of the heap, so that the
/// host does not wake up for them.
void prune_timers(pool& pool)
{
    while (!pool.m_timers.empty() &&
           !pool.m_requests.contains(pool.m_timers.front().m_request))
    {
        pop(pool.m_timers);
    }
}

double initial_limit(pool const& pool, int slots)
{
    // Targets listed when the pool starts are assumed to be warm, later ones to
    // be cold. Targets that report their slowness are selected by it and start
    // with all slots, which are needed at once if half of the targets of a
    // service are replaced at peak load.
    if (pool.m_targets_known)
    {
        return pool.m_targets_report_slowness ? slots : 1;
    }
    return pool.m_start == pool_start::after_crash
               ? std::max(1.0, slots * limit_share_after_crash)
               : slots;
}

/// Applies the listed properties. A target that was leaving and is active again
/// starts cold.
void update_target(target_entry& entry, pool_target const& spec)
{
    if (entry.m_spec.m_leaving && !spec.m_leaving)
    {
        entry.m_draining = false;
        entry.m_limit.m_limit = 1;
        entry.m_outlier = {};
    }
    // An entry that says nothing new does not replace a later health answer.
    if (entry.m_spec.m_cold_until != spec.m_cold_until)
    {
        entry.m_slowness_estimate.m_cold_until = spec.m_cold_until;
    }
    entry.m_spec = spec;
    entry.m_listed = true;
}

target_entry make_target(pool const& pool, pool_target const& spec,
                         time_point now)
{
    target_entry entry;
    entry.m_spec = spec;
    entry.m_slowness_estimate.m_cold_until = spec.m_cold_until;
    entry.m_first_listed = now;
    entry.m_rate.m_share = pool.m_rate_share;
    entry.m_limit.m_limit = initial_limit(pool, spec.m_slots);
    for (auto const& inherited : pool.m_handover)
    {
        if (inherited.m_id == spec.m_id && now < pool.m_handover_until)
        {
            entry.m_inherited_in_flight = inherited.m_in_flight;
            entry.m_inherited_until = pool.m_handover_until;
            entry.m_limit.m_limit = std::clamp(
                inherited.m_limit, 1.0, static_cast<double>(spec.m_slots));
        }
    }
    return entry;
}

/// Refuses a request whose kind the pool does not have: it was classified under
/// an older configuration than that of the pool. Returns whether it was
/// refused.
bool refuse_unknown_kind(pool const& pool, arrival const& request,
                         pool_effects& out)
{
    if (request.m_kind.m_value < pool.m_rules.m_kinds.size())
    {
        return false;
    }
    out.emplace_back(
        refuse_effect{request.m_request, result_code::no_target_available});
    return true;
}

/// Describes a further attempt after one with this outcome.
repeat_proposal make_proposal(pool const& pool, request_entry const& request,
                              attempt_outcome outcome)
{
    auto const& arrival = request.m_arrival;
    auto const& kind = pool.m_kinds[arrival.m_kind.m_value];
    repeat_proposal proposal;
    proposal.m_is_decided_here = arrival.m_decides_on_repeats &&
                                 !arrival.m_spilled &&
                                 arrival.m_earlier_attempts == 0;
    proposal.m_is_idempotent = request.m_idempotent;
    proposal.m_outcome = outcome;
    proposal.m_attempts = arrival.m_prior_attempts +
                          static_cast<int>(request.m_attempt_count) -
                          request.m_unsent_attempts;
    proposal.m_max_attempts =
        std::min(static_cast<int>(max_attempts), kind.m_config.m_max_attempts);
    proposal.m_target_ends = count_target_ends(request);
    proposal.m_is_suspected = request.m_is_suspected;
    proposal.m_deadline = arrival.m_deadline;
    return proposal;
}

/// Returns ok if the request gets another attempt, which is then paid for
/// unless the last one reached no target; otherwise the code to refuse the
/// request with.
result_code plan_retry(pool const& pool, request_entry const& request,
                       attempt_outcome outcome, time_point now,
                       service_budgets& budgets)
{
    auto const proposal = make_proposal(pool, request, outcome);
    bool const has_target = request.m_attempt_count < max_attempts &&
                            has_untried_target(pool, request);
    if (!has_reached_target(outcome) && !request.m_is_suspected &&
        request.m_arrival.m_deadline > now)
    {
        return has_target ? result_code::ok : result_code_for(outcome);
    }
    auto decision = check_repeat(proposal, now);
    if (decision == repeat_decision::allowed)
    {
        if (!has_target)
        {
            return result_code_for(outcome);
        }
        decision = decide_repeat(proposal, budgets.m_repeat, now);
    }
    return decision == repeat_decision::allowed
               ? result_code::ok
               : refusal_code(decision, outcome);
}

/// Whether a second attempt may run beside the first one. A request that may
/// have ended a target never runs at two.
bool may_hedge(pool const& pool, request_entry const& request, time_point now)
{
    return count_live_attempts(request) == 1 &&
           request.m_attempt_count < max_attempts &&
           count_target_ends(request) == 0 &&
           check_repeat(make_proposal(pool, request, attempt_outcome::silent),
                        now) == repeat_decision::allowed;
}

/// Records the failure of an attempt. If it was the last one in flight, queues
/// the request for a retry or refuses it.
void handle_attempt_failure(pool& pool, request_map::iterator entry,
                            attempt_outcome outcome, time_point now,
                            service_budgets& budgets, pool_effects& out)
{
    auto& request = entry->second;
    request.m_last_code = result_code_for(outcome);
    request.m_unsent_attempts += has_reached_target(outcome) ? 0 : 1;
    if (outcome == attempt_outcome::closed)
    {
        ++request.m_lost_attempts;
    }
    if (!is_certainly_not_run(outcome))
    {
        request.m_may_have_run = true;
        request.m_may_have_run_code = request.m_last_code;
    }
    if (count_live_attempts(request) > 0)
    {
        return;
    }
    auto const code = plan_retry(pool, request, outcome, now, budgets);
    if (code != result_code::ok)
    {
        refuse(pool, entry, code, out);
        return;
    }
    request.m_retry_reason = retry_reason_for(outcome);
    request.m_queued = true;
    pool.m_retry_queue.push_back(entry->first);
}

void handle_request_timer(pool& pool, request_map::iterator entry,
                          time_point now, service_budgets& budgets,
                          pool_effects& out)
{
    auto& request = entry->second;
    if (request.m_answered)
    {
        return;
    }
    if (request.m_arrival.m_deadline > now)
    {
        auto const& kind = pool.m_kinds[request.m_arrival.m_kind.m_value];
        bool const has_objective =
            kind.m_config.m_target_latency > duration::zero();
        if (request.m_queued)
        {
            if (has_objective && now + median(kind.m_service_time) >=
                                     request.m_arrival.m_deadline)
            {
                refuse_overdue(pool, entry, out);
            }
            return;
        }
        if (!may_hedge(pool, request, now))
        {
            return;
        }
        if (request.m_hedge_on_delay)
        {
            hedge_on_delay(pool, request, now, budgets, out);
        }
        else if (request.m_hedge_on_slow_target)
        {
            hedge_on_slow_target(pool, request, now, budgets, out);
        }
        return;
    }
    if (request.m_queued)
    {
        refuse_overdue(pool, entry, out);
        return;
    }
    // An at-most-once attempt continues, so that its target can complete it.
    if (request.m_idempotent)
    {
        cancel_attempts(request, 0, out);
    }
    refuse(pool, entry, result_code::deadline_passed_after_dispatch, out);
}

} // namespace

void pool_deleter::operator()(pool* pool) const noexcept
{
    delete pool;
}

pool_ptr make_pool(pool_rules rules, pool_start start, time_point now)
{
    pool_ptr created(new pool);
    created->m_start = start;
    created->m_next_probe_check = now;
    set_rules(*created, std::move(rules));
    return created;
}

std::optional<kind_id> find_kind(pool const& pool, std::string_view name)
{
    for (std::size_t i = 0; i < pool.m_rules.m_kinds.size(); ++i)
    {
        if (pool.m_rules.m_kinds[i].m_name == name)
        {
            return kind_id{static_cast<std::uint32_t>(i)};
        }
    }
    return std::nullopt;
}

namespace
{

/// Whether a queued or running request has this kind.
bool is_in_use(pool const& pool, std::size_t kind)
{
    return std::any_of(pool.m_requests.begin(), pool.m_requests.end(),
                       [&](auto const& row)
                       { return row.second.m_arrival.m_kind.m_value == kind; });
}

/// Reorders the kinds to match the rules. Kinds that the rules no longer have
/// follow them as long as requests of these kinds exist.
void reorder_kinds(pool& pool, pool_rules const& rules)
{
    std::vector<kind_entry> ordered(rules.m_kinds.size());
    for (std::size_t i = 0; i < ordered.size(); ++i)
    {
        ordered[i].m_config = rules.m_kinds[i];
    }
    std::vector<std::size_t> new_indices(
        pool.m_kinds.size(), std::numeric_limits<std::size_t>::max());
    std::vector<bool> is_matched(ordered.size());
    for (std::size_t old_index = 0; old_index < pool.m_kinds.size();
         ++old_index)
    {
        auto const& name = pool.m_kinds[old_index].m_config.m_name;
        auto const match = std::find_if(
            rules.m_kinds.begin(), rules.m_kinds.end(),
            [&](kind_config const& kind) { return kind.m_name == name; });
        auto const new_index =
            static_cast<std::size_t>(match - rules.m_kinds.begin());
        if (match != rules.m_kinds.end() && !is_matched[new_index])
        {
            is_matched[new_index] = true;
            new_indices[old_index] = new_index;
            ordered[new_index] = std::move(pool.m_kinds[old_index]);
            ordered[new_index].m_config = *match;
        }
        else if (is_in_use(pool, old_index))
        {
            new_indices[old_index] = ordered.size();
            ordered.push_back(std::move(pool.m_kinds[old_index]));
        }
    }
    for (auto& [id, request] : pool.m_requests)
    {
        auto& kind = request.m_arrival.m_kind;
        kind = {static_cast<std::uint32_t>(new_indices[kind.m_value])};
    }
    renumber_flows(pool, new_indices);
    pool.m_kinds = std::move(ordered);
}

} // namespace

void set_rules(pool& pool, pool_rules rules)
{
    reorder_kinds(pool, rules);
    if (rules.m_order != pool.m_rules.m_order)
    {
        for (auto& kind : pool.m_kinds)
        {
            auto const waiting = std::exchange(kind.m_queue, {});
            for (auto const& request : waiting)
            {
                push(kind.m_queue, request, rules.m_order);
            }
        }
        set_order(pool.m_share, rules.m_order);
    }
    pool.m_rules = std::move(rules);
}

void set_targets(pool& pool, std::span<pool_target const> targets,
                 time_point now, service_budgets& budgets, pool_effects& out)
{
    for (auto& entry : pool.m_targets)
    {
        entry.m_listed = false;
        pool.m_targets_report_slowness =
            pool.m_targets_report_slowness ||
            entry.m_slowness_estimate.m_last_report.has_value();
    }
    for (auto const& spec : targets)
    {
        assert(spec.m_slots > 0);
        if (auto* known = find_target(pool, spec.m_id))
        {
            update_target(*known, spec);
        }
        else
        {
            pool.m_targets.push_back(make_target(pool, spec, now));
        }
    }
    pool.m_targets_known = pool.m_targets_known || !targets.empty();
    remove_unlisted_targets(pool);
    enforce_ejection_bound(pool);
    update_cold_limits(pool, now);
    check_targets(pool, now, budgets, out);
    dispatch_queued(pool, now, out);
}

void on_arrival(pool& pool, arrival const& request, time_point now,
                service_budgets& /*budgets*/, pool_effects& out)
{
    if (pool.m_requests.contains(request.m_request) ||
        refuse_unknown_kind(pool, request, out))
    {
        return;
    }
    resume_probing(pool, now);
    pool.m_last_arrival = now;
    auto const& kind = pool.m_kinds[request.m_kind.m_value];
    record_arrival_of_customer(pool, request, now);
    record_return(pool, request, now);
    auto const wait = expected_wait(pool, request, now);
    auto const sequence = pool.m_next_sequence++;
    pool.m_mean_free_slots +=
        mean_free_slots_weight *
        (count_slots(pool, now).m_healthy_free - pool.m_mean_free_slots);
    if (!request.m_spilled && request.m_target_ends == 0 &&
        wait > duration::zero())
    {
        auto* option = choose_spill(pool.m_spill_options, wait, now);
        if (option != nullptr &&
            request.m_deadline - now > option->m_cost + option->m_wait)
        {
            reserve_slot(*option, request.m_request, sequence,
                         mean(kind.m_service_time), now);
            out.emplace_back(spill_effect{request.m_request, option->m_zone});
            return;
        }
    }
    admit(pool, request, sequence, wait, now, out);
}

void on_answer_started(pool& pool, request_id request, attempt_number attempt,
                       time_point /*now*/, pool_effects& out)
{
    auto const found = pool.m_requests.find(request);
    if (found == pool.m_requests.end() || found->second.m_answered ||
        attempt == 0 || attempt > found->second.m_attempt_count ||
        !found->second.m_attempts[attempt - 1].m_live)
    {
        return;
    }
    found->second.m_answered = true;
    if (found->second.m_has_second_run)
    {
        auto const kind = found->second.m_arrival.m_kind;
        record_second_run(pool.m_kinds[kind.m_value].m_second_runs,
                          attempt > 1);
    }
    out.emplace_back(relay_effect{request, attempt});
    cancel_attempts(found->second, attempt, out);
}

void on_attempt_ended(pool& pool, attempt_end const& end, time_point now,
                      service_budgets& budgets, pool_effects& out)
{
    auto const found = pool.m_requests.find(end.m_request);
    if (found == pool.m_requests.end() || end.m_attempt == 0 ||
        end.m_attempt > found->second.m_attempt_count)
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
    auto& kind = pool.m_kinds[request.m_arrival.m_kind.m_value];
    --kind.m_in_flight;
    auto* target = find_target(pool, attempt.m_target);
    assert(target != nullptr && target->m_in_flight > 0);
    --target->m_in_flight;
    target->m_accused_in_flight -= attempt.m_is_accused ? 1 : 0;
    record_attempt_end(pool, *target, kind, end, attempt, now);
    if (!request.m_answered && (end.m_outcome == attempt_outcome::ok ||
                                end.m_outcome == attempt_outcome::server_error))
    {
        request.m_answered = true;
        out.emplace_back(relay_effect{end.m_request, end.m_attempt});
        cancel_attempts(request, end.m_attempt, out);
    }
    if (!request.m_answered)
    {
        handle_attempt_failure(pool, found, end.m_outcome, now, budgets, out);
    }
    else if (count_live_attempts(request) == 0)
    {
        pool.m_requests.erase(found);
    }
    remove_unlisted_targets(pool);
    enforce_ejection_bound(pool);
    dispatch_queued(pool, now, out);
    prune_timers(pool);
}

cancel_result on_cancel(pool& pool, request_id request, time_point /*now*/,
                        service_budgets& /*budgets*/, pool_effects& out)
{
    auto const found = pool.m_requests.find(request);
    if (found == pool.m_requests.end())
    {
        return cancel_result::unknown_request;
    }
    auto& entry = found->second;
    auto const result = entry.m_attempt_count == 0
                            ? cancel_result::before_dispatch
                            : cancel_result::after_dispatch;
    if (entry.m_queued)
    {
        remove_from_queue(pool, entry);
        entry.m_queued = false;
    }
    entry.m_answered = true;
    cancel_attempts(entry, 0, out);
    if (count_live_attempts(entry) == 0)
    {
        pool.m_requests.erase(found);
    }
    prune_timers(pool);
    return result;
}

void on_probe_answer(pool& pool, probe_answer const& answer, time_point now,
                     service_budgets& /*budgets*/, pool_effects& out)
{
    auto* target = find_target(pool, answer.m_target);
    if (target == nullptr || !target->m_probe_pending)
    {
        return;
    }
    if (answer.m_is_unsent)
    {
        target->m_is_probe_unsent = true;
        return;
    }
    target->m_probe_pending = false;
    record_load(*target, answer.m_load, now);
    record_cold_report(pool, answer.m_target, answer.m_cold_left, now);
    if (answer.m_draining)
    {
        target->m_draining = true;
        enforce_ejection_bound(pool);
        return;
    }
    auto& outlier = target->m_outlier;
    if (answer.m_healthy)
    {
        target->m_last_answer = now;
        if (target->m_draining || outlier.m_ejected)
        {
            // The health endpoint may be wrong, so the target starts cold.
            target->m_limit.m_limit = 1;
            readmit(outlier);
        }
        target->m_draining = false;
        outlier.m_consecutive_failures = 0;
        dispatch_queued(pool, now, out);
    }
    else if (outlier.m_ejected)
    {
        eject(outlier, now);
    }
    else if (record_failure(outlier))
    {
        eject_if_allowed(pool, *target, now);
    }
}

void on_summary(pool& pool, pool_summary const& summary, duration cost,
                time_point now)
{
    auto found =
        std::find_if(pool.m_spill_options.begin(), pool.m_spill_options.end(),
                     [&](spill_option const& option)
                     { return option.m_zone == summary.m_zone; });
    if (found == pool.m_spill_options.end())
    {
        pool.m_spill_options.emplace_back();
        found = pool.m_spill_options.end() - 1;
        found->m_zone = summary.m_zone;
    }
    found->m_free_slots = summary.m_free_slots;
    found->m_wait = summary.m_expected_wait;
    found->m_cost = cost;
    found->m_received_at = now;
}

void on_spill_refused(pool& pool, arrival const& request, time_point now,
                      service_budgets& /*budgets*/, pool_effects& out)
{
    auto const sequence =
        record_spill_refusal(pool.m_spill_options, request.m_request, now);
    if (pool.m_requests.contains(request.m_request) ||
        refuse_unknown_kind(pool, request, out))
    {
        return;
    }
    auto returned = request;
    returned.m_spilled = false;
    ++returned.m_spill_refusals;
    record_arrival_of_customer(pool, request, now);
    admit(pool, returned, sequence.value_or(pool.m_next_sequence++),
          expected_wait(pool, request, now), now, out);
}

void refuse_suspects(pool& pool, content_id content, time_point now,
                     pool_effects& out)
{
    std::vector<request_id> waiting;
    for (auto& [id, request] : pool.m_requests)
    {
        if (request.m_arrival.m_content != content || request.m_answered)
        {
            continue;
        }
        request.m_is_suspected = true;
        if (request.m_queued)
        {
            waiting.push_back(id);
        }
    }
    for (auto const id : waiting)
    {
        auto const found = pool.m_requests.find(id);
        remove_from_queue(pool, found->second);
        found->second.m_queued = false;
        refuse(pool, found, result_code::request_suspected, out);
    }
    dispatch_queued(pool, now, out);
    prune_timers(pool);
}

void on_timer(pool& pool, time_point now, service_budgets& budgets,
              pool_effects& out)
{
    while (!pool.m_timers.empty() && pool.m_timers.front().m_expires_at <= now)
    {
        auto const id = pool.m_timers.front().m_request;
        pop(pool.m_timers);
        auto const found = pool.m_requests.find(id);
        if (found != pool.m_requests.end())
        {
            handle_request_timer(pool, found, now, budgets, out);
        }
    }
    if (pool.m_handover_until <= now)
    {
        pool.m_handover.clear();
        pool.m_handover_until = time_point::max();
    }
    update_cold_limits(pool, now);
    check_targets(pool, now, budgets, out);
    dispatch_queued(pool, now, out);
    prune_timers(pool);
}

std::optional<time_point> next_timer(pool const& pool)
{
    auto next = std::min({pool.m_next_dispatch_check, next_target_check(pool),
                          pool.m_handover_until, next_cold_end(pool)});
    if (!pool.m_timers.empty())
    {
        next = std::min(next, pool.m_timers.front().m_expires_at);
    }
    return next == time_point::max() ? std::nullopt : std::optional(next);
}

std::size_t queue_length(pool const& pool) noexcept
{
    return pool.m_queued_count + pool.m_retry_queue.size();
}

std::size_t in_flight(pool const& pool) noexcept
{
    std::size_t total = 0;
    for (auto const& entry : pool.m_targets)
    {
        total += static_cast<std::size_t>(entry.m_in_flight);
    }
    return total;
}

} // namespace hawthornspur::core
