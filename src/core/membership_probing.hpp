#ifndef HAWTHORNSPUR_CORE_MEMBERSHIP_PROBING_HPP
#define HAWTHORNSPUR_CORE_MEMBERSHIP_PROBING_HPP

#include "core/membership.hpp"

namespace hawthornspur::core
{

/// Pings a host and awaits its ack, unless one is awaited already.
void start_probe(membership& m, std::string const& name, time_point now,
                 membership_effects& out);

/// Pings up to `count` random hosts without awaiting their acks, those of the
/// own zone first.
void ping_some(membership& m, std::size_t count, time_point now,
               membership_effects& out);

/// Pings one host that is dead or only listed, if there is one.
void ping_unheard(membership& m, time_point now, membership_effects& out);

/// The pings due at each interval: one host of the own zone, a delegate of
/// another zone if this host is a delegate, and one own suspect.
void run_round(membership& m, time_point now, membership_effects& out);

/// Continues probes without an ack: first through other hosts, then by
/// suspicion.
void check_probes(membership& m, time_point now, membership_effects& out);

/// Answers or relays a message after its records have been merged.
void answer_message(membership& m, membership_message const& message,
                    time_point now, membership_effects& out);

} // namespace hawthornspur::core

#endif
