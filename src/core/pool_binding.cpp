#include "core/pool_binding.hpp"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace hawthornspur::core
{

namespace
{

constexpr duration bind_again_interval = std::chrono::milliseconds(10);
constexpr duration shortest_hedge_delay = std::chrono::milliseconds(2);
constexpr int hedge_delay_factor = 2;
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
                                                median.m_log_slowness);
        auto const own =
            static_cast<double>(target.m_in_flight) / target.m_spec.m_slots;
        candidate const next{&target, is_slow(target, median, now), slowness,
                             slowness + own +
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

/// Whether the request at the head finishes sooner if it waits for a faster
/// target: the queue would have to be long before a slow slot helps it.
bool should_wait(pool& p, candidate const& best, request_entry const& request,
                 time_point now)
{
    if (!best.m_slow)
    {
        return false;
    }
    auto const fast = fast_limit(p, request, now);
    auto const useful_queue = (std::exp(best.m_log_slowness) - 1) * fast;
    return fast > 0 && static_cast<double>(p.m_queued) < useful_queue;
}

void dispatch(pool& p, request_entry& request, target_entry& target,
              attempt_reason reason, time_point now, pool_effects& out)
{
    assert(request.m_count < max_attempts && !request.m_answered);
    assert(target.m_in_flight < target.m_spec.m_slots);
    request.m_attempts[request.m_count] = {target.m_spec.m_id, now, true};
    ++request.m_count;
    request.m_queued = false;
    ++target.m_in_flight;
    target.m_dispatched = now;
    auto& kind = p.m_kinds[request.m_arrival.m_kind.m_value];
    ++kind.m_in_flight;
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
                        .m_needs_proved_connection = !request.m_idempotent});
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
    auto const needed = p.m_queued > 1 ? p95(kind.m_times) : duration::zero();
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
        auto const next = front(kind->m_queue, p.m_rules.m_order, now);
        auto const found = p.m_requests.find(next.m_request);
        assert(found != p.m_requests.end());
        auto& request = found->second;
        if (is_overdue(p, next, *kind, now))
        {
            pop(kind->m_queue, p.m_rules.m_order, now);
            --p.m_queued;
            request.m_queued = false;
            refuse(p, found, result_code::deadline_passed_in_queue, out);
            continue;
        }
        auto const best = pick_target(p, request, now);
        if (best.m_target == nullptr)
        {
            return;
        }
        if (should_wait(p, best, request, now))
        {
            p.m_bind_again = now + bind_again_interval;
            return;
        }
        pop(kind->m_queue, p.m_rules.m_order, now);
        --p.m_queued;
        dispatch(p, request, *best.m_target, attempt_reason::first, now, out);
    }
}

void hedge(pool& p, request_entry& request, time_point now,
           service_budgets& budgets, pool_effects& out)
{
    auto const slots = count_slots(p, now);
    auto const& kind = p.m_kinds[request.m_arrival.m_kind.m_value];
    bool const has_spare = p.m_queued == 0 && p.m_retries.empty() &&
                           slots.m_free > 0 &&
                           slots.m_free * spare_divisor >= slots.m_limit &&
                           !is_kind_at_cap(p, kind, slots.m_slots);
    auto const best = has_spare ? pick_target(p, request, now) : candidate{};
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
