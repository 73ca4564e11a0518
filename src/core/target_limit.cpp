#include "core/target_limit.hpp"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace hawthornspur::core
{

namespace
{

constexpr double observation_weight = 0.2;
constexpr double slowness_half_life_seconds = 0.5;
// Service times with a heavy tail move the average of a healthy target by a
// factor of two; only a larger deviation lowers the limit.
constexpr double lowering_log_slowness = 1.1;
constexpr double raising_log_slowness = 0.7;
constexpr double lowering_factor = 0.7;
constexpr double raise_per_answer = 0.25;
constexpr duration lowering_interval = std::chrono::milliseconds(20);

void lower(target_limit& limit, time_point now)
{
    if (now - limit.m_lowered < lowering_interval)
    {
        return;
    }
    limit.m_lowered = now;
    limit.m_limit = std::max(1.0, limit.m_limit * lowering_factor);
}

} // namespace

void observe_ratio(target_limit& limit, double ratio, time_point now)
{
    assert(ratio > 0);
    auto const faded = log_slowness(limit, now);
    limit.m_log_slowness =
        faded + observation_weight * (std::log(ratio) - faded);
    limit.m_observed = now;
}

double log_slowness(target_limit const& limit, time_point now)
{
    std::chrono::duration<double> const age = now - limit.m_observed;
    return limit.m_log_slowness *
           std::exp2(-std::max(0.0, age.count()) / slowness_half_life_seconds);
}

void adjust(target_limit& limit, double log_relative_slowness, int slots,
            time_point now)
{
    if (log_relative_slowness > lowering_log_slowness)
    {
        lower(limit, now);
    }
    else if (log_relative_slowness < raising_log_slowness)
    {
        limit.m_limit = std::min(static_cast<double>(slots),
                                 limit.m_limit + raise_per_answer);
    }
}

void lower_after_shed(target_limit& limit, time_point now)
{
    lower(limit, now);
}

int whole_limit(target_limit const& limit, int slots)
{
    return std::clamp(static_cast<int>(limit.m_limit), 1, slots);
}

} // namespace hawthornspur::core
