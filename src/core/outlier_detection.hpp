#ifndef HAWTHORNSPUR_CORE_OUTLIER_DETECTION_HPP
#define HAWTHORNSPUR_CORE_OUTLIER_DETECTION_HPP

#include "core/time.hpp"

namespace hawthornspur::core
{

/// Ejection state of one target and the failures that lead to an ejection.
struct outlier_state
{
    int m_consecutive_failures = 0;
    /// Consecutive ejections without a completed trial between them.
    int m_ejections = 0;
    bool m_ejected = false;
    time_point m_ejected_until{};
    /// Readmitted after an ejection; one failure ejects the target again.
    bool m_on_trial = false;
    int m_trial_answers = 0;
};

/// Counts a complete answer in usual time.
void record_success(outlier_state& state);

/// Counts a failure. Returns whether the target should be ejected.
bool record_failure(outlier_state& state);

/// Ejects the target for 500 ms, doubled with each consecutive ejection up to
/// 32 s.
void eject(outlier_state& state, time_point now);

/// Ends the ejection; the target is on trial.
void readmit(outlier_state& state);

/// Maximum number of ejected targets in a pool of `listed` targets.
constexpr int max_ejected(int listed)
{
    return listed / 2;
}

} // namespace hawthornspur::core

#endif
