#include "core/slowness_estimate.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace hawthornspur::core
{

namespace
{

using seconds = std::chrono::duration<double>;

// The neighbours' load changes about twice a second.
constexpr seconds report_lifetime{0.5};
constexpr double mean_weight = 0.05;
// Twice the usual time still meets most objectives.
constexpr double slow_factor = 2;
// Targets that have just started take about twice the usual time.
constexpr double cold_factor = 2;

} // namespace

void note_slowness(target_speed& speed, double slowness, time_point now)
{
    speed.m_mean += mean_weight * (slowness - speed.m_mean);
    speed.m_reported = slowness;
    speed.m_reported_at = now;
}

double expected_slowness(target_speed const& speed, time_point now)
{
    auto const cold = now < speed.m_cold_until ? cold_factor : 1;
    if (!speed.m_reported)
    {
        return cold;
    }
    auto const age = std::max(0.0, seconds(now - speed.m_reported_at).count());
    auto const kept = std::exp(-age / report_lifetime.count());
    return cold * (speed.m_mean + kept * (*speed.m_reported - speed.m_mean));
}

bool says_slow(target_speed const& speed, time_point now)
{
    return speed.m_reported && *speed.m_reported >= slow_factor &&
           now - speed.m_reported_at < report_lifetime;
}

} // namespace hawthornspur::core
