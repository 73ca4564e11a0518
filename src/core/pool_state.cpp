#include "core/pool_state.hpp"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace hawthornspur::core
{

target_entry* find_target(pool& p, target_id id)
{
    auto const found = std::find_if(p.m_targets.begin(), p.m_targets.end(),
                                    [&](target_entry const& entry)
                                    { return entry.m_spec.m_id == id; });
    return found == p.m_targets.end() ? nullptr : &*found;
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
    if (!is_usable(target))
    {
        return 0;
    }
    auto taken = target.m_in_flight;
    if (target.m_inherited_until > now)
    {
        taken += target.m_inherited;
    }
    taken += static_cast<int>(
        std::count_if(target.m_held.begin(), target.m_held.end(),
                      [&](held_slot held) { return held.m_until > now; }));
    return std::max(0,
                    whole_limit(target.m_limit, target.m_spec.m_slots) - taken);
}

slot_count count_slots(pool const& p, time_point now)
{
    slot_count count;
    for (auto const& target : p.m_targets)
    {
        if (!is_leaving(target))
        {
            count.m_slots += target.m_spec.m_slots;
        }
        if (is_usable(target))
        {
            auto const limit =
                whole_limit(target.m_limit, target.m_spec.m_slots);
            count.m_limit += limit;
            count.m_effective += limit / expected_slowness(target.m_speed, now);
            auto const free = free_slots(target, now);
            count.m_free += free;
            bool const is_healthy =
                target.m_outlier.m_consecutive_failures == 0 &&
                !target.m_outlier.m_on_trial && !says_slow(target.m_speed, now);
            count.m_healthy_free += is_healthy ? free : 0;
        }
    }
    return count;
}

int kind_cap(pool const& p, kind_entry const& kind, int slots)
{
    auto const share =
        slot_share(kind.m_config.m_max_share, kind.m_config.m_share_declared,
                   kind.m_times, p.m_times);
    return std::max(1, static_cast<int>(share * slots));
}

duration expected_wait(pool const& p, kind_entry const& kind, time_point now)
{
    auto const slots = count_slots(p, now);
    if (slots.m_limit == 0)
    {
        return duration::max();
    }
    double wait = 0;
    if (slots.m_free == 0 || p.m_queued > 0)
    {
        double ahead = p.m_times.m_mean_seconds;
        for (auto const& other : p.m_kinds)
        {
            if (other.m_config.m_priority <= kind.m_config.m_priority)
            {
                ahead += static_cast<double>(other.m_queue.size()) *
                         other.m_times.m_mean_seconds;
            }
        }
        wait = ahead / slots.m_effective;
    }
    auto const cap = kind_cap(p, kind, slots.m_slots);
    if (kind.m_in_flight >= cap)
    {
        wait = std::max(wait, static_cast<double>(kind.m_queue.size() + 1) *
                                  kind.m_times.m_mean_seconds / cap);
    }
    return std::chrono::duration_cast<duration>(seconds(wait));
}

namespace
{

template <class Measure>
double median_of(pool& p, Measure const& measure)
{
    p.m_scratch.clear();
    for (auto const& target : p.m_targets)
    {
        if (!is_leaving(target))
        {
            p.m_scratch.push_back(measure(target.m_limit));
        }
    }
    if (p.m_scratch.empty())
    {
        return 0;
    }
    // The lower median, so that one slow target of two deviates from it.
    auto const middle = p.m_scratch.begin() + static_cast<std::ptrdiff_t>(
                                                  (p.m_scratch.size() - 1) / 2);
    std::nth_element(p.m_scratch.begin(), middle, p.m_scratch.end());
    return *middle;
}

} // namespace

pool_median find_median(pool& p, time_point now)
{
    return {median_of(p, [&](target_limit const& limit)
                      { return log_slowness(limit, now); }),
            median_of(p, [&](target_limit const& limit)
                      { return deviation(limit, now); })};
}

bool is_slow(target_entry const& target, pool_median const& median,
             time_point now)
{
    return says_slow(target.m_speed, now) ||
           is_slow(deviation(target.m_limit, now) - median.m_deviation);
}

void refuse(pool& p, request_map::iterator request, result_code code,
            pool_effects& out)
{
    auto& entry = request->second;
    assert(!entry.m_answered && !entry.m_queued);
    if (entry.m_may_have_run && info(code).m_execution == execution::not_run)
    {
        code = entry.m_may_have_run_code;
    }
    entry.m_answered = true;
    out.emplace_back(refuse_effect{request->first, code});
    if (live_attempts(entry) == 0)
    {
        p.m_requests.erase(request);
    }
}

void remove_from_queue(pool& p, request_entry const& request)
{
    auto const id = request.m_arrival.m_request;
    auto const retry = std::find(p.m_retries.begin(), p.m_retries.end(), id);
    if (retry != p.m_retries.end())
    {
        p.m_retries.erase(retry);
        return;
    }
    if (remove(p.m_kinds[request.m_arrival.m_kind.m_value].m_queue, id))
    {
        --p.m_queued;
    }
}

std::size_t live_attempts(request_entry const& request)
{
    return static_cast<std::size_t>(
        std::count_if(request.m_attempts.begin(),
                      request.m_attempts.begin() + request.m_count,
                      [](attempt_entry const& a) { return a.m_live; }));
}

void cancel_attempts(request_entry const& request, attempt_number kept,
                     pool_effects& out)
{
    for (attempt_number i = 0; i < request.m_count; ++i)
    {
        auto const& attempt = request.m_attempts[i];
        if (attempt.m_live && i + 1 != kept)
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

ejection_count count_ejections(pool const& p)
{
    ejection_count count;
    for (auto const& target : p.m_targets)
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

void eject_if_allowed(pool& p, target_entry& target, time_point now)
{
    if (target.m_outlier.m_ejected)
    {
        return;
    }
    auto const count = count_ejections(p);
    if (count.m_ejected < max_ejected(count.m_listed))
    {
        eject(target.m_outlier, now);
    }
}

void keep_ejections_bounded(pool& p)
{
    auto count = count_ejections(p);
    while (count.m_ejected > max_ejected(count.m_listed))
    {
        target_entry* earliest = nullptr;
        for (auto& target : p.m_targets)
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

void forget_gone_targets(pool& p)
{
    std::erase_if(p.m_targets, [](target_entry const& target)
                  { return !target.m_listed && target.m_in_flight == 0; });
}

} // namespace hawthornspur::core
