#include "core/outlier_detection.hpp"

#include <algorithm>

namespace hawthornspur::core
{

namespace
{

constexpr int failures_until_ejection = 3;
// A single fast answer proves little: even a target that is ten times slower
// gives one answer in six in usual time, since some requests are short.
constexpr int answers_to_end_trial = 4;
constexpr duration initial_ejection = std::chrono::milliseconds(500);
constexpr int max_doublings = 6;

} // namespace

void record_success(outlier_state& state)
{
    state.m_consecutive_failures = 0;
    if (state.m_on_trial && ++state.m_trial_answers < answers_to_end_trial)
    {
        return;
    }
    state.m_ejections = 0;
    state.m_on_trial = false;
}

bool record_failure(outlier_state& state)
{
    ++state.m_consecutive_failures;
    return state.m_on_trial ||
           state.m_consecutive_failures >= failures_until_ejection;
}

void eject(outlier_state& state, time_point now)
{
    auto const doublings = std::min(state.m_ejections, max_doublings);
    state.m_ejected = true;
    state.m_ejected_until = now + initial_ejection * (1 << doublings);
    ++state.m_ejections;
}

void readmit(outlier_state& state)
{
    state.m_ejected = false;
    state.m_consecutive_failures = 0;
    state.m_on_trial = true;
    state.m_trial_answers = 0;
}

} // namespace hawthornspur::core
