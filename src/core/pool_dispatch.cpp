#include "core/pool_dispatch.hpp"

#include "core/pool_evacuation.hpp"
#include "core/pool_sharing.hpp"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace hawthornspur::core
{

namespace
{

constexpr duration dispatch_check_interval = std::chrono::milliseconds(10);
// A request that other zones refused this many times is not spilled again.
constexpr int max_spill_refusals = 1;
constexpr duration min_hedge_delay = std::chrono::milliseconds(2);
constexpr int hedge_delay_factor = 2;
// An attempt that takes this much longer than the median either runs at a
// target that has become slow, which the target's reports show, or takes long
// anyway.
constexpr double slow_hedge_delay_factor = 1.3;
constexpr duration slow_hedge_interval = std::chrono::milliseconds(50);
// Hedges are sent only while at least a fifth of the usable slots is free.
constexpr int hedge_free_slots_divisor = 5;

bool has_tried(request_entry const& request, target_id target)
{
    auto const& elsewhere = request.m_arrival.m_tried_targets;
    return std::find(elsewhere.begin(), elsewhere.end(), target) !=
               elsewhere.end() ||
           std::any_of(request.m_attempts.begin(),
                       request.m_attempts.begin() + request.m_attempt_count,
                       [&](attempt_entry const& attempt)
                       { return attempt.m_target == target; });
}

struct candidate
{
    target_entry* m_target = nullptr;
    /// Both the request and one that the target runs have lost a target before.
    bool m_runs_other_accused = false;
    bool m_is_slow = false;
    double m_log_slowness = 0;
    double m_score = 0;
};

bool is_better(candidate const& a, candidate const& b)
{
    if (b.m_target == nullptr)
    {
        return true;
    }
    if (a.m_runs_other_accused != b.m_runs_other_accused)
    {
        return b.m_runs_other_accused;
    }
    if (a.m_is_slow != b.m_is_slow)
    {
        return b.m_is_slow;
    }
    if (a.m_score != b.m_score)
    {
        return a.m_score < b.m_score;
    }
    return a.m_target->m_last_dispatch < b.m_target->m_last_dispatch;
}

/// Selects the untried target with a free slot that is expected to finish the
/// request first. Own observations count most; the utilization that targets
/// report only decides between nearly equal ones. Requests that lost the same
/// target are kept apart, so that the one that ended it does not take the
/// others with it again and stands out.
candidate pick_target(pool& pool, request_entry const& request, time_point now)
{
    candidate best;
    pool_median median;
    bool has_median = false;
    for (auto& target : pool.m_targets)
    {
        if (free_slots(target, now) <= 0 ||
            has_tried(request, target.m_spec.m_id))
        {
            continue;
        }
        if (!has_median)
        {
            median = compute_median(pool, now);
            has_median = true;
        }
        auto const slowness =
            std::max(0.0, log_slowness(target.m_limit, now) -
                              median.m_log_slowness) +
            std::log(expected_slowness(target.m_slowness_estimate, now));
        auto const own_utilization =
            static_cast<double>(target.m_in_flight) / target.m_spec.m_slots;
        bool const is_shared =
            count_target_ends(request) > 0 && target.m_accused_in_flight > 0;
        candidate const current{
            &target, is_shared, is_slow(target, median, now), slowness,
            slowness + own_utilization + target.m_refusal_share +
                0.1 * target.m_reported_utilization};
        if (is_better(current, best))
        {
            best = current;
        }
    }
    return best;
}

/// Sum of the limits of the usable, untried targets that are not slow.
int count_fast_slots(pool& pool, request_entry const& request, time_point now)
{
    auto const median = compute_median(pool, now);
    int limit = 0;
    for (auto const& target : pool.m_targets)
    {
        if (is_usable(target) && !has_tried(request, target.m_spec.m_id) &&
            !is_slow(target, median, now))
        {
            limit += usable_slots(pool, target);
        }
    }
    return limit;
}

/// Median time that requests of this kind take.
duration median_time(pool const& pool, request_entry const& request)
{
    return median(
        pool.m_kinds[request.m_arrival.m_kind.m_value].m_service_time);
}

duration expected_time_at(pool const& pool, request_entry const& request,
                          target_entry const& target, time_point now)
{
    return std::chrono::duration_cast<duration>(
        median_time(pool, request) *
        expected_slowness(target.m_slowness_estimate, now));
}

/// Whether the request should wait instead of taking a slot of a target that
/// reports that it is slow. A request that can still meet its objective waits
/// for a slot of a fast target or until the target is no longer slow. A late
/// one takes the slow slot, which other requests do not use, unless it would
/// miss its deadline there.
bool should_wait_for_fast_target(pool const& pool, target_entry const& slow,
                                 request_entry const& request, time_point now)
{
    auto const end = now + expected_time_at(pool, request, slow, now);
    auto const& arrival = request.m_arrival;
    if (end >= arrival.m_deadline)
    {
        return true;
    }
    return arrival.m_objective && end > *arrival.m_objective &&
           now + median_time(pool, request) < *arrival.m_objective;
}

/// Whether the request is expected to finish sooner if it waits for a faster
/// target than if it takes the best free slot. A slot of a slow target is only
/// worth taking if the queue is long.
bool should_wait(pool& pool, candidate const& best,
                 request_entry const& request, time_point now)
{
    if (!best.m_is_slow)
    {
        return false;
    }
    if (is_reported_slow(best.m_target->m_slowness_estimate, now))
    {
        return should_wait_for_fast_target(pool, *best.m_target, request, now);
    }
    auto const fast_slots = count_fast_slots(pool, request, now);
    auto const min_queue_length =
        (std::exp(best.m_log_slowness) - 1) * fast_slots;
    return fast_slots > 0 &&
           static_cast<double>(pool.m_queued_count) < min_queue_length;
}

/// Spills a waiting request to another zone if it is expected to finish sooner
/// there. Returns whether it was spilled; the request is then erased.
bool try_spill(pool& pool, request_map::iterator entry, candidate const& best,
               time_point now, pool_effects& out)
{
    auto const& request = entry->second;
    auto const& arrival = request.m_arrival;
    // A request that may crash its target is not passed on to another zone.
    if (arrival.m_spilled || arrival.m_spill_refusals >= max_spill_refusals ||
        count_target_ends(request) > 0)
    {
        return false;
    }
    auto const usual_time = median_time(pool, request);
    auto const local_wait =
        best.m_target == nullptr
            ? expected_wait(pool, arrival, now)
            : expected_time_at(pool, request, *best.m_target, now) - usual_time;
    auto* option = choose_spill(pool.m_spill_options, local_wait, now);
    if (option == nullptr ||
        now + option->m_cost + option->m_wait + usual_time >=
            arrival.m_deadline)
    {
        return false;
    }
    reserve_slot(*option, entry->first, request.m_sequence, usual_time, now);
    out.emplace_back(spill_effect{entry->first, option->m_zone});
    remove_waiting(pool, arrival);
    pool.m_requests.erase(entry);
    return true;
}

void dispatch(pool& pool, request_entry& request, target_entry& target,
              attempt_reason reason, time_point now, pool_effects& out)
{
    assert(request.m_attempt_count < max_attempts && !request.m_answered);
    assert(target.m_in_flight < target.m_spec.m_slots);
    if (reason == attempt_reason::first &&
        request.m_arrival.m_prior_attempts > 0)
    {
        reason = attempt_reason::retry_after_other_host;
    }
    bool const is_accused = count_target_ends(request) > 0;
    request.m_attempts[request.m_attempt_count] = {
        target.m_spec.m_id, now, true, is_accused,
        expected_slowness(target.m_slowness_estimate, now)};
    ++request.m_attempt_count;
    request.m_queued = false;
    ++target.m_in_flight;
    target.m_accused_in_flight += is_accused ? 1 : 0;
    target.m_last_dispatch = now;
    take_token(target.m_rate, now);
    ++target.m_rate.m_attempts;
    auto& kind = pool.m_kinds[request.m_arrival.m_kind.m_value];
    ++kind.m_in_flight;
    if (request.m_hedge_on_slow_target && !request.m_hedge_on_delay &&
        request.m_attempt_count == 1)
    {
        auto const delay = std::max(slow_hedge_interval,
                                    std::chrono::duration_cast<duration>(
                                        slow_hedge_delay_factor *
                                        seconds(median(kind.m_service_time))));
        push(pool.m_timers, {now + delay, request.m_arrival.m_request});
    }
    if (request.m_hedge_on_delay && request.m_attempt_count == 1)
    {
        auto const delay = std::max(
            min_hedge_delay, hedge_delay_factor * p95(kind.m_service_time));
        push(pool.m_timers, {now + delay, request.m_arrival.m_request});
    }
    out.emplace_back(
        dispatch_effect{.m_request = request.m_arrival.m_request,
                        .m_attempt = request.m_attempt_count,
                        .m_target = target.m_spec.m_id,
                        .m_reason = reason,
                        .m_needs_verified_connection = !request.m_idempotent});
}

bool is_kind_at_cap(pool const& pool, kind_entry const& kind, int slots)
{
    return kind.m_in_flight >= kind_cap(pool, kind, slots);
}

/// Whether the request would miss its deadline even if it was dispatched now.
/// If no other request is queued, the estimated time is not considered, so that
/// requests keep running whose answers correct a wrong estimate.
bool is_overdue(pool const& pool, queued_request const& next,
                kind_entry const& kind, time_point now)
{
    if (pool.m_queued_count <= 1)
    {
        return next.m_deadline <= now;
    }
    bool const has_objective =
        kind.m_config.m_target_latency > duration::zero();
    auto const needed =
        has_objective ? median(kind.m_service_time) : p95(kind.m_service_time);
    return next.m_deadline - now <= needed;
}

kind_entry* pick_kind(pool& pool, int slots, time_point now)
{
    auto const order = pool.m_rules.m_order;
    kind_entry* best = nullptr;
    for (auto& kind : pool.m_kinds)
    {
        if (kind.m_queue.empty() || is_kind_at_cap(pool, kind, slots))
        {
            continue;
        }
        if (best == nullptr ||
            kind.m_config.m_priority < best->m_config.m_priority ||
            (kind.m_config.m_priority == best->m_config.m_priority &&
             is_served_before(front(kind.m_queue, order, now),
                              front(best->m_queue, order, now), order, now)))
        {
            best = &kind;
        }
    }
    return best;
}

/// Whether the request has spent half of the time that it could wait and still
/// meet its objective.
bool has_spent_half_of_slack(pool const& pool, queued_request const& waiting,
                             duration usual_time, time_point now)
{
    auto const& objective =
        pool.m_requests.at(waiting.m_request).m_arrival.m_objective;
    return objective &&
           *objective - usual_time - now < now - waiting.m_enqueued_at;
}

/// Selects the next request of a queue of this kind. In first-come order,
/// requests that can still meet their objective precede late ones, so that a
/// short overload does not make all later requests late. While more requests
/// arrive than can be served, the newest goes first: in the order of arrival,
/// each would be dispatched when it can just meet its objective, and half of
/// the answers would be late.
queued_request const& pick_request(pool const& pool, kind_entry const& kind,
                                   kind_queue const& queue, time_point now)
{
    auto const usual_time = median(kind.m_service_time);
    if (pool.m_rules.m_order != queue_order::first_come ||
        kind.m_config.m_target_latency <= duration::zero())
    {
        return front(queue, pool.m_rules.m_order, now);
    }
    auto const can_be_in_time = [&](queued_request const& waiting)
    {
        auto const& objective =
            pool.m_requests.at(waiting.m_request).m_arrival.m_objective;
        return !objective || now + usual_time <= *objective;
    };
    auto const oldest =
        std::find_if(queue.begin(), queue.end(), can_be_in_time);
    if (oldest == queue.end())
    {
        return queue.front();
    }
    if (!has_spent_half_of_slack(pool, *oldest, usual_time, now))
    {
        return *oldest;
    }
    return *std::find_if(queue.rbegin(), queue.rend(), can_be_in_time);
}

/// The queue that goes next, of a kind or of a flow of a customer.
struct next_queue
{
    kind_entry const* m_kind = nullptr;
    kind_queue const* m_queue = nullptr;
};

next_queue pick_queue(pool& pool, int slots, time_point now)
{
    if (pool.m_is_shared_by_customer)
    {
        auto const* flow = pick_flow(pool, slots);
        return flow == nullptr
                   ? next_queue{}
                   : next_queue{&pool.m_kinds[flow->m_kind.m_value],
                                &pool.m_share.m_flows.at(*flow).m_queue};
    }
    auto const* kind = pick_kind(pool, slots, now);
    return kind == nullptr ? next_queue{} : next_queue{kind, &kind->m_queue};
}

/// Whether the request would miss its objective even if it was dispatched to a
/// fast target now.
bool is_late(pool const& pool, request_entry const& request, time_point now)
{
    auto const& objective = request.m_arrival.m_objective;
    return objective && now + median_time(pool, request) > *objective;
}

/// Dispatches the first late request of the queue that a free slot of a slow
/// target can serve. Returns whether a request was dispatched.
bool dispatch_late_of_queue(pool& pool, kind_queue const& queue, time_point now,
                            pool_effects& out)
{
    for (auto const& waiting : queue)
    {
        auto& request = pool.m_requests.at(waiting.m_request);
        if (!is_late(pool, request, now))
        {
            continue;
        }
        auto const best = pick_target(pool, request, now);
        if (best.m_target == nullptr || should_wait(pool, best, request, now))
        {
            continue;
        }
        start_waiting(pool, request.m_arrival, waiting.m_enqueued_at, now);
        dispatch(pool, request, *best.m_target, attempt_reason::first, now,
                 out);
        return true;
    }
    return false;
}

/// Dispatches a late request to a free slot of a slow target, which requests
/// that can meet their objective leave unused while they wait for a fast one.
/// The most urgent kind goes first, or the flow that is served next. Returns
/// whether a request was dispatched.
bool dispatch_late(pool& pool, int slots, time_point now, pool_effects& out)
{
    if (pool.m_is_shared_by_customer)
    {
        auto const queues = list_queues(pool, slots);
        return std::any_of(
            queues.begin(), queues.end(),
            [&](kind_queue const* queue)
            { return dispatch_late_of_queue(pool, *queue, now, out); });
    }
    std::vector<kind_entry*> kinds;
    for (auto& kind : pool.m_kinds)
    {
        if (!kind.m_queue.empty() && !is_kind_at_cap(pool, kind, slots))
        {
            kinds.push_back(&kind);
        }
    }
    std::stable_sort(kinds.begin(), kinds.end(),
                     [](kind_entry const* a, kind_entry const* b) {
                         return a->m_config.m_priority < b->m_config.m_priority;
                     });
    return std::any_of(
        kinds.begin(), kinds.end(),
        [&](kind_entry const* kind)
        { return dispatch_late_of_queue(pool, kind->m_queue, now, out); });
}

void dispatch_retries(pool& pool, int slots, time_point now, pool_effects& out)
{
    for (std::size_t i = 0; i < pool.m_retry_queue.size();)
    {
        auto const found = pool.m_requests.find(pool.m_retry_queue[i]);
        assert(found != pool.m_requests.end());
        auto& request = found->second;
        auto const& kind = pool.m_kinds[request.m_arrival.m_kind.m_value];
        auto const erase_entry = [&]
        {
            pool.m_retry_queue.erase(pool.m_retry_queue.begin() +
                                     static_cast<std::ptrdiff_t>(i));
            request.m_queued = false;
        };
        if (!has_untried_target(pool, request))
        {
            erase_entry();
            refuse(pool, found, request.m_last_code, out);
            continue;
        }
        auto const best = is_kind_at_cap(pool, kind, slots)
                              ? candidate{}
                              : pick_target(pool, request, now);
        if (best.m_target == nullptr)
        {
            ++i;
            continue;
        }
        erase_entry();
        dispatch(pool, request, *best.m_target, request.m_retry_reason, now,
                 out);
    }
}

} // namespace

bool has_untried_target(pool const& pool, request_entry const& request)
{
    return std::any_of(pool.m_targets.begin(), pool.m_targets.end(),
                       [&](target_entry const& target) {
                           return is_usable(target) &&
                                  !has_tried(request, target.m_spec.m_id);
                       });
}

void refuse_overdue(pool& pool, request_map::iterator request,
                    pool_effects& out)
{
    auto& entry = request->second;
    remove_from_queue(pool, entry);
    entry.m_queued = false;
    refuse(pool, request, result_code::deadline_passed_in_queue, out);
}

namespace
{

/// When the rate limit of a target with a free slot allows the next request.
time_point next_rate_token(pool const& pool, time_point now)
{
    auto next = time_point::max();
    for (auto const& target : pool.m_targets)
    {
        if (is_usable(target) && !has_token(target.m_rate, now) &&
            target.m_in_flight <
                integer_limit(target.m_limit, target.m_spec.m_slots))
        {
            next = std::min(next, next_token(target.m_rate, now));
        }
    }
    return next;
}

/// Dispatches, spills or refuses requests until the rest has to wait.
void dispatch_ready(pool& pool, time_point now, pool_effects& out)
{
    auto const slots = count_slots(pool, now).m_slots;
    if (!pool.m_retry_queue.empty())
    {
        dispatch_retries(pool, slots, now, out);
    }
    while (pool.m_queued_count > 0)
    {
        auto const [kind, queue] = pick_queue(pool, slots, now);
        if (kind == nullptr)
        {
            return;
        }
        auto const next = pick_request(pool, *kind, *queue, now);
        auto const found = pool.m_requests.find(next.m_request);
        assert(found != pool.m_requests.end());
        auto& request = found->second;
        if (is_overdue(pool, next, *kind, now))
        {
            remove_waiting(pool, request.m_arrival);
            request.m_queued = false;
            refuse(pool, found, result_code::deadline_passed_in_queue, out);
            continue;
        }
        auto const best = pick_target(pool, request, now);
        if (best.m_target != nullptr && !should_wait(pool, best, request, now))
        {
            start_waiting(pool, request.m_arrival, next.m_enqueued_at, now);
            dispatch(pool, request, *best.m_target, attempt_reason::first, now,
                     out);
            continue;
        }
        if (try_spill(pool, found, best, now, out))
        {
            continue;
        }
        if (best.m_target == nullptr)
        {
            return;
        }
        if (!dispatch_late(pool, slots, now, out))
        {
            pool.m_next_dispatch_check = now + dispatch_check_interval;
            return;
        }
    }
}

} // namespace

bool spill_waiting(pool& pool, request_map::iterator request, time_point now,
                   pool_effects& out)
{
    return request->second.m_attempt_count == 0 &&
           try_spill(pool, request, {}, now, out);
}

void dispatch_queued(pool& pool, time_point now, pool_effects& out)
{
    pool.m_next_dispatch_check = time_point::max();
    dispatch_ready(pool, now, out);
    release_waiting(pool, now, out);
    if (pool.m_queued_count > 0 || !pool.m_retry_queue.empty())
    {
        pool.m_next_dispatch_check =
            std::min(pool.m_next_dispatch_check, next_rate_token(pool, now));
    }
}

namespace
{

/// Selects a target for a second attempt. Returns an empty candidate if other
/// requests are waiting or too few slots are free.
candidate pick_spare_target(pool& pool, request_entry const& request,
                            time_point now)
{
    auto const slots = count_slots(pool, now);
    auto const& kind = pool.m_kinds[request.m_arrival.m_kind.m_value];
    bool const has_spare =
        pool.m_queued_count == 0 && pool.m_retry_queue.empty() &&
        slots.m_free > 0 &&
        slots.m_free * hedge_free_slots_divisor >= slots.m_limit &&
        !is_kind_at_cap(pool, kind, slots.m_slots);
    return has_spare ? pick_target(pool, request, now) : candidate{};
}

bool is_at_slow_target(pool& pool, request_entry const& request, time_point now)
{
    auto const* target = find_target(
        pool, request.m_attempts[request.m_attempt_count - 1].m_target);
    return target != nullptr &&
           is_reported_slow(target->m_slowness_estimate, now);
}

} // namespace

void hedge_on_slow_target(pool& pool, request_entry& request, time_point now,
                          service_budgets& budgets, pool_effects& out)
{
    if (is_late(pool, request, now))
    {
        return;
    }
    auto const& attempt = request.m_attempts[request.m_attempt_count - 1];
    bool const is_long = now >= second_run_time(attempt.m_dispatched_at,
                                                request.m_arrival.m_objective,
                                                median_time(pool, request));
    bool const is_slow = is_at_slow_target(pool, request, now);
    auto const best = is_slow || is_long ? pick_spare_target(pool, request, now)
                                         : candidate{};
    if (best.m_target != nullptr && !best.m_is_slow)
    {
        auto& kind = pool.m_kinds[request.m_arrival.m_kind.m_value];
        if ((is_slow || allow_second_run(kind.m_second_runs)) &&
            try_spend(budgets.m_repeat, now))
        {
            request.m_has_second_run = !is_slow;
            dispatch(pool, request, *best.m_target, attempt_reason::hedge, now,
                     out);
        }
        return;
    }
    push(pool.m_timers,
         {now + slow_hedge_interval, request.m_arrival.m_request});
}

void hedge_on_delay(pool& pool, request_entry& request, time_point now,
                    service_budgets& budgets, pool_effects& out)
{
    auto const& kind = pool.m_kinds[request.m_arrival.m_kind.m_value];
    auto const best = pick_spare_target(pool, request, now);
    if (best.m_target == nullptr || best.m_is_slow)
    {
        auto const delay = std::max(min_hedge_delay, p95(kind.m_service_time));
        push(pool.m_timers, {now + delay, request.m_arrival.m_request});
        return;
    }
    if (try_spend(budgets.m_repeat, now))
    {
        dispatch(pool, request, *best.m_target, attempt_reason::hedge, now,
                 out);
    }
}

} // namespace hawthornspur::core
