#include "core/routing.hpp"

#include "core/evacuated_zones.hpp"
#include "core/ownership.hpp"

#include <algorithm>
#include <limits>
#include <utility>

namespace hawthornspur::core
{

namespace
{

/// Hosts with this much more processor time than the smallest owner of a zone
/// take some of its callers. Twice as much would move callers between hosts
/// that can carry a zone each.
constexpr int much_larger = 4;

/// Slots of the active targets of the service in the zone.
int count_active_slots(service_config const& service, std::string const& zone)
{
    int slots = 0;
    for (auto const& target : service.m_targets)
    {
        if (target.m_zone == zone && target.m_state == target_state::active)
        {
            slots += target.m_slots;
        }
    }
    return slots;
}

bool has_active_target(service_config const& service, std::string const& zone)
{
    return count_active_slots(service, zone) > 0;
}

std::optional<duration> one_way_delay(configuration const& document,
                                      std::string const& from,
                                      std::string const& to)
{
    auto const* zone = find_zone(document, from);
    if (zone == nullptr || !zone->m_one_way_delay.contains(to))
    {
        return std::nullopt;
    }
    return zone->m_one_way_delay.at(to);
}

/// The zones that serve callers of `zone`.
std::vector<zone_share> serving_zones(configuration const& document,
                                      service_config const& service,
                                      std::string const& zone)
{
    std::vector<zone_share> shares;
    for (auto const& candidate : nearest_zones(document, zone))
    {
        auto const slots = count_active_slots(service, candidate);
        if (slots == 0)
        {
            continue;
        }
        if (!shares.empty() &&
            one_way_delay(document, zone, candidate) !=
                one_way_delay(document, zone, shares.front().m_zone))
        {
            break;
        }
        shares.push_back({candidate, slots, 0});
        if (!is_evacuated(service, zone))
        {
            break;
        }
    }
    return shares;
}

/// Smooth weighted round robin: no zone gets its requests in a burst.
std::string const& take_turn(std::vector<zone_share>& shares)
{
    std::int64_t total = 0;
    for (auto& share : shares)
    {
        share.m_credit += share.m_slots;
        total += share.m_slots;
    }
    auto const next =
        std::max_element(shares.begin(), shares.end(),
                         [](zone_share const& a, zone_share const& b)
                         { return a.m_credit < b.m_credit; });
    next->m_credit -= total;
    return next->m_zone;
}

} // namespace

void reset(routing_table& table, std::vector<host_record> hosts)
{
    table.m_hosts = std::move(hosts);
    table.m_ranked_owners.clear();
    table.m_zone_owners.clear();
    table.m_pool_zones.clear();
}

std::string const& pool_zone(routing_table& table,
                             configuration const& document,
                             service_config const& service,
                             std::string const& zone)
{
    auto const [entry, is_new] =
        table.m_pool_zones.try_emplace(pool_id{service.m_name, zone});
    if (is_new)
    {
        entry->second = serving_zones(document, service, zone);
    }
    static std::string const no_zone;
    return entry->second.empty() ? no_zone : take_turn(entry->second);
}

std::vector<std::string> const& ranked_owners(routing_table& table,
                                              configuration const& document,
                                              pool_id const& pool)
{
    auto const [entry, is_new] = table.m_ranked_owners.try_emplace(pool);
    if (is_new)
    {
        std::vector<owner_candidate> candidates;
        for (auto const& host : table.m_hosts)
        {
            if (host.m_state == host_state::live)
            {
                candidates.push_back(to_candidate(host));
            }
        }
        auto const [zone, is_new_zone] =
            table.m_zone_owners.try_emplace(pool.m_zone);
        if (is_new_zone)
        {
            zone->second = zone_owners(pool.m_zone, candidates, document);
        }
        entry->second = owner_order(pool, candidates, document, zone->second);
    }
    return entry->second;
}

std::vector<std::string> zone_hosts(routing_table& table,
                                    configuration const& document,
                                    std::string const& zone)
{
    std::vector<std::string> hosts;
    for (auto const& service : document.m_services)
    {
        auto const& order =
            ranked_owners(table, document, {service.m_name, zone});
        if (!order.empty() &&
            std::find(hosts.begin(), hosts.end(), order.front()) == hosts.end())
        {
            hosts.push_back(order.front());
        }
    }
    return hosts;
}

std::vector<std::string> callers_hosts(routing_table& table,
                                       configuration const& document,
                                       std::string const& zone)
{
    auto hosts = zone_hosts(table, document, zone);
    auto const* own_zone = find_zone(document, zone);
    if (own_zone == nullptr)
    {
        return hosts;
    }
    int smallest = std::numeric_limits<int>::max();
    for (auto const& name : hosts)
    {
        smallest = std::min(smallest, find_host(table, name)->m_millicores);
    }
    for (auto const& other : document.m_zones)
    {
        if (other.m_name == zone || other.m_region != own_zone->m_region)
        {
            continue;
        }
        for (auto const& name : zone_hosts(table, document, other.m_name))
        {
            bool const is_named =
                std::find(hosts.begin(), hosts.end(), name) != hosts.end();
            if (!is_named &&
                find_host(table, name)->m_millicores / much_larger >= smallest)
            {
                hosts.push_back(name);
            }
        }
    }
    return hosts;
}

bool has_same_route(host_record const& a, host_record const& b) noexcept
{
    return a.m_state == b.m_state && a.m_incarnation == b.m_incarnation &&
           a.m_once_epoch == b.m_once_epoch && a.m_zone == b.m_zone &&
           a.m_address == b.m_address && a.m_caller_port == b.m_caller_port &&
           a.m_peer_port == b.m_peer_port && a.m_millicores == b.m_millicores;
}

host_record const* find_host(routing_table const& table,
                             std::string const& name) noexcept
{
    auto const found = std::find_if(table.m_hosts.begin(), table.m_hosts.end(),
                                    [&](host_record const& host)
                                    { return host.m_name == name; });
    return found == table.m_hosts.end() ? nullptr : &*found;
}

std::optional<next_hop>
choose_owner(routing_table& table, configuration const& document,
             pool_id const& pool, std::string const& self,
             std::function<bool(std::string const&)> const& is_reachable,
             std::span<std::string const> excluded)
{
    for (auto const& host : ranked_owners(table, document, pool))
    {
        bool const is_excluded =
            std::find(excluded.begin(), excluded.end(), host) != excluded.end();
        if (!is_excluded && (host == self || is_reachable(host)))
        {
            return next_hop{pool, host};
        }
    }
    return std::nullopt;
}

std::vector<remote_pool> remote_pools(routing_table& table,
                                      configuration const& document,
                                      service_config const& service,
                                      std::string const& zone,
                                      std::size_t limit)
{
    std::vector<remote_pool> pools;
    auto const* own_zone = find_zone(document, zone);
    for (auto const& other : nearest_zones(document, zone))
    {
        if (pools.size() == limit)
        {
            break;
        }
        if (other == zone || !has_active_target(service, other))
        {
            continue;
        }
        pool_id pool{service.m_name, other};
        auto const& order = ranked_owners(table, document, pool);
        if (order.empty() || own_zone == nullptr)
        {
            continue;
        }
        duration one_way{0};
        auto const delay = own_zone->m_one_way_delay.find(other);
        if (delay != own_zone->m_one_way_delay.end())
        {
            one_way = delay->second;
        }
        auto const* other_zone = find_zone(document, other);
        pools.push_back({std::move(pool), order.front(),
                         2 * one_way + other_zone->m_extra_cost});
    }
    return pools;
}

} // namespace hawthornspur::core
