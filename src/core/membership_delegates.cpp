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

struct candidate
{
    bool m_stays = true;
    std::uint64_t m_weight = 0;
    std::string m_name;
    friend auto operator<=>(candidate const&, candidate const&) = default;
};

// The delegates of each zone, this host considered too. Leaving hosts are
// taken only when the zone has no other, so that their end is noticed as well.
std::map<std::string, std::vector<candidate>> delegates(membership const& m)
{
    static constexpr std::string_view key = "zone-delegate";
    std::map<std::string, std::vector<candidate>> zones;
    auto const add = [&](host_record const& record)
    {
        zones[record.m_zone].push_back({record.m_state != host_state::leaving,
                                        rendezvous_weight(key, record.m_name),
                                        record.m_name});
    };
    add(m.m_self);
    for (auto const& [name, p] : m.m_peers)
    {
        auto const state = p.m_record.m_state;
        if (state != host_state::suspected && state != host_state::dead)
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
    auto const zones = delegates(m);
    auto const& own = zones.at(m.m_self.m_zone);
    return std::any_of(own.begin(), own.end(),
                       [&](candidate const& each)
                       { return each.m_name == m.m_self.m_name; });
}

std::vector<std::string> other_delegates(membership const& m)
{
    std::vector<std::string> names;
    for (auto const& [zone, hosts] : delegates(m))
    {
        if (zone == m.m_self.m_zone)
        {
            continue;
        }
        for (auto const& each : hosts)
        {
            names.push_back(each.m_name);
        }
    }
    return names;
}

} // namespace hawthornspur::core
