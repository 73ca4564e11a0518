#include "core/membership_delegates.hpp"

#include "core/membership_state.hpp"
#include "core/ownership.hpp"

#include <algorithm>
#include <compare>
#include <functional>

namespace hawthornspur::core
{

namespace
{

struct delegate_candidate
{
    bool m_is_staying = true;
    std::uint64_t m_weight = 0;
    std::string m_name;
    friend auto operator<=>(delegate_candidate const&,
                            delegate_candidate const&) = default;
};

// The delegates of each zone, including this host's zone. Leaving hosts rank
// last; they are candidates so that other zones detect the end of a zone in
// which all hosts are leaving.
std::map<std::string, std::vector<delegate_candidate>>
delegates(membership const& members)
{
    static constexpr std::string_view key = "zone-delegate";
    std::map<std::string, std::vector<delegate_candidate>> zones;
    auto const add = [&](host_record const& record)
    {
        zones[record.m_zone].push_back({record.m_state != host_state::leaving,
                                        rendezvous_weight(key, record.m_name),
                                        record.m_name});
    };
    add(members.m_self);
    for (auto const& [name, peer] : members.m_peers)
    {
        auto const state = peer.m_record.m_state;
        if (state != host_state::suspected && state != host_state::dead)
        {
            add(peer.m_record);
        }
    }
    for (auto& [zone, hosts] : zones)
    {
        std::sort(hosts.begin(), hosts.end(), std::greater<>());
        hosts.resize(std::min(
            hosts.size(), static_cast<std::size_t>(std::max(
                              members.m_settings.m_delegates_per_zone, 0))));
    }
    return zones;
}

} // namespace

bool is_delegate(membership const& members)
{
    auto const zones = delegates(members);
    auto const& own = zones.at(members.m_self.m_zone);
    return std::any_of(own.begin(), own.end(),
                       [&](delegate_candidate const& candidate)
                       { return candidate.m_name == members.m_self.m_name; });
}

std::vector<std::string> delegates_of_other_zones(membership const& members)
{
    std::vector<std::string> names;
    for (auto const& [zone, hosts] : delegates(members))
    {
        if (zone == members.m_self.m_zone)
        {
            continue;
        }
        for (auto const& candidate : hosts)
        {
            names.push_back(candidate.m_name);
        }
    }
    return names;
}

} // namespace hawthornspur::core
