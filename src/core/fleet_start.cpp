#include "core/fleet_start.hpp"

#include <algorithm>

namespace hawthornspur::core
{

namespace
{

constexpr duration start_period = std::chrono::seconds(5);

} // namespace

void observe_start(fleet_start& start, std::span<host_record const> others)
{
    if (start.m_is_joint || others.empty())
    {
        return;
    }
    start.m_is_joint =
        std::none_of(others.begin(), others.end(),
                     [](host_record const& host)
                     {
                         return host.m_state == host_state::live ||
                                host.m_state == host_state::suspected ||
                                host.m_state == host_state::leaving;
                     });
}

std::optional<time_point> joint_start(fleet_start const& start, time_point now)
{
    bool const is_joint = start.m_is_joint.value_or(false) &&
                          now < start.m_process_start + start_period;
    return is_joint ? std::optional(start.m_process_start) : std::nullopt;
}

} // namespace hawthornspur::core
