#include "core/target_limit.hpp"

#include <algorithm>
#include <cmath>

namespace hawthornspur::core
{

namespace
{

constexpr double observation_weight = 0.2;
constexpr double last_ratio_weight = 0.3;
constexpr double slowness_half_life_seconds = 0.5;
// With service times of a heavy tail, moving averages of two healthy targets
// often differ by a factor of two. The sum of deviations above a factor of four
// reaches this bound after five answers that take ten times as long, and does
// not when a neighbour slows the target down by less than four for a while.
constexpr double slow_deviation = 4.5;
constexpr double largest_deviation = 9;
constexpr double tolerated_log_slowness = 1.4;
// A kind with nearly constant times is not slow because of a few percent.
constexpr double smallest_spread = 0.5;
constexpr double lowering_factor = 0.7;
constexpr double strongest_lowering_factor = 0.2;
constexpr duration lowering_interval = std::chrono::milliseconds(20);

double fading(target_limit const& limit, time_point now)
{
    std::chrono::duration<double> const age = now - limit.m_observed;
    return std::exp2(-std::max(0.0, age.count()) / slowness_half_life_seconds);
}

void lower(target_limit& limit, double factor, time_point now)
{
    if (now - limit.m_lowered < lowering_interval)
    {
        return;
    }
    limit.m_lowered = now;
    limit.m_limit = std::max(1.0, limit.m_limit * factor);
}

} // namespace

void observe_answer(target_limit& limit, double log_ratio, double spread,
                    time_point now)
{
    auto const faded = log_slowness(limit, now);
    limit.m_log_slowness = faded + observation_weight * (log_ratio - faded);
    limit.m_last_log_ratio +=
        last_ratio_weight * (log_ratio - limit.m_last_log_ratio);
    auto const step = (log_ratio - tolerated_log_slowness) /
                      std::max(smallest_spread, spread);
    limit.m_deviation =
        std::clamp(deviation(limit, now) + step, 0.0, largest_deviation);
    limit.m_observed = now;
}

double log_slowness(target_limit const& limit, time_point now)
{
    return limit.m_log_slowness * fading(limit, now);
}

double deviation(target_limit const& limit, time_point now)
{
    return limit.m_deviation * fading(limit, now);
}

bool is_slow(double relative_deviation)
{
    return relative_deviation > slow_deviation;
}

bool is_beyond_tolerance(double log_ratio)
{
    return log_ratio > tolerated_log_slowness;
}

void lower_after_slow_answer(target_limit& limit, double log_relative_slowness,
                             time_point now)
{
    lower(limit,
          std::clamp(std::exp(-log_relative_slowness),
                     strongest_lowering_factor, lowering_factor),
          now);
}

void raise(target_limit& limit, int slots, double by)
{
    limit.m_limit = std::min(static_cast<double>(slots), limit.m_limit + by);
}

void lower_after_shed(target_limit& limit, time_point now)
{
    lower(limit, lowering_factor, now);
}

int whole_limit(target_limit const& limit, int slots)
{
    return std::clamp(static_cast<int>(limit.m_limit), 1, slots);
}

} // namespace hawthornspur::core
