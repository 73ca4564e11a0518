#include "core/quota_home.hpp"

#include "core/ownership.hpp"

#include <algorithm>
#include <cstdint>

namespace hawthornspur::core
{

namespace
{

// The others see this host as lost, and the window in which they granted the
// full limit has passed.
constexpr duration isolation_delay = std::chrono::seconds(5);

} // namespace

std::vector<std::string> quota_homes(routing_table& table,
                                     configuration const& document)
{
    std::vector<std::string> homes;
    for (auto const& zone : document.m_zones)
    {
        auto const owners = zone_hosts(table, document, zone.m_name);
        homes.insert(homes.end(), owners.begin(), owners.end());
    }
    std::sort(homes.begin(), homes.end());
    homes.erase(std::unique(homes.begin(), homes.end()), homes.end());
    return homes;
}

std::string const* choose_quota_home(std::vector<std::string> const& homes,
                                     std::string_view customer) noexcept
{
    std::string const* best = nullptr;
    std::uint64_t best_weight = 0;
    for (auto const& host : homes)
    {
        auto const weight = rendezvous_weight(customer, host);
        if (best == nullptr || weight > best_weight)
        {
            best = &host;
            best_weight = weight;
        }
    }
    return best;
}

quota_contact
observe_contact(routing_table& table, configuration const& document,
                std::string const& self,
                std::function<bool(std::string const&)> const& is_reachable)
{
    quota_contact contact;
    auto const* own = find_host(table, self);
    auto const own_zone = own == nullptr ? std::string() : own->m_zone;
    contact.m_zones = std::max(1, static_cast<int>(document.m_zones.size()));
    contact.m_reached_zones = 0;
    for (auto const& zone : document.m_zones)
    {
        bool is_reached = zone.m_name == own_zone;
        for (auto const& owner : zone_hosts(table, document, zone.m_name))
        {
            if (owner == self || !is_reachable(owner))
            {
                continue;
            }
            contact.m_reaches_other_owner = true;
            // A zone without hosts is owned by a host of another zone.
            auto const* record = find_host(table, owner);
            is_reached = is_reached ||
                         (record != nullptr && record->m_zone == zone.m_name);
        }
        contact.m_reached_zones += is_reached ? 1 : 0;
    }
    contact.m_reached_zones = std::max(1, contact.m_reached_zones);
    contact.m_fleet = make_fleet_view(table.m_hosts);
    contact.m_knows_other_zones = std::any_of(
        table.m_hosts.begin(), table.m_hosts.end(),
        [&](host_record const& host) { return host.m_zone != own_zone; });
    contact.m_known_hosts = std::max(1, static_cast<int>(table.m_hosts.size()));
    return contact;
}

bool has_lost_contact(quota_contact const& contact) noexcept
{
    return contact.m_zones > 1 && contact.m_knows_other_zones &&
           !contact.m_reaches_other_owner;
}

double quota_share(quota_contact const& contact,
                   std::optional<time_point> lost_since, time_point now,
                   bool is_joint_start)
{
    if (has_lost_contact(contact) && is_joint_start)
    {
        return 1.0 / contact.m_zones;
    }
    if (has_lost_contact(contact))
    {
        return lost_since && now >= *lost_since + isolation_delay
                   ? 1.0 / contact.m_known_hosts
                   : 0;
    }
    auto const zones =
        static_cast<double>(contact.m_reached_zones) / contact.m_zones;
    auto const hosts = static_cast<double>(contact.m_fleet.m_present) /
                       (contact.m_fleet.m_present + contact.m_fleet.m_lost);
    return std::min(zones, hosts);
}

} // namespace hawthornspur::core
