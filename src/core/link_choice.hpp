#ifndef HAWTHORNSPUR_CORE_LINK_CHOICE_HPP
#define HAWTHORNSPUR_CORE_LINK_CHOICE_HPP

#include "core/membership.hpp"

#include <set>
#include <span>
#include <string>
#include <vector>

namespace hawthornspur::core
{

/// Names of the hosts that `self` keeps peer links to. If `max_owners` bounds
/// the owners of a zone, requests go only to owners: every host is linked with
/// the owners of its zone and their next successors, and these are linked with
/// the owners and next successors of the other zones. In a full mesh of 111
/// hosts each host would spend more on heartbeats than on requests. Without a
/// bound (0), the links go to all hosts that are not dead.
std::set<std::string> choose_links(host_record const& self,
                                   std::span<host_record const> others,
                                   int max_owners);

/// Names of the hosts of the zone of `self` that can own pools, in the order in
/// which they do if the number of owners is bounded.
std::vector<std::string> zone_order(host_record const& self,
                                    std::span<host_record const> others);

/// Number of hosts of a zone that watch the store, given the bound on owners.
std::size_t watcher_count(int max_owners) noexcept;

/// Names of the hosts of the zone of `self` that watch the store: the owners
/// and the next successor, which owns the pools when an owner is lost. The
/// other hosts receive documents from them, because every call to the store has
/// a cost. Empty without a bound (0): every host watches the store.
std::vector<std::string> store_watchers(host_record const& self,
                                        std::span<host_record const> others,
                                        int max_owners);

} // namespace hawthornspur::core

#endif
