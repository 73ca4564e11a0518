#include "core/target_limit.hpp"

#include <algorithm>
#include <cmath>

namespace hawthornspur::core
{

namespace
{

constexpr double observation_weight = 0.2;
constexpr double recent_slowness_weight = 0.3;
constexpr double slowness_half_life_seconds = 0.5;
// With heavy-tailed service times, the moving averages of two healthy targets
// often differ by a factor of two. The sum of deviations beyond a factor of
// four reaches this threshold after five answers that take ten times as long,
// but not while another workload on the machine slows the target down by less
// than four.
constexpr double slow_deviation_threshold = 4.5;
constexpr double max_deviation = 9;
constexpr double tolerated_log_slowness = 1.4;
// Keeps deviations of a few percent insignificant for kinds with nearly
// constant times.
constexpr double min_spread = 0.5;
constexpr double lowering_factor = 0.7;
constexpr double min_lowering_factor = 0.2;
constexpr duration min_lowering_interval = std::chrono::milliseconds(20);

double decay_factor(target_limit const& limit, time_point now)
{
    std::chrono::duration<double> const age = now - limit.m_last_observation;
    return std::exp2(-std::max(0.0, age.count()) / slowness_half_life_seconds);
}

void lower(target_limit& limit, double factor, time_point now)
{
    if (now - limit.m_last_decrease < min_lowering_interval)
    {
        return;
    }
    limit.m_last_decrease = now;
    limit.m_limit = std::max(1.0, limit.m_limit * factor);
}

} // namespace

void observe_answer(target_limit& limit, double log_ratio, double spread,
                    time_point now)
{
    auto const decayed = log_slowness(limit, now);
    limit.m_log_slowness = decayed + observation_weight * (log_ratio - decayed);
    limit.m_recent_log_slowness +=
        recent_slowness_weight * (log_ratio - limit.m_recent_log_slowness);
    auto const step =
        (log_ratio - tolerated_log_slowness) / std::max(min_spread, spread);
    limit.m_deviation =
        std::clamp(deviation(limit, now) + step, 0.0, max_deviation);
    limit.m_last_observation = now;
}

double log_slowness(target_limit const& limit, time_point now)
{
    return limit.m_log_slowness * decay_factor(limit, now);
}

double deviation(target_limit const& limit, time_point now)
{
    return limit.m_deviation * decay_factor(limit, now);
}

bool is_slow(double relative_deviation)
{
    return relative_deviation > slow_deviation_threshold;
}

bool is_beyond_tolerance(double log_ratio)
{
    return log_ratio > tolerated_log_slowness;
}

void lower_after_slow_answer(target_limit& limit, double log_relative_slowness,
                             time_point now)
{
    lower(limit,
          std::clamp(std::exp(-log_relative_slowness), min_lowering_factor,
                     lowering_factor),
          now);
}

void raise_limit(target_limit& limit, int slots, double increase)
{
    limit.m_limit =
        std::min(static_cast<double>(slots), limit.m_limit + increase);
}

void lower_after_shed(target_limit& limit, time_point now)
{
    lower(limit, lowering_factor, now);
}

int integer_limit(target_limit const& limit, int slots)
{
    return std::clamp(static_cast<int>(limit.m_limit), 1, slots);
}

} // namespace hawthornspur::core
