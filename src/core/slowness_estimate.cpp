#include "core/slowness_estimate.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace hawthornspur::core
{

namespace
{

using seconds = std::chrono::duration<double>;

// The load of other workloads on the machine changes about twice a second.
constexpr seconds report_lifetime{0.5};
constexpr double mean_weight = 0.05;
// Up to twice the usual time, most requests still meet their objective.
constexpr double slow_factor = 2;
// Newly started targets take about twice the usual time.
constexpr double cold_factor = 2;

} // namespace

void record_slowness(slowness_estimate& estimate, double slowness,
                     time_point now)
{
    estimate.m_mean += mean_weight * (slowness - estimate.m_mean);
    estimate.m_last_report = slowness;
    estimate.m_reported_at = now;
}

double expected_slowness(slowness_estimate const& estimate, time_point now)
{
    auto const cold_slowness = now < estimate.m_cold_until ? cold_factor : 1;
    if (!estimate.m_last_report)
    {
        return cold_slowness;
    }
    auto const age =
        std::max(0.0, seconds(now - estimate.m_reported_at).count());
    auto const report_weight = std::exp(-age / report_lifetime.count());
    return cold_slowness *
           (estimate.m_mean +
            report_weight * (*estimate.m_last_report - estimate.m_mean));
}

bool is_reported_slow(slowness_estimate const& estimate, time_point now)
{
    return estimate.m_last_report && *estimate.m_last_report >= slow_factor &&
           now - estimate.m_reported_at < report_lifetime;
}

} // namespace hawthornspur::core
