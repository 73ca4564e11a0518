#include "core/missed_change.hpp"

#include <algorithm>

namespace hawthornspur::core
{

namespace
{

/// Leaves the other hosts time for a second attempt, and the store time to
/// answer before the change must be in force, 2 s after it was acknowledged.
constexpr duration first_interval = std::chrono::milliseconds(900);

/// An announced document may be gone, after the store came back from an earlier
/// state.
constexpr duration max_interval = std::chrono::seconds(15);

} // namespace

bool is_own_read_due(missed_change& state, configuration_state const& known,
                     bool is_in_doubt, time_point now)
{
    auto const in_force =
        known.m_in_force == nullptr ? 0 : known.m_in_force->m_generation;
    if (!is_in_doubt && known.m_newest_generation <= in_force)
    {
        state = {};
        return false;
    }
    if (!state.m_next_read)
    {
        state.m_interval = first_interval;
        state.m_next_read = now + state.m_interval;
        return false;
    }
    if (now < *state.m_next_read)
    {
        return false;
    }
    state.m_interval = std::min(2 * state.m_interval, max_interval);
    state.m_next_read = now + state.m_interval;
    return true;
}

} // namespace hawthornspur::core
