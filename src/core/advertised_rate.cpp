#include "core/advertised_rate.hpp"

#include "core/pool_dispatch.hpp"
#include "core/pool_state.hpp"

#include <algorithm>
#include <cassert>
#include <utility>

namespace hawthornspur::core
{

namespace
{

// Requests per second. A target with a lower limit would get no request whose
// answer could show that the limit has ended.
constexpr double min_rate = 0.1;
// Unused tokens expire after this time, so that a burst exceeds the limit by no
// more than it allows in it.
constexpr std::chrono::duration<double> burst_window =
    std::chrono::milliseconds(250);
// Rounding must not leave the bucket just below a token at the returned time.
constexpr duration rounding_margin = std::chrono::microseconds(1);
// An active target reports several times in this time. Its reports are then
// newer than what other hosts have passed on.
constexpr duration recent_report_window = std::chrono::seconds(1);

void update_bucket(advertised_rate& rate, time_point now)
{
    auto const limit = limit_in_force(rate);
    if (!limit)
    {
        rate.m_bucket = {};
        return;
    }
    auto const per_second = rate.m_share * std::max(min_rate, *limit);
    auto const capacity =
        rate.m_share > 0 ? std::max(1.0, per_second * burst_window.count()) : 0;
    set_rate(rate.m_bucket, per_second, capacity, now);
}

/// Whether an answer without a limit ends the limit of the target.
bool ends_limit(advertised_rate const& rate, rate_report const& report)
{
    return report.m_started_at > rate.m_reported_at &&
           (report.m_source == rate_source::answer ||
            (report.m_source == rate_source::health_answer &&
             rate.m_is_in_health_answers));
}

} // namespace

rate_change on_rate_report(pool& pool, rate_report const& report,
                           time_point now, pool_effects& out)
{
    assert(!report.m_limit || *report.m_limit >= 0);
    auto* target = find_target(pool, report.m_target);
    if (target == nullptr)
    {
        return rate_change::none;
    }
    auto& rate = target->m_rate;
    if (!report.m_limit && !ends_limit(rate, report))
    {
        return rate_change::none;
    }
    auto const previous = rate.m_limit;
    rate.m_reported_at = now;
    rate.m_is_in_health_answers =
        rate.m_is_in_health_answers ||
        (report.m_limit && report.m_source == rate_source::health_answer);
    rate.m_limit = report.m_limit;
    update_bucket(rate, now);
    if (previous && report.m_limit)
    {
        return previous == report.m_limit ? rate_change::none
                                          : rate_change::adjusted;
    }
    if (previous)
    {
        dispatch_queued(pool, now, out);
    }
    return previous || report.m_limit ? rate_change::begun_or_ended
                                      : rate_change::none;
}

std::vector<target_rate_limit> rate_limits(pool const& pool)
{
    std::vector<target_rate_limit> limits;
    for (auto const& target : pool.m_targets)
    {
        if (target.m_rate.m_limit)
        {
            limits.push_back({target.m_spec.m_id, *target.m_rate.m_limit});
        }
    }
    return limits;
}

void adopt_rate_limits(pool& pool, std::span<target_rate_limit const> limits,
                       time_point now)
{
    for (auto& target : pool.m_targets)
    {
        auto& rate = target.m_rate;
        auto const found =
            std::find_if(limits.begin(), limits.end(),
                         [&](target_rate_limit const& limit)
                         { return limit.m_target == target.m_spec.m_id; });
        bool const has_reported = rate.m_reported_at != time_point{};
        if (now < rate.m_reported_at + recent_report_window ||
            (found == limits.end() && has_reported))
        {
            continue;
        }
        rate.m_limit = found == limits.end() ? std::nullopt
                                             : std::optional(found->m_limit);
        update_bucket(rate, now);
    }
}

void set_rate_share(pool& pool, double share, time_point now, pool_effects& out)
{
    assert(share >= 0 && share <= 1);
    if (pool.m_rate_share == share)
    {
        return;
    }
    pool.m_rate_share = share;
    for (auto& target : pool.m_targets)
    {
        target.m_rate.m_share = share;
        update_bucket(target.m_rate, now);
    }
    dispatch_queued(pool, now, out);
}

void update_cold_limits(pool& pool, time_point now)
{
    for (auto& target : pool.m_targets)
    {
        bool const is_cold = pool.m_rules.m_cold_rate > 0 &&
                             now < target.m_slowness_estimate.m_cold_until;
        auto const limit =
            is_cold ? std::optional(pool.m_rules.m_cold_rate) : std::nullopt;
        if (std::exchange(target.m_rate.m_cold_limit, limit) != limit)
        {
            update_bucket(target.m_rate, now);
        }
    }
}

void record_cold_report(pool& pool, target_id target,
                        std::optional<duration> left, time_point now)
{
    auto* entry = find_target(pool, target);
    if (entry != nullptr && left && pool.m_rules.m_cold_rate > 0)
    {
        entry->m_slowness_estimate.m_cold_until = now + *left;
        update_cold_limits(pool, now);
    }
}

time_point next_cold_end(pool const& pool)
{
    auto next = time_point::max();
    for (auto const& target : pool.m_targets)
    {
        if (target.m_rate.m_cold_limit)
        {
            next = std::min(next, target.m_slowness_estimate.m_cold_until);
        }
    }
    return next;
}

std::optional<double> limit_in_force(advertised_rate const& rate)
{
    if (rate.m_limit && rate.m_cold_limit)
    {
        return std::min(*rate.m_limit, *rate.m_cold_limit);
    }
    return rate.m_limit ? rate.m_limit : rate.m_cold_limit;
}

bool has_token(advertised_rate const& rate, time_point now)
{
    return !limit_in_force(rate) || tokens(rate.m_bucket, now) >= 1;
}

void take_token(advertised_rate& rate, time_point now)
{
    if (limit_in_force(rate))
    {
        [[maybe_unused]] bool const is_taken = try_take(rate.m_bucket, 1, now);
        assert(is_taken);
    }
}

time_point next_token(advertised_rate const& rate, time_point now)
{
    if (has_token(rate, now))
    {
        return now;
    }
    if (rate.m_bucket.m_tokens_per_second <= 0)
    {
        return time_point::max();
    }
    std::chrono::duration<double> const wait((1 - tokens(rate.m_bucket, now)) /
                                             rate.m_bucket.m_tokens_per_second);
    return now + std::chrono::duration_cast<duration>(wait) + rounding_margin;
}

double usable_slots(advertised_rate const& rate, int slots,
                    duration service_duration)
{
    bool const is_limited = limit_in_force(rate).has_value();
    if (is_limited && rate.m_share <= 0)
    {
        return 0;
    }
    if (!is_limited || service_duration == duration::zero())
    {
        return slots;
    }
    return std::min<double>(slots, rate.m_bucket.m_tokens_per_second *
                                       seconds(service_duration).count());
}

std::vector<rate_usage> take_rate_usage(pool& pool)
{
    std::vector<rate_usage> usage;
    for (auto& target : pool.m_targets)
    {
        auto& rate = target.m_rate;
        if (rate.m_limit)
        {
            usage.push_back({target.m_spec.m_id, *rate.m_limit, rate.m_attempts,
                             rate.m_probes});
        }
        rate.m_attempts = 0;
        rate.m_probes = 0;
    }
    return usage;
}

} // namespace hawthornspur::core
