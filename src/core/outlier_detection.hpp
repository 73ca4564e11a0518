#ifndef HAWTHORNSPUR_CORE_OUTLIER_DETECTION_HPP
#define HAWTHORNSPUR_CORE_OUTLIER_DETECTION_HPP

#include "core/time.hpp"

namespace hawthornspur::core
{

/// Whether one target is ejected from its pool, and what led there.
struct outlier_state
{
    int m_consecutive_failures = 0;
    /// Ejections in a row without a whole answer between them.
    int m_ejections = 0;
    bool m_ejected = false;
    time_point m_ejected_until{};
    /// Back after an ejection: one failure ejects it again.
    bool m_on_trial = false;
    int m_trial_answers = 0;
};

/// Counts a whole answer in usual time.
void note_success(outlier_state& state);

/// Counts a failure. Returns true if the target should be ejected.
bool note_failure(outlier_state& state);

/// Ejects the target for a time that doubles with each ejection in a row.
void eject(outlier_state& state, time_point now);

/// Ends the ejection; the target is on trial.
void readmit(outlier_state& state);

/// The largest number of ejected targets in a pool of `listed` targets.
constexpr int max_ejected(int listed)
{
    return listed / 2;
}

} // namespace hawthornspur::core

#endif
