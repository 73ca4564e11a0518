#ifndef HAWTHORNSPUR_CORE_OWNERSHIP_HPP
#define HAWTHORNSPUR_CORE_OWNERSHIP_HPP

#include "core/ids.hpp"

#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace hawthornspur::core
{

struct configuration;
struct host_record;

/// A host as far as the choice of owners is concerned.
struct owner_candidate
{
    std::string m_name;
    std::string m_zone;
    /// Processor time that the host may use, in thousandths of a core. It
    /// counts where only few hosts of a zone own its pools.
    int m_millicores = 1000;
};

/// The host behind a membership record as a candidate.
owner_candidate to_candidate(host_record const& host);

/// Rendezvous weight of a host for a key; the highest weight comes first.
std::uint64_t rendezvous_weight(std::string_view key,
                                std::string_view host) noexcept;

/// Zones in the order in which `zone` falls back to them: itself, then by
/// one-way delay, ties by name.
std::vector<std::string> nearest_zones(configuration const& document,
                                       std::string const& zone);

/// The owners of all pools of a zone, by service. Pools go to the hosts of the
/// zone, or of the nearest zone that has a host, by rendezvous weight; a host
/// takes no more than the mean number of pools rounded up, or a quarter above
/// the mean. Without this bound the chance distribution of few pools leaves
/// some hosts without a pool and others with several
/// (docs/measurements-state.md). Empty without hosts. Costs about services
/// times hosts of a zone; a caller keeps the result until the hosts or the
/// document change.
std::map<std::string, std::string>
zone_owners(std::string const& zone, std::span<owner_candidate const> hosts,
            configuration const& document);

/// The hosts of a zone in the order in which they own all its pools where their
/// number is bounded.
std::vector<std::string>
zone_succession(std::string const& zone,
                std::span<owner_candidate const> hosts);

/// All candidates in the order in which they own the pool: the one that
/// zone_owners() names, then the other hosts of the pool's zone by rendezvous
/// weight, then those of the nearest zones. Where few hosts own all pools of a
/// zone, hosts with more processor time come first. The first one is the owner,
/// the others are its likely successors. The pool of a service that is not in
/// the document is owned by rendezvous weight alone.
std::vector<std::string> owner_order(pool_id const& pool,
                                     std::span<owner_candidate const> hosts,
                                     configuration const& document);

/// The same with the result of zone_owners() for the pool's zone.
std::vector<std::string>
owner_order(pool_id const& pool, std::span<owner_candidate const> hosts,
            configuration const& document,
            std::map<std::string, std::string> const& owners);

} // namespace hawthornspur::core

#endif
