#ifndef HAWTHORNSPUR_CORE_QUOTA_HOME_HPP
#define HAWTHORNSPUR_CORE_QUOTA_HOME_HPP

#include "core/rate_share.hpp"
#include "core/routing.hpp"
#include "core/time.hpp"

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hawthornspur::core
{

/// Returns the hosts that own the pools of the zones, each once, sorted: the
/// hosts that may be the home of a customer.
std::vector<std::string> quota_homes(routing_table& table,
                                     configuration const& document);

/// Returns the home of a customer, or null without hosts. Hosts with the same
/// list agree on it.
std::string const* choose_quota_home(std::vector<std::string> const& homes,
                                     std::string_view customer) noexcept;

/// What a host sees of the other hosts that may be homes.
struct quota_contact
{
    int m_zones = 1;
    /// Zones with a reachable owner that is in the zone; the own zone counts.
    int m_reached_zones = 1;
    fleet_view m_fleet;
    bool m_reaches_other_owner = false;
    /// Whether hosts of other zones are known, in whatever state.
    bool m_knows_other_zones = false;
    /// All hosts that are known, this one included.
    int m_known_hosts = 1;
};

quota_contact
observe_contact(routing_table& table, configuration const& document,
                std::string const& self,
                std::function<bool(std::string const&)> const& is_reachable);

/// Whether the host is cut off from all other owners, so that the others may
/// see it as lost.
bool has_lost_contact(quota_contact const& contact) noexcept;

/// The part of the limits that the host may grant as home, from 0 to 1, so that
/// the homes on all sides of a partition stay within the limits together.
/// `lost_since` is when has_lost_contact() became true; a host that lost
/// contact grants nothing for 5 s, until the others have reduced their share.
/// While the whole fleet starts (`is_joint_start`), it grants the part of its
/// zone instead: no other host grants more yet.
double quota_share(quota_contact const& contact,
                   std::optional<time_point> lost_since, time_point now,
                   bool is_joint_start = false);

} // namespace hawthornspur::core

#endif
