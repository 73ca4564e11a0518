#ifndef HAWTHORNSPUR_CORE_RATE_SHARE_HPP
#define HAWTHORNSPUR_CORE_RATE_SHARE_HPP

#include "core/membership.hpp"
#include "core/time.hpp"

#include <span>
#include <string>
#include <vector>

namespace hawthornspur::core
{

/// Hosts that may send to the same targets, as seen by one of them.
struct fleet_view
{
    /// This host and the others that are not lost.
    int m_present = 1;
    /// Hosts that do not answer. They may have stopped, or run on the other
    /// side of a partition, where they see this host as lost.
    int m_lost = 0;
};

/// Counts all known hosts, including this one.
fleet_view make_fleet_view(std::span<host_record const> hosts);

/// The part of the rate limits of a pool's targets that this host may use, from
/// 0 to 1, so that all hosts together stay within them. Only the owner sends.
/// While the ownership changes, the former and the new owner use half each,
/// since they do not change at the same moment. In a partition, each side has
/// an owner and uses the share of its hosts. `changed_at` is when this host
/// last became the owner or ceased to be it.
double rate_share(bool is_owner, time_point changed_at, fleet_view const& fleet,
                  time_point now);

/// The hosts to which the owner passes on the rate limits of its pool: those
/// that come next in the order in which the hosts own it.
std::vector<std::string>
rate_limit_successors(std::vector<std::string> const& ranked_owners,
                      std::string const& self);

} // namespace hawthornspur::core

#endif
