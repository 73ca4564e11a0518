#include "core/membership_leaders.hpp"

#include "core/membership_state.hpp"
#include "core/ownership.hpp"

#include <algorithm>

namespace hawthornspur::core
{

namespace
{

// The owner and the two successors to which the hosts of a zone keep links.
constexpr std::size_t leaders_in_own_zone = 3;
constexpr std::size_t leaders_in_other_zones = 1;

bool can_lead(host_record const& host)
{
    return host.m_state == host_state::live ||
           host.m_state == host_state::joining;
}

std::map<std::string, std::vector<std::string>>
rank_hosts(membership const& members)
{
    std::map<std::string, std::vector<ranked_host>> zones;
    auto const add = [&](host_record const& record)
    {
        if (can_lead(record))
        {
            zones[record.m_zone].push_back(
                rank_in_succession(record.m_zone, record));
        }
    };
    add(members.m_self);
    for (auto const& [name, peer] : members.m_peers)
    {
        add(peer.m_record);
    }
    std::map<std::string, std::vector<std::string>> leaders;
    for (auto& [zone, hosts] : zones)
    {
        auto const count = std::min(hosts.size(), leaders_in_own_zone);
        std::partial_sort(hosts.begin(),
                          hosts.begin() + static_cast<std::ptrdiff_t>(count),
                          hosts.end(), precedes_in_succession);
        for (std::size_t i = 0; i < count; ++i)
        {
            leaders[zone].push_back(*hosts[i].m_name);
        }
    }
    return leaders;
}

void append_peers(membership const& members,
                  std::vector<std::string> const& ranked, std::size_t count,
                  std::vector<std::string>& out)
{
    for (std::size_t i = 0; i < std::min(count, ranked.size()); ++i)
    {
        if (ranked[i] != members.m_self.m_name)
        {
            out.push_back(ranked[i]);
        }
    }
}

} // namespace

std::vector<std::string> zone_leaders(membership const& members,
                                      std::string const& zone)
{
    if (!members.m_leaders)
    {
        members.m_leaders = rank_hosts(members);
    }
    std::vector<std::string> names;
    auto const own = members.m_leaders->find(zone);
    if (own != members.m_leaders->end())
    {
        append_peers(members, own->second, leaders_in_own_zone, names);
    }
    for (auto const& [other, ranked] : *members.m_leaders)
    {
        if (other != zone)
        {
            append_peers(members, ranked, leaders_in_other_zones, names);
        }
    }
    return names;
}

void invalidate_leaders(membership& members) noexcept
{
    members.m_leaders.reset();
}

} // namespace hawthornspur::core
