#ifndef HAWTHORNSPUR_SERVE_MEMBERSHIP_DRIVER_HPP
#define HAWTHORNSPUR_SERVE_MEMBERSHIP_DRIVER_HPP

#include "base/result.hpp"
#include "core/membership.hpp"
#include "platform/platform_calls.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace hawthornspur::serve
{

struct entry_host;

/// Creates core::membership and connects it with the datagram socket, the peer
/// links and the routing table.
status start_membership(entry_host& host);

/// Detects that this process was paused. Every event handler calls this first,
/// so that events are not handled before the pause is detected.
void detect_pause(entry_host& host);

void on_datagram(entry_host& host, core::membership_message const& message);
void on_peer_link_lost(entry_host& host, std::string const& peer);

/// Passes the platform's list of entry hosts to membership, which contacts
/// them.
void on_listed_entry_hosts(entry_host& host,
                           std::vector<platform::listed_host> const& listed);

/// Updates readiness, and announces the state, configuration generation and key
/// epoch of this host to its peers.
void announce_self(entry_host& host);

/// Sends the record of this host to the hosts with a link to it, which may
/// forward requests to it.
void announce_to_linked_hosts(entry_host& host);

/// Rebuilds the routing table and the pools after a change of membership or
/// configuration.
void update_routing(entry_host& host);

/// Rebuilds the routing table soon, and updates readiness before the host is
/// ready. When many hosts start or end together, one update covers many
/// changes; each costs time in proportion to the hosts.
void schedule_routing_update(entry_host& host);

/// Number of hosts that own the pools of a zone; 0 means all hosts.
int max_owners_per_zone(entry_host const& host);

/// Pings the hosts that the settings name as first contacts.
void contact_seeds(entry_host& host);

/// Name of the state in logs and in /status.
std::string_view to_string(core::host_state state) noexcept;

/// Whether the host can forward requests to pool owners. A host that starts
/// while the store is unreachable gets the document from its peers; it can
/// forward, but owns no pool before it has read the targets.
bool can_route(entry_host const& host) noexcept;

} // namespace hawthornspur::serve

#endif
