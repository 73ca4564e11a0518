#ifndef HAWTHORNSPUR_CORE_ROUTING_HPP
#define HAWTHORNSPUR_CORE_ROUTING_HPP

#include "core/configuration.hpp"
#include "core/ids.hpp"
#include "core/membership.hpp"

#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace hawthornspur::core
{

/// The zones and owners of pools under one configuration and one view of the
/// membership. Rebuilt by reset() whenever either changes; entries are filled
/// in on first use, since a host routes to few of all pools.
struct routing_table
{
    std::vector<host_record> m_hosts;
    std::map<pool_id, std::vector<std::string>> m_owner_orders;
    /// Owners of all pools of a zone, by service.
    std::map<std::string, std::map<std::string, std::string>> m_zone_owners;
    /// Pool zone for a service and a caller's zone.
    std::map<pool_id, std::string> m_pool_zones;
};

void reset(routing_table& table, std::vector<host_record> hosts);

/// The zone whose pool serves callers of `zone`: the nearest one with an
/// active target of the service. Empty when no zone has one.
std::string const& pool_zone(routing_table& table,
                             configuration const& document,
                             service_config const& service,
                             std::string const& zone);

/// Hosts that may own the pool, the owner first. Only live hosts count.
std::vector<std::string> const& ranked_owners(routing_table& table,
                                              configuration const& document,
                                              pool_id const& pool);

/// The hosts that callers of a zone should use: those that own its pools.
std::vector<std::string> zone_hosts(routing_table& table,
                                    configuration const& document,
                                    std::string const& zone);

/// The record of a host, or null.
host_record const* find_host(routing_table const& table,
                             std::string const& name) noexcept;

/// Where a request for a pool goes next.
struct next_hop
{
    pool_id m_pool;
    /// The host that acts as owner; may be this host.
    std::string m_owner;
};

/// The first owner in order that is this host or has a usable link. A host
/// that others believe to be the owner but that cannot be reached is skipped:
/// two owners at once are harmless, a request that waits for a lost link is
/// not. Empty when no owner can be reached.
std::optional<next_hop>
choose_owner(routing_table& table, configuration const& document,
             pool_id const& pool, std::string const& self,
             std::function<bool(std::string const&)> const& is_reachable,
             std::span<std::string const> excluded);

/// Owners of the service's pools in other zones, nearest first, for spilling.
struct remote_pool
{
    pool_id m_pool;
    std::string m_owner;
    /// Round trip and extra cost of the link.
    duration m_cost{0};
};

std::vector<remote_pool> remote_pools(routing_table& table,
                                      configuration const& document,
                                      service_config const& service,
                                      std::string const& zone,
                                      std::size_t limit);

} // namespace hawthornspur::core

#endif
