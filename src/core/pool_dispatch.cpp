#include "core/pool_dispatch.hpp"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace hawthornspur::core
{

namespace
{

constexpr duration bind_again_interval = std::chrono::milliseconds(10);
// A request that another zone refused waits here.
constexpr int most_returns = 1;
constexpr duration shortest_hedge_delay = std::chrono::milliseconds(2);
constexpr int hedge_delay_factor = 2;
// An answer that takes this much longer than usual was slowed down, or its
// request is a long one; the target's report tells which.
constexpr double slow_hedge_delay_factor = 1.3;
constexpr duration slow_hedge_interval = std::chrono::milliseconds(50);
// Hedges may use slots only while a fifth of the pool is free.
constexpr int spare_divisor = 5;

bool was_tried(request_entry const& request, target_id target)
{
    return std::any_of(request.m_attempts.begin(),
                       request.m_attempts.begin() + request.m_count,
                       [&](attempt_entry const& attempt)
                       { return attempt.m_target == target; });
}

struct candidate
{
    target_entry* m_target = nullptr;
    bool m_slow = false;
    double m_log_slowness = 0;
    double m_score = 0;
};

bool is_better(candidate const& a, candidate const& b)
{
    if (b.m_target == nullptr)
    {
        return true;
    }
    if (a.m_slow != b.m_slow)
    {
        return b.m_slow;
    }
    if (a.m_score != b.m_score)
    {
        return a.m_score < b.m_score;
    }
    return a.m_target->m_dispatched < b.m_target->m_dispatched;
}

/// The usable, untried target with a free slot that should finish soonest.
/// Own observations count most; the reported load only breaks near ties.
candidate pick_target(pool& p, request_entry const& request, time_point now)
{
    candidate best;
    pool_median median;
    bool median_known = false;
    for (auto& target : p.m_targets)
    {
        if (free_slots(target, now) <= 0 ||
            was_tried(request, target.m_spec.m_id))
        {
            continue;
        }
        if (!median_known)
        {
            median = find_median(p, now);
            median_known = true;
        }
        auto const slowness = std::max(0.0, log_slowness(target.m_limit, now) -
                                                median.m_log_slowness) +
                              std::log(expected_slowness(target.m_speed, now));
        auto const own =
            static_cast<double>(target.m_in_flight) / target.m_spec.m_slots;
        candidate const next{&target, is_slow(target, median, now), slowness,
                             slowness + own + target.m_refusal_share +
                                 0.1 * target.m_reported_utilization};
        if (is_better(next, best))
        {
            best = next;
        }
    }
    return best;
}

/// Slots of usable targets that are not slow.
int fast_limit(pool& p, request_entry const& request, time_point now)
{
    auto const median = find_median(p, now);
    int limit = 0;
    for (auto const& target : p.m_targets)
    {
        if (is_usable(target) && !was_tried(request, target.m_spec.m_id) &&
            !is_slow(target, median, now))
        {
            limit += whole_limit(target.m_limit, target.m_spec.m_slots);
        }
    }
    return limit;
}

/// The time that the request usually takes at a target that is not slow.
duration usual_time(pool const& p, request_entry const& request)
{
    return median(p.m_kinds[request.m_arrival.m_kind.m_value].m_times);
}

duration time_at(pool const& p, request_entry const& request,
                 target_entry const& target, time_point now)
{
    return std::chrono::duration_cast<duration>(
        usual_time(p, request) * expected_slowness(target.m_speed, now));
}

/// Whether waiting serves the request better than a target that says that it is
/// slow at the moment. A request that still has time for its objective waits
/// for a fast slot or for the slowness to pass; a late one takes the slow slot,
/// which nobody else wants, unless it could not finish there.
bool should_wait_for_fast(pool const& p, target_entry const& slow,
                          request_entry const& request, time_point now)
{
    auto const end = now + time_at(p, request, slow, now);
    auto const& arrival = request.m_arrival;
    if (end >= arrival.m_deadline)
    {
        return true;
    }
    return arrival.m_objective && end > *arrival.m_objective &&
           now + usual_time(p, request) < *arrival.m_objective;
}

/// Whether the request at the head finishes sooner if it waits for a faster
/// target: the queue would have to be long before a slow slot helps it.
bool should_wait(pool& p, candidate const& best, request_entry const& request,
                 time_point now)
{
    if (!best.m_slow)
    {
        return false;
    }
    if (says_slow(best.m_target->m_speed, now))
    {
        return should_wait_for_fast(p, *best.m_target, request, now);
    }
    auto const fast = fast_limit(p, request, now);
    auto const useful_queue = (std::exp(best.m_log_slowness) - 1) * fast;
    return fast > 0 && static_cast<double>(p.m_queued) < useful_queue;
}

/// Sends a waiting request to another zone where it finishes sooner.
bool try_spill(pool& p, request_map::iterator found, candidate const& best,
               time_point now, pool_effects& out)
{
    auto const& request = found->second;
    auto const& arrival = request.m_arrival;
    if (arrival.m_spilled || arrival.m_spill_refusals >= most_returns)
    {
        return false;
    }
    auto const usual = usual_time(p, request);
    auto const& kind = p.m_kinds[arrival.m_kind.m_value];
    auto const local_wait =
        best.m_target == nullptr
            ? expected_wait(p, kind, now)
            : time_at(p, request, *best.m_target, now) - usual;
    auto* option = choose_spill(p.m_spill, local_wait, now);
    if (option == nullptr ||
        now + option->m_cost + option->m_wait + usual >= arrival.m_deadline)
    {
        return false;
    }
    use_slot(*option, found->first, request.m_sequence, usual, now);
    out.emplace_back(spill_effect{found->first, option->m_zone});
    p.m_requests.erase(found);
    return true;
}

void dispatch(pool& p, request_entry& request, target_entry& target,
              attempt_reason reason, time_point now, pool_effects& out)
{
    assert(request.m_count < max_attempts && !request.m_answered);
    assert(target.m_in_flight < target.m_spec.m_slots);
    request.m_attempts[request.m_count] = {
        target.m_spec.m_id, now, true, expected_slowness(target.m_speed, now)};
    ++request.m_count;
    request.m_queued = false;
    ++target.m_in_flight;
    target.m_dispatched = now;
    auto& kind = p.m_kinds[request.m_arrival.m_kind.m_value];
    ++kind.m_in_flight;
    if (request.m_hedges_slow && !request.m_hedge && request.m_count == 1)
    {
        auto const delay =
            std::max(slow_hedge_interval, std::chrono::duration_cast<duration>(
                                              slow_hedge_delay_factor *
                                              seconds(median(kind.m_times))));
        push(p.m_timers, {now + delay, request.m_arrival.m_request});
    }
    if (request.m_hedge && request.m_count == 1)
    {
        auto const delay = std::max(shortest_hedge_delay,
                                    hedge_delay_factor * p95(kind.m_times));
        push(p.m_timers, {now + delay, request.m_arrival.m_request});
    }
    out.emplace_back(
        dispatch_effect{.m_request = request.m_arrival.m_request,
                        .m_attempt = request.m_count,
                        .m_target = target.m_spec.m_id,
                        .m_reason = reason,
                        .m_needs_verified_connection = !request.m_idempotent});
}

bool is_kind_at_cap(pool const& p, kind_entry const& kind, int slots)
{
    return kind.m_in_flight >= kind_cap(p, kind, slots);
}

/// Whether the request would miss its deadline even if it started now. While
/// nothing else waits, an estimate is never a reason to refuse, so that a
/// wrong estimate is always corrected by new answers.
bool is_overdue(pool const& p, queued_request const& next,
                kind_entry const& kind, time_point now)
{
    if (p.m_queued <= 1)
    {
        return next.m_deadline <= now;
    }
    bool const has_objective =
        kind.m_config.m_target_latency > duration::zero();
    auto const needed =
        has_objective ? median(kind.m_times) : p95(kind.m_times);
    return next.m_deadline - now <= needed;
}

kind_entry* next_kind(pool& p, int slots, time_point now)
{
    auto const order = p.m_rules.m_order;
    kind_entry* best = nullptr;
    for (auto& kind : p.m_kinds)
    {
        if (kind.m_queue.empty() || is_kind_at_cap(p, kind, slots))
        {
            continue;
        }
        if (best == nullptr ||
            kind.m_config.m_priority < best->m_config.m_priority ||
            (kind.m_config.m_priority == best->m_config.m_priority &&
             goes_before(front(kind.m_queue, order, now),
                         front(best->m_queue, order, now), order, now)))
        {
            best = &kind;
        }
    }
    return best;
}

/// The request of the kind that is bound next. Those that can still be answered
/// within their objective go before those that are late anyway, so that one
/// moment of overload does not make all later requests late.
queued_request const& next_request(pool const& p, kind_entry const& kind,
                                   time_point now)
{
    auto const usual = median(kind.m_times);
    if (p.m_rules.m_order == queue_order::first_come &&
        kind.m_config.m_target_latency > duration::zero())
    {
        for (auto const& waiting : kind.m_queue)
        {
            auto const& arrival = p.m_requests.at(waiting.m_request).m_arrival;
            if (!arrival.m_objective || now + usual <= *arrival.m_objective)
            {
                return waiting;
            }
        }
    }
    return front(kind.m_queue, p.m_rules.m_order, now);
}

/// Whether the request would be late even if a fast target took it now.
bool is_late(pool const& p, request_entry const& request, time_point now)
{
    auto const& objective = request.m_arrival.m_objective;
    return objective && now + usual_time(p, request) > *objective;
}

/// While the requests that are in time wait for a fast target, the free slots
/// of slow ones serve those that are late anyway, the most urgent kind first.
/// Returns whether one was bound.
bool bind_late(pool& p, int slots, time_point now, pool_effects& out)
{
    std::vector<kind_entry*> kinds;
    for (auto& kind : p.m_kinds)
    {
        if (!kind.m_queue.empty() && !is_kind_at_cap(p, kind, slots))
        {
            kinds.push_back(&kind);
        }
    }
    std::stable_sort(kinds.begin(), kinds.end(),
                     [](kind_entry const* a, kind_entry const* b) {
                         return a->m_config.m_priority < b->m_config.m_priority;
                     });
    for (auto* kind : kinds)
    {
        for (auto const& waiting : kind->m_queue)
        {
            auto& request = p.m_requests.at(waiting.m_request);
            if (!is_late(p, request, now))
            {
                continue;
            }
            auto const best = pick_target(p, request, now);
            if (best.m_target == nullptr || should_wait(p, best, request, now))
            {
                continue;
            }
            auto const id = waiting.m_request;
            remove(kind->m_queue, id);
            --p.m_queued;
            dispatch(p, request, *best.m_target, attempt_reason::first, now,
                     out);
            return true;
        }
    }
    return false;
}

void bind_retries(pool& p, int slots, time_point now, pool_effects& out)
{
    for (std::size_t i = 0; i < p.m_retries.size();)
    {
        auto const found = p.m_requests.find(p.m_retries[i]);
        assert(found != p.m_requests.end());
        auto& request = found->second;
        auto const& kind = p.m_kinds[request.m_arrival.m_kind.m_value];
        auto const erase_entry = [&]
        {
            p.m_retries.erase(p.m_retries.begin() +
                              static_cast<std::ptrdiff_t>(i));
            request.m_queued = false;
        };
        if (!has_untried_target(p, request))
        {
            erase_entry();
            refuse(p, found, request.m_last_code, out);
            continue;
        }
        auto const best = is_kind_at_cap(p, kind, slots)
                              ? candidate{}
                              : pick_target(p, request, now);
        if (best.m_target == nullptr)
        {
            ++i;
            continue;
        }
        erase_entry();
        dispatch(p, request, *best.m_target, request.m_reason, now, out);
    }
}

} // namespace

bool has_untried_target(pool const& p, request_entry const& request)
{
    return std::any_of(p.m_targets.begin(), p.m_targets.end(),
                       [&](target_entry const& target) {
                           return is_usable(target) &&
                                  !was_tried(request, target.m_spec.m_id);
                       });
}

void refuse_overdue(pool& p, request_map::iterator request, pool_effects& out)
{
    auto& entry = request->second;
    remove_from_queue(p, entry);
    entry.m_queued = false;
    refuse(p, request, result_code::deadline_passed_in_queue, out);
}

void bind(pool& p, time_point now, pool_effects& out)
{
    p.m_bind_again = time_point::max();
    auto const slots = count_slots(p, now).m_slots;
    if (!p.m_retries.empty())
    {
        bind_retries(p, slots, now, out);
    }
    while (p.m_queued > 0)
    {
        auto* kind = next_kind(p, slots, now);
        if (kind == nullptr)
        {
            return;
        }
        auto const next = next_request(p, *kind, now);
        auto const found = p.m_requests.find(next.m_request);
        assert(found != p.m_requests.end());
        auto& request = found->second;
        if (is_overdue(p, next, *kind, now))
        {
            remove(kind->m_queue, next.m_request);
            --p.m_queued;
            request.m_queued = false;
            refuse(p, found, result_code::deadline_passed_in_queue, out);
            continue;
        }
        auto const best = pick_target(p, request, now);
        if (best.m_target != nullptr && !should_wait(p, best, request, now))
        {
            remove(kind->m_queue, next.m_request);
            --p.m_queued;
            dispatch(p, request, *best.m_target, attempt_reason::first, now,
                     out);
            continue;
        }
        if (try_spill(p, found, best, now, out))
        {
            remove(kind->m_queue, next.m_request);
            --p.m_queued;
            continue;
        }
        if (best.m_target == nullptr)
        {
            return;
        }
        if (!bind_late(p, slots, now, out))
        {
            p.m_bind_again = now + bind_again_interval;
            return;
        }
    }
}

namespace
{

/// A target for a second attempt, while nothing else needs its slot.
candidate pick_spare_target(pool& p, request_entry const& request,
                            time_point now)
{
    auto const slots = count_slots(p, now);
    auto const& kind = p.m_kinds[request.m_arrival.m_kind.m_value];
    bool const has_spare = p.m_queued == 0 && p.m_retries.empty() &&
                           slots.m_free > 0 &&
                           slots.m_free * spare_divisor >= slots.m_limit &&
                           !is_kind_at_cap(p, kind, slots.m_slots);
    return has_spare ? pick_target(p, request, now) : candidate{};
}

bool is_at_slow_target(pool& p, request_entry const& request, time_point now)
{
    auto const* target =
        find_target(p, request.m_attempts[request.m_count - 1].m_target);
    return target != nullptr && says_slow(target->m_speed, now);
}

} // namespace

void hedge_slow(pool& p, request_entry& request, time_point now,
                service_budgets& budgets, pool_effects& out)
{
    if (is_late(p, request, now))
    {
        return;
    }
    auto const best = is_at_slow_target(p, request, now)
                          ? pick_spare_target(p, request, now)
                          : candidate{};
    if (best.m_target != nullptr && !best.m_slow)
    {
        if (try_spend(budgets.m_retry))
        {
            dispatch(p, request, *best.m_target, attempt_reason::hedge, now,
                     out);
        }
        return;
    }
    push(p.m_timers, {now + slow_hedge_interval, request.m_arrival.m_request});
}

void hedge(pool& p, request_entry& request, time_point now,
           service_budgets& budgets, pool_effects& out)
{
    auto const& kind = p.m_kinds[request.m_arrival.m_kind.m_value];
    auto const best = pick_spare_target(p, request, now);
    if (best.m_target == nullptr || best.m_slow)
    {
        auto const delay = std::max(shortest_hedge_delay, p95(kind.m_times));
        push(p.m_timers, {now + delay, request.m_arrival.m_request});
        return;
    }
    if (try_spend(budgets.m_retry))
    {
        dispatch(p, request, *best.m_target, attempt_reason::hedge, now, out);
    }
}

} // namespace hawthornspur::core
