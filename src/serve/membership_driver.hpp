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

/// Connects core::membership with the datagram socket, the links and the
/// routing table.
status start_membership(entry_host& host);

/// Notices a pause of this host before anything else is done in a pass of the
/// loop. Called first by everything that the loop calls.
void detect_pause(entry_host& host);

void on_datagram(entry_host& host, core::membership_message const& message);
void on_peer_link_lost(entry_host& host, std::string const& peer);

/// The platform's list of entry hosts, used as a seed.
void on_listed_entry_hosts(entry_host& host,
                           std::vector<platform::listed_host> const& listed);

/// Announces this host's state, generation and epoch to its peers.
void announce_self(entry_host& host);

/// Rebuilds the routing table and the pools after a change of membership or
/// configuration.
void update_routing(entry_host& host);

/// Whether this host follows the store itself, for its zone or because it
/// reaches no host that does.
bool is_store_watcher(entry_host const& host);

/// The state as it stands in logs and in /status.
std::string_view to_string(core::host_state state) noexcept;

/// Whether the host may pass requests on to owners of pools. A host that starts
/// without reaching the store knows the document of its peers, but is_owner no
/// pool before it has read the targets itself.
bool can_route(entry_host const& host) noexcept;

/// Whether this host has a configuration and takes part.
bool is_ready(entry_host const& host) noexcept;

} // namespace hawthornspur::serve

#endif
