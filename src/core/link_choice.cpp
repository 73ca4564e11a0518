#include "core/link_choice.hpp"

#include "core/ownership.hpp"

#include <algorithm>

namespace hawthornspur::core
{

namespace
{

// The first successor takes over when the owner is lost; the second one is
// linked in case both are lost.
constexpr std::size_t linked_successors = 2;
constexpr std::size_t linked_successors_in_other_zones = 1;
constexpr std::size_t watching_successors = 1;

// Whether the host can own pools now or after it has joined.
bool can_own(host_record const& host)
{
    return host.m_state == host_state::live ||
           host.m_state == host_state::joining;
}

std::vector<std::string> succession(std::string const& zone,
                                    host_record const& self,
                                    std::span<host_record const> others)
{
    std::vector<owner_candidate> candidates;
    if (can_own(self))
    {
        candidates.push_back(to_candidate(self));
    }
    for (auto const& host : others)
    {
        if (can_own(host))
        {
            candidates.push_back(to_candidate(host));
        }
    }
    return zone_succession(zone, candidates);
}

bool is_among_first(std::vector<std::string> const& order, std::size_t count,
                    std::string const& name)
{
    auto const end = order.begin() +
                     static_cast<std::ptrdiff_t>(std::min(order.size(), count));
    return std::find(order.begin(), end, name) != end;
}

void add_first(std::set<std::string>& links,
               std::vector<std::string> const& order, std::size_t count)
{
    for (std::size_t i = 0; i < std::min(order.size(), count); ++i)
    {
        links.insert(order[i]);
    }
}

} // namespace

std::set<std::string> choose_links(host_record const& self,
                                   std::span<host_record const> others,
                                   int max_owners)
{
    std::set<std::string> links;
    if (max_owners <= 0)
    {
        for (auto const& host : others)
        {
            if (host.m_state != host_state::dead)
            {
                links.insert(host.m_name);
            }
        }
        return links;
    }
    auto const owners = static_cast<std::size_t>(max_owners);
    auto const zone_order = succession(self.m_zone, self, others);
    add_first(links, zone_order, owners + linked_successors);
    // A leaving host hands its pools over and still forwards to other zones.
    bool const can_spill =
        self.m_state == host_state::leaving ||
        is_among_first(zone_order, owners + linked_successors, self.m_name);
    std::set<std::string> zones;
    for (auto const& host : others)
    {
        zones.insert(host.m_zone);
    }
    zones.erase(self.m_zone);
    // The only host of a zone forwards to the other zones.
    bool const is_alone =
        zone_order.empty() ||
        (zone_order.size() == 1 && zone_order.front() == self.m_name);
    if (can_spill || is_alone)
    {
        for (auto const& zone : zones)
        {
            add_first(links, succession(zone, self, others),
                      owners + linked_successors_in_other_zones);
        }
    }
    links.erase(self.m_name);
    return links;
}

std::vector<std::string> zone_order(host_record const& self,
                                    std::span<host_record const> others)
{
    return succession(self.m_zone, self, others);
}

std::size_t watcher_count(int max_owners) noexcept
{
    return static_cast<std::size_t>(max_owners) + watching_successors;
}

std::vector<std::string> store_watchers(host_record const& self,
                                        std::span<host_record const> others,
                                        int max_owners)
{
    if (max_owners <= 0)
    {
        return {};
    }
    auto names = zone_order(self, others);
    names.resize(std::min(names.size(), watcher_count(max_owners)));
    return names;
}

} // namespace hawthornspur::core
