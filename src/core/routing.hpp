#ifndef HAWTHORNSPUR_CORE_ROUTING_HPP
#define HAWTHORNSPUR_CORE_ROUTING_HPP

#include "core/configuration.hpp"
#include "core/ids.hpp"
#include "core/membership.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace hawthornspur::core
{

/// A zone that serves a part of the callers of another one, in proportion to
/// the slots of its active targets.
struct zone_share
{
    std::string m_zone;
    int m_slots = 0;
    /// The zone with the highest credit gets the next request.
    std::int64_t m_credit = 0;
};

/// Caches the zones and owners of pools for one configuration and one
/// membership view; reset() is called when either changes. Entries are computed
/// on first use, since a host routes to few of all pools.
struct routing_table
{
    std::vector<host_record> m_hosts;
    /// Results of ranked_owners().
    std::map<pool_id, std::vector<std::string>> m_ranked_owners;
    /// Owners by zone and service.
    std::map<std::string, std::map<std::string, std::string>> m_zone_owners;
    /// Zones between which pool_zone() chooses, by service and caller's zone.
    std::map<pool_id, std::vector<zone_share>> m_pool_zones;
};

void reset(routing_table& table, std::vector<host_record> hosts);

/// Returns the zone whose pool serves the next request of a caller of `zone`:
/// the nearest one with an active target of the service, or empty if no zone
/// has one. While `zone` is evacuated, the requests are distributed over all
/// zones that are equally near, in proportion to their slots.
std::string const& pool_zone(routing_table& table,
                             configuration const& document,
                             service_config const& service,
                             std::string const& zone);

/// Returns the live hosts in order of preference as owner of the pool. The
/// first one is the owner.
std::vector<std::string> const& ranked_owners(routing_table& table,
                                              configuration const& document,
                                              pool_id const& pool);

/// Returns the hosts that callers of a zone should use: the owners of its pools
/// and, if these are small, the much larger owners of other zones of the region
/// beside them.
///
/// Load pattern: the large hosts of a zone are lost, and a small one owns its
/// pools. All callers of the zone would fill its link, so that it accepts their
/// connections too late. It remains the owner, and gets the requests that other
/// zones have no slots for.
std::vector<std::string> callers_hosts(routing_table& table,
                                       configuration const& document,
                                       std::string const& zone);

/// Returns the hosts that own the pools of a zone.
std::vector<std::string> zone_hosts(routing_table& table,
                                    configuration const& document,
                                    std::string const& zone);

/// Whether requests are routed, and callers answered, the same way with either
/// record of a host. Only the generation and the version may differ.
bool has_same_route(host_record const& a, host_record const& b) noexcept;

/// Returns the record of a host, or null.
host_record const* find_host(routing_table const& table,
                             std::string const& name) noexcept;

/// The host that a request for a pool is sent to next.
struct next_hop
{
    pool_id m_pool;
    /// The host that acts as the owner of the pool; may be this host.
    std::string m_owner;
};

/// Returns the first of ranked_owners() that is `self` or reachable, and not in
/// `excluded`; nothing if there is none. An unreachable owner is skipped, even
/// if other hosts still use it: two owners at the same time are harmless,
/// whereas a request would have to wait for a lost link.
std::optional<next_hop>
choose_owner(routing_table& table, configuration const& document,
             pool_id const& pool, std::string const& self,
             std::function<bool(std::string const&)> const& is_reachable,
             std::span<std::string const> excluded);

/// A pool of the same service in another zone, to which requests can spill.
struct remote_pool
{
    pool_id m_pool;
    std::string m_owner;
    /// Round-trip time plus extra cost of the zone.
    duration m_cost{0};
};

/// Returns at most `limit` remote pools with an active target and an owner,
/// nearest zone first.
std::vector<remote_pool> remote_pools(routing_table& table,
                                      configuration const& document,
                                      service_config const& service,
                                      std::string const& zone,
                                      std::size_t limit);

} // namespace hawthornspur::core

#endif
