#ifndef HAWTHORNSPUR_CORE_OWNERSHIP_HPP
#define HAWTHORNSPUR_CORE_OWNERSHIP_HPP

#include "core/ids.hpp"

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace hawthornspur::core
{

struct configuration;
struct host_record;

/// The properties of a host that determine which pools it owns.
struct owner_candidate
{
    std::string m_name;
    std::string m_zone;
    /// Processor time that the host may use, in thousandths of a core. Used
    /// only if the number of owners per zone is bounded.
    int m_millicores = 1000;
};

/// Converts a membership record to a candidate.
owner_candidate to_candidate(host_record const& host);

/// Rendezvous hashing weight of a host for a key. The host with the highest
/// weight comes first.
std::uint64_t rendezvous_weight(std::string_view key,
                                std::string_view host) noexcept;

/// All zones in the order in which `zone` falls back to them: itself, then the
/// others by one-way delay. Ties are broken by name.
std::vector<std::string> nearest_zones(configuration const& document,
                                       std::string const& zone);

/// Names of the owners of all pools of a zone, by service. Pools are assigned
/// by rendezvous weight to the hosts of the zone, or of the nearest zone that
/// has hosts. A host owns at most the mean number of pools rounded up or 1.25
/// times the mean, whichever is larger. Without this bound, the random
/// distribution of few pools leaves some hosts without a pool and others with
/// several (docs/measurements-state.md). If the document bounds the owners per
/// zone, only the first hosts of zone_succession() own pools. Empty without
/// hosts. The cost is about proportional to services times hosts of a zone;
/// callers cache the result until the hosts or the document change.
std::map<std::string, std::string>
zone_owners(std::string const& zone, std::span<owner_candidate const> hosts,
            configuration const& document);

/// The position of a host in zone_succession(). Refers to the record from which
/// it was made.
struct ranked_host
{
    int m_millicores = 0;
    std::uint64_t m_weight = 0;
    std::string const* m_name = nullptr;
};

/// Ranks a host among the hosts of `zone`. `host` must outlive the result.
ranked_host rank_in_succession(std::string const& zone,
                               host_record const& host);

/// Whether `a` comes before `b` in zone_succession(): hosts with more processor
/// time come first, because a small host cannot carry the traffic of a zone.
bool precedes_in_succession(ranked_host const& a,
                            ranked_host const& b) noexcept;

/// Names of the hosts of a zone in the order in which they own all of its pools
/// if the number of owners per zone is bounded.
std::vector<std::string>
zone_succession(std::string const& zone,
                std::span<owner_candidate const> hosts);

/// Names of all hosts in the order in which they own the pool: the owner that
/// zone_owners() returns, then the other hosts of the pool's zone by rendezvous
/// weight, then those of the other zones, nearest first. If the number of
/// owners per zone is bounded, hosts with more processor time come first within
/// a zone. The first host is the owner, the others are its likely successors.
/// The pool of a service that is not in the document is owned by rendezvous
/// weight alone.
std::vector<std::string> owner_order(pool_id const& pool,
                                     std::span<owner_candidate const> hosts,
                                     configuration const& document);

/// The same, given the result of zone_owners() for the pool's zone.
std::vector<std::string>
owner_order(pool_id const& pool, std::span<owner_candidate const> hosts,
            configuration const& document,
            std::map<std::string, std::string> const& owners);

} // namespace hawthornspur::core

#endif
