#ifndef HAWTHORNSPUR_CORE_MEMBERSHIP_PROBING_HPP
#define HAWTHORNSPUR_CORE_MEMBERSHIP_PROBING_HPP

#include "core/membership.hpp"

namespace hawthornspur::core
{

/// Pings a host and tracks the ack, unless the host is dead or unknown or has a
/// pending probe.
void start_probe(membership& members, std::string const& name, time_point now,
                 membership_effects& out);

/// Pings up to `count` random hosts, those of the own zone first, without
/// tracking the acks.
void ping_some(membership& members, std::size_t count, time_point now,
               membership_effects& out);

/// Pings those of the named hosts that are known and not dead.
void ping_hosts(membership& members, std::span<std::string const> names,
                time_point now, membership_effects& out);

/// Pings the seeds whose addresses belong to no living host of the view.
void ping_seeds(membership& members, time_point now, membership_effects& out);

/// Pings a random host that is dead, only listed or an unknown seed, if there
/// is one.
void ping_reconnect_candidate(membership& members, time_point now,
                              membership_effects& out);

/// Sends the pings of one ping interval: to a host of the own zone, to a
/// delegate of another zone if this host is a delegate, and to a host that this
/// host suspects. An isolated host pings a few more.
void send_periodic_pings(membership& members, time_point now,
                         membership_effects& out);

/// Requests indirect probes of hosts whose ack is overdue and suspects hosts
/// that did not answer these in time either.
void check_probes(membership& members, time_point now, membership_effects& out);

/// Answers or relays a message whose records have been merged.
void answer_message(membership& members, membership_message const& message,
                    time_point now, membership_effects& out);

} // namespace hawthornspur::core

#endif
