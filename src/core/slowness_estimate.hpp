#ifndef HAWTHORNSPUR_CORE_SLOWNESS_ESTIMATE_HPP
#define HAWTHORNSPUR_CORE_SLOWNESS_ESTIMATE_HPP

#include "core/time.hpp"

#include <optional>

namespace hawthornspur::core
{

/// Estimate of how much longer one target currently takes than usual, from its
/// own reports. Other workloads on its machine slow it down for fractions of a
/// second, so a report is outdated quickly.
struct slowness_estimate
{
    /// Processing time relative to the usual one.
    std::optional<double> m_last_report;
    time_point m_reported_at{};
    /// Moving average of the reports.
    double m_mean = 1;
    /// A newly started target is expected to be slow until this time.
    time_point m_cold_until{};
};

/// Records a report of the target.
void record_slowness(slowness_estimate& estimate, double slowness,
                     time_point now);

/// Expected processing time relative to the usual one. The older the last
/// report, the more weight the average of the reports has.
double expected_slowness(slowness_estimate const& estimate, time_point now);

/// Whether the last report is recent and at least twice the usual time.
bool is_reported_slow(slowness_estimate const& estimate, time_point now);

} // namespace hawthornspur::core

#endif
