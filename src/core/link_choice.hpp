#ifndef HAWTHORNSPUR_CORE_LINK_CHOICE_HPP
#define HAWTHORNSPUR_CORE_LINK_CHOICE_HPP

#include "core/membership.hpp"

#include <set>
#include <span>
#include <string>
#include <vector>

namespace hawthornspur::core
{

/// The hosts that `self` keeps links to. Where `max_owners` bounds the owners
/// of a zone, requests only go to them: every host is linked with the owners of
/// its zone and their next successors, and those with their like in the other
/// zones. A full mesh of 111 hosts would have each of them spend more on
/// heartbeats than on requests. Without the bound (0) these are all hosts.
std::set<std::string> choose_links(host_record const& self,
                                   std::span<host_record const> others,
                                   int max_owners);

/// The hosts of the zone of `self` that follow the store: the owners, and the
/// next successor, which owns the pools when an owner is lost. The others learn
/// documents from them, since each call to the store has its price. Empty
/// without the bound: each host follows the store.
std::vector<std::string> store_watchers(host_record const& self,
                                        std::span<host_record const> others,
                                        int max_owners);

} // namespace hawthornspur::core

#endif
