#include "core/stop_schedule.hpp"

#include <algorithm>

namespace hawthornspur::core
{

namespace
{

/// Time between the cut and the kill, for the last answers.
constexpr duration max_kill_margin = std::chrono::milliseconds(500);

/// Users count a cut as lost work if it comes before the last sixth of the time
/// until the kill.
constexpr int kill_margin_divisor = 12;

/// A forwarded call waits after its deadline for the refusal of the owner.
constexpr duration max_lateness = std::chrono::milliseconds(100);

} // namespace

stop_schedule make_stop_schedule(stop_limits const& limits, time_point now)
{
    auto longest = limits.m_stop_bound;
    if (limits.m_kill_delay)
    {
        auto const margin = std::min(max_kill_margin, *limits.m_kill_delay /
                                                          kill_margin_divisor);
        longest = std::min(longest, *limits.m_kill_delay - margin);
    }
    return {now, now + std::min(limits.m_address_lifetime, longest),
            now + longest};
}

bool is_accepted(stop_schedule const& schedule, time_point arrival,
                 time_point deadline) noexcept
{
    return arrival < schedule.m_start ||
           deadline + max_lateness <= schedule.m_cut;
}

} // namespace hawthornspur::core
