#ifndef HAWTHORNSPUR_SERVE_STORE_ROLE_INPUTS_HPP
#define HAWTHORNSPUR_SERVE_STORE_ROLE_INPUTS_HPP

#include "core/membership.hpp"
#include "core/store_role.hpp"

#include <span>

namespace hawthornspur::serve
{

struct entry_host;

/// What this host knows about its zone, from which core::choose_store_role()
/// decides whether it reads the store. Records since when there has been
/// contact with other hosts, and since when no watcher has been linked.
core::store_role_inputs
observe_role_inputs(entry_host& host,
                    std::span<core::host_record const> others);

/// Whether the host has discovered enough hosts of its zone to determine the
/// owners of its pools. Without this wait, hosts that start together would all
/// name themselves, and callers would use hosts that are too small for the
/// load.
bool has_discovered_zone(entry_host const& host);

} // namespace hawthornspur::serve

#endif
