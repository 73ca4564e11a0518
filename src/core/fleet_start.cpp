#include "core/fleet_start.hpp"

#include <algorithm>

namespace hawthornspur::core
{

namespace
{

constexpr duration start_period = std::chrono::seconds(5);

// Several round trips between zones. The first hosts serve later than this
// after a joint start, since they have to read the configuration.
constexpr duration contact_period = std::chrono::milliseconds(60);

bool has_served(host_record const& host)
{
    return host.m_state == host_state::live ||
           host.m_state == host_state::suspected ||
           host.m_state == host_state::leaving;
}

} // namespace

void observe_start(fleet_start& start, std::span<host_record const> others,
                   time_point now)
{
    bool const is_known =
        std::any_of(others.begin(), others.end(),
                    [](host_record const& host)
                    { return host.m_state != host_state::dead; });
    if (!start.m_first_contact && is_known)
    {
        start.m_first_contact = now;
    }
    bool const is_open =
        !start.m_first_contact || now < *start.m_first_contact + contact_period;
    if (is_open && std::any_of(others.begin(), others.end(), has_served))
    {
        start.m_has_seen_serving_host = true;
    }
}

std::optional<time_point> joint_start(fleet_start const& start, time_point now)
{
    bool const is_joint = start.m_first_contact &&
                          !start.m_has_seen_serving_host &&
                          now >= *start.m_first_contact + contact_period &&
                          now < start.m_process_start + start_period;
    return is_joint ? std::optional(start.m_process_start) : std::nullopt;
}

} // namespace hawthornspur::core
