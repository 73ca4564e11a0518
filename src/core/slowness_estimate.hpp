#ifndef HAWTHORNSPUR_CORE_SLOWNESS_ESTIMATE_HPP
#define HAWTHORNSPUR_CORE_SLOWNESS_ESTIMATE_HPP

#include "core/time.hpp"

#include <optional>

namespace hawthornspur::core
{

/// How fast a target says it works. Neighbours on its machine slow it down for
/// parts of a second, so that what it said ages quickly. It lives with the
/// target's entry in a pool.
struct target_speed
{
    /// The last report: time that work takes, relative to the usual.
    std::optional<double> m_reported;
    time_point m_reported_at{};
    /// Moving average of the reports.
    double m_mean = 1;
    /// Just started, and slow until then.
    time_point m_cold_until{};
};

/// Takes a report.
void note_slowness(target_speed& speed, double slowness, time_point now);

/// Time that work is expected to take now, relative to the usual. With age the
/// last report gives way to the average.
double expected_slowness(target_speed const& speed, time_point now);

/// The last report is recent and says that work takes much longer than usual.
bool says_slow(target_speed const& speed, time_point now);

} // namespace hawthornspur::core

#endif
