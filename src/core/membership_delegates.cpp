#include "core/membership_delegates.hpp"

#include "core/membership_state.hpp"
#include "core/ownership.hpp"

#include <algorithm>
#include <functional>
#include <utility>

namespace hawthornspur::core
{

namespace
{

using weighted = std::pair<std::uint64_t, std::string>;

// Live and joining hosts of each zone, this one among them, by falling weight.
std::map<std::string, std::vector<weighted>> candidates(membership const& m)
{
    static constexpr std::string_view key = "zone-delegate";
    std::map<std::string, std::vector<weighted>> zones;
    auto const add = [&](host_record const& record)
    {
        zones[record.m_zone].emplace_back(rendezvous_weight(key, record.m_name),
                                          record.m_name);
    };
    add(m.m_self);
    for (auto const& [name, p] : m.m_peers)
    {
        auto const state = p.m_record.m_state;
        if (state == host_state::live || state == host_state::joining)
        {
            add(p.m_record);
        }
    }
    for (auto& [zone, hosts] : zones)
    {
        std::sort(hosts.begin(), hosts.end(), std::greater<>());
        hosts.resize(
            std::min(hosts.size(), static_cast<std::size_t>(std::max(
                                       m.m_settings.m_delegates_per_zone, 0))));
    }
    return zones;
}

} // namespace

bool is_delegate(membership const& m)
{
    auto const zones = candidates(m);
    auto const& own = zones.at(m.m_self.m_zone);
    return std::any_of(own.begin(), own.end(),
                       [&](weighted const& each)
                       { return each.second == m.m_self.m_name; });
}

std::vector<std::string> other_delegates(membership const& m)
{
    std::vector<std::string> names;
    for (auto const& [zone, hosts] : candidates(m))
    {
        if (zone == m.m_self.m_zone)
        {
            continue;
        }
        for (auto const& each : hosts)
        {
            names.push_back(each.second);
        }
    }
    return names;
}

} // namespace hawthornspur::core
