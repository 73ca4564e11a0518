#ifndef HAWTHORNSPUR_CORE_MEMBERSHIP_LEADERS_HPP
#define HAWTHORNSPUR_CORE_MEMBERSHIP_LEADERS_HPP

#include "core/membership.hpp"

#include <string>
#include <vector>

namespace hawthornspur::core
{

/// Names of the hosts that every host has to know: the first hosts of its own
/// zone in the order of zone_succession(), which own the pools of the zone and
/// watch the store for it, then the first host of each other zone. This host is
/// never among them.
///
/// Load pattern: hundreds of hosts start at the same time. General gossip takes
/// many seconds until each host knows all others, but requests can be forwarded
/// as soon as each host knows these few.
std::vector<std::string> zone_leaders(membership const& members,
                                      std::string const& zone);

/// Must be called when the state, zone or processor time of a host changes.
void invalidate_leaders(membership& members) noexcept;

} // namespace hawthornspur::core

#endif
