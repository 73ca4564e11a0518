#include "core/pool_state.hpp"

#include "core/pool_returns.hpp"
#include "core/pool_sharing.hpp"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace hawthornspur::core
{

target_entry* find_target(pool& pool, target_id id)
{
    auto const found = std::find_if(
        pool.m_targets.begin(), pool.m_targets.end(),
        [&](target_entry const& entry) { return entry.m_spec.m_id == id; });
    return found == pool.m_targets.end() ? nullptr : &*found;
}

bool is_leaving(target_entry const& target)
{
    return !target.m_listed || target.m_spec.m_leaving || target.m_draining;
}

bool is_usable(target_entry const& target)
{
    return !is_leaving(target) && !target.m_outlier.m_ejected;
}

int free_slots(target_entry const& target, time_point now)
{
    if (!is_usable(target) || !has_token(target.m_rate, now))
    {
        return 0;
    }
    auto taken = target.m_in_flight;
    if (target.m_inherited_until > now)
    {
        taken += target.m_inherited_in_flight;
    }
    taken += static_cast<int>(
        std::count_if(target.m_held_slots.begin(), target.m_held_slots.end(),
                      [&](held_slot held) { return held.m_until > now; }));
    return std::max(0, integer_limit(target.m_limit, target.m_spec.m_slots) -
                           taken);
}

int usable_slots(pool const& pool, target_entry const& target)
{
    auto const limit = integer_limit(target.m_limit, target.m_spec.m_slots);
    return static_cast<int>(std::ceil(
        usable_slots(target.m_rate, limit, mean(pool.m_service_time))));
}

slot_count count_slots(pool const& pool, time_point now)
{
    slot_count count;
    for (auto const& target : pool.m_targets)
    {
        if (!is_leaving(target))
        {
            count.m_slots += target.m_spec.m_slots;
        }
        if (is_usable(target))
        {
            auto const limit = usable_slots(pool, target);
            count.m_limit += limit;
            count.m_effective +=
                usable_slots(target.m_rate, limit, mean(pool.m_service_time)) /
                expected_slowness(target.m_slowness_estimate, now);
            auto const free = free_slots(target, now);
            count.m_free += free;
            bool const is_healthy =
                target.m_outlier.m_consecutive_failures == 0 &&
                !target.m_outlier.m_on_trial &&
                !is_reported_slow(target.m_slowness_estimate, now);
            count.m_healthy_free += is_healthy ? free : 0;
        }
    }
    return count;
}

int kind_cap(pool const& pool, kind_entry const& kind, int slots)
{
    auto const share =
        slot_share(kind.m_config.m_max_share, kind.m_config.m_share_declared,
                   kind.m_service_time, pool.m_service_time);
    return std::max(1, static_cast<int>(share * slots));
}

namespace
{

/// Work that goes before a new request of this kind in a pool without
/// customers.
work_ahead measure_work_ahead(pool const& pool, kind_entry const& kind)
{
    work_ahead ahead;
    for (auto const& other : pool.m_kinds)
    {
        if (other.m_config.m_priority <= kind.m_config.m_priority)
        {
            auto const waiting = static_cast<double>(other.m_queue.size());
            ahead.m_requests += waiting;
            ahead.m_seconds += waiting * other.m_service_time.m_mean_seconds;
        }
    }
    ahead.m_requests_of_kind = static_cast<double>(kind.m_queue.size());
    return ahead;
}

/// Wait that follows from the rate limits alone, in seconds: zero unless all
/// usable targets have one. It is also known while no answer has shown how long
/// requests take.
double expected_wait_for_token(pool const& pool, work_ahead const& ahead,
                               time_point now)
{
    double tokens_per_second = 0;
    auto next = time_point::max();
    for (auto const& target : pool.m_targets)
    {
        if (!is_usable(target))
        {
            continue;
        }
        if (!limit_in_force(target.m_rate))
        {
            return 0;
        }
        tokens_per_second += target.m_rate.m_bucket.m_tokens_per_second;
        next = std::min(next, next_token(target.m_rate, now));
    }
    if (tokens_per_second <= 0)
    {
        return 0;
    }
    return seconds(next - now).count() + ahead.m_requests / tokens_per_second;
}

duration expected_wait(pool const& pool, kind_entry const& kind,
                       work_ahead const& ahead, time_point now)
{
    auto const slots = count_slots(pool, now);
    if (slots.m_limit == 0)
    {
        return duration::max();
    }
    double wait = 0;
    if (slots.m_free == 0 || pool.m_queued_count > 0)
    {
        wait = (pool.m_service_time.m_mean_seconds + ahead.m_seconds) /
               slots.m_effective;
    }
    auto const cap = kind_cap(pool, kind, slots.m_slots);
    if (kind.m_in_flight >= cap)
    {
        wait = std::max(wait, (ahead.m_requests_of_kind + 1) *
                                  kind.m_service_time.m_mean_seconds / cap);
    }
    wait = std::max(wait, expected_wait_for_token(pool, ahead, now));
    return std::chrono::duration_cast<duration>(seconds(wait));
}

} // namespace

duration expected_wait(pool const& pool, kind_entry const& kind, time_point now)
{
    return expected_wait(pool, kind, measure_work_ahead(pool, kind), now);
}

duration expected_wait(pool const& pool, arrival const& request, time_point now)
{
    auto const& kind = pool.m_kinds[request.m_kind.m_value];
    return expected_wait(pool, kind,
                         pool.m_is_shared_by_customer
                             ? measure_work_ahead(pool, flow_of(request))
                             : measure_work_ahead(pool, kind),
                         now);
}

namespace
{

template <class Measure>
double median_over_targets(pool& pool, Measure const& measure)
{
    pool.m_scratch.clear();
    for (auto const& target : pool.m_targets)
    {
        if (!is_leaving(target))
        {
            pool.m_scratch.push_back(measure(target.m_limit));
        }
    }
    if (pool.m_scratch.empty())
    {
        return 0;
    }
    // The lower median, so that one slow target of two deviates from it.
    auto const middle =
        pool.m_scratch.begin() +
        static_cast<std::ptrdiff_t>((pool.m_scratch.size() - 1) / 2);
    std::nth_element(pool.m_scratch.begin(), middle, pool.m_scratch.end());
    return *middle;
}

} // namespace

pool_median compute_median(pool& pool, time_point now)
{
    return {median_over_targets(pool, [&](target_limit const& limit)
                                { return log_slowness(limit, now); }),
            median_over_targets(pool, [&](target_limit const& limit)
                                { return deviation(limit, now); })};
}

bool is_slow(target_entry const& target, pool_median const& median,
             time_point now)
{
    return is_reported_slow(target.m_slowness_estimate, now) ||
           is_slow(deviation(target.m_limit, now) - median.m_deviation);
}

void refuse(pool& pool, request_map::iterator request, result_code code,
            pool_effects& out)
{
    auto& entry = request->second;
    assert(!entry.m_answered && !entry.m_queued);
    if (entry.m_may_have_run && info(code).m_execution == execution::not_run)
    {
        code = entry.m_may_have_run_code;
    }
    entry.m_answered = true;
    count_refusal(pool, entry.m_arrival, code);
    out.emplace_back(refuse_effect{request->first, code});
    if (count_live_attempts(entry) == 0)
    {
        pool.m_requests.erase(request);
    }
}

void remove_from_queue(pool& pool, request_entry const& request)
{
    auto const id = request.m_arrival.m_request;
    auto const retry =
        std::find(pool.m_retry_queue.begin(), pool.m_retry_queue.end(), id);
    if (retry != pool.m_retry_queue.end())
    {
        pool.m_retry_queue.erase(retry);
        return;
    }
    remove_waiting(pool, request.m_arrival);
}

int count_target_ends(request_entry const& request)
{
    return request.m_arrival.m_target_ends + request.m_lost_attempts;
}

std::size_t count_live_attempts(request_entry const& request)
{
    return static_cast<std::size_t>(
        std::count_if(request.m_attempts.begin(),
                      request.m_attempts.begin() + request.m_attempt_count,
                      [](attempt_entry const& a) { return a.m_live; }));
}

void cancel_attempts(request_entry const& request, attempt_number excepted,
                     pool_effects& out)
{
    for (attempt_number i = 0; i < request.m_attempt_count; ++i)
    {
        auto const& attempt = request.m_attempts[i];
        if (attempt.m_live && i + 1 != excepted)
        {
            out.emplace_back(cancel_attempt_effect{request.m_arrival.m_request,
                                                   i + 1, attempt.m_target});
        }
    }
}

namespace
{

struct ejection_count
{
    int m_listed = 0;
    int m_ejected = 0;
};

ejection_count count_ejections(pool const& pool)
{
    ejection_count count;
    for (auto const& target : pool.m_targets)
    {
        if (!is_leaving(target))
        {
            ++count.m_listed;
            count.m_ejected += target.m_outlier.m_ejected ? 1 : 0;
        }
    }
    return count;
}

} // namespace

void eject_if_allowed(pool& pool, target_entry& target, time_point now)
{
    if (target.m_outlier.m_ejected)
    {
        return;
    }
    auto const count = count_ejections(pool);
    if (count.m_ejected < max_ejected(count.m_listed))
    {
        eject(target.m_outlier, now);
    }
}

void enforce_ejection_bound(pool& pool)
{
    auto count = count_ejections(pool);
    while (count.m_ejected > max_ejected(count.m_listed))
    {
        target_entry* earliest = nullptr;
        for (auto& target : pool.m_targets)
        {
            if (!is_leaving(target) && target.m_outlier.m_ejected &&
                (earliest == nullptr ||
                 target.m_outlier.m_ejected_until <
                     earliest->m_outlier.m_ejected_until))
            {
                earliest = &target;
            }
        }
        assert(earliest != nullptr);
        readmit(earliest->m_outlier);
        earliest->m_limit.m_limit = 1;
        --count.m_ejected;
    }
}

void remove_unlisted_targets(pool& pool)
{
    std::erase_if(pool.m_targets, [](target_entry const& target)
                  { return !target.m_listed && target.m_in_flight == 0; });
}

} // namespace hawthornspur::core
