#ifndef HAWTHORNSPUR_TOOLS_PLATFORM_EMULATOR_FAULTS_HPP
#define HAWTHORNSPUR_TOOLS_PLATFORM_EMULATOR_FAULTS_HPP

#include "common/json_fields.hpp"
#include "core/time.hpp"

namespace hawthornspur::tools
{

/// Faults of the emulated platform; all off by default except the rate limits.
struct platform_faults
{
    /// Every call is answered with 503.
    bool m_outage = false;
    /// No call is answered at all.
    bool m_silent = false;
    /// Delay of every answer.
    core::duration m_delay{0};
    /// Upper bound of an additional, uniformly distributed delay.
    core::duration m_delay_jitter{0};
    /// Age of the host list that is served.
    core::duration m_list_lag{0};
    /// Age of the values that reads return.
    core::duration m_stale_reads{0};
    /// Fraction of successful writes whose connection is closed instead of an
    /// answer.
    double m_lost_answers = 0;
    /// Watches that are waiting when this is set, or start while it is set, are
    /// never answered.
    bool m_silent_watches = false;
    /// Calls above these rates are answered with 429.
    double m_writes_per_second = 300;
    double m_reads_per_second = 2000;
};

json_fields get_fields(platform_faults& faults);

} // namespace hawthornspur::tools

#endif
