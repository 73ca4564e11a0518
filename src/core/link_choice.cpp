#include "core/link_choice.hpp"

#include "core/ownership.hpp"

#include <algorithm>

namespace hawthornspur::core
{

namespace
{

// One successor takes over when the owner is lost; the second one is linked
// before a loss of both.
constexpr std::size_t linked_successors = 2;
constexpr std::size_t linked_successors_elsewhere = 1;
constexpr std::size_t watching_successors = 1;

/// Whether the host owns pools or is about to.
bool may_own(host_record const& host)
{
    return host.m_state == host_state::live ||
           host.m_state == host_state::joining;
}

std::vector<std::string> succession(std::string const& zone,
                                    host_record const& self,
                                    std::span<host_record const> others)
{
    std::vector<owner_candidate> candidates;
    if (may_own(self))
    {
        candidates.push_back(to_candidate(self));
    }
    for (auto const& host : others)
    {
        if (may_own(host))
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

void add_first(std::set<std::string>& to, std::vector<std::string> const& order,
               std::size_t count)
{
    for (std::size_t i = 0; i < std::min(order.size(), count); ++i)
    {
        to.insert(order[i]);
    }
}

} // namespace

std::set<std::string> choose_links(host_record const& self,
                                   std::span<host_record const> others,
                                   int max_owners)
{
    std::set<std::string> wanted;
    if (max_owners <= 0)
    {
        for (auto const& host : others)
        {
            if (host.m_state != host_state::dead)
            {
                wanted.insert(host.m_name);
            }
        }
        return wanted;
    }
    auto const owners = static_cast<std::size_t>(max_owners);
    auto const near = succession(self.m_zone, self, others);
    add_first(wanted, near, owners + linked_successors);
    // A leaving host hands over and forwards to the other zones for a while.
    bool const spills =
        self.m_state == host_state::leaving ||
        is_among_first(near, owners + linked_successors, self.m_name);
    std::set<std::string> zones;
    for (auto const& host : others)
    {
        zones.insert(host.m_zone);
    }
    zones.erase(self.m_zone);
    // Without another host in its zone, a host forwards to the other zones.
    bool const is_alone =
        near.empty() || (near.size() == 1 && near.front() == self.m_name);
    if (spills || is_alone)
    {
        for (auto const& zone : zones)
        {
            add_first(wanted, succession(zone, self, others),
                      owners + linked_successors_elsewhere);
        }
    }
    wanted.erase(self.m_name);
    return wanted;
}

std::vector<std::string> store_watchers(host_record const& self,
                                        std::span<host_record const> others,
                                        int max_owners)
{
    if (max_owners <= 0)
    {
        return {};
    }
    auto names = succession(self.m_zone, self, others);
    names.resize(std::min(names.size(), static_cast<std::size_t>(max_owners) +
                                            watching_successors));
    return names;
}

} // namespace hawthornspur::core
