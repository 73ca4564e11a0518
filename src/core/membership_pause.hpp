#ifndef HAWTHORNSPUR_CORE_MEMBERSHIP_PAUSE_HPP
#define HAWTHORNSPUR_CORE_MEMBERSHIP_PAUSE_HPP

#include "core/membership.hpp"

namespace hawthornspur::core
{

/// Notes that the event loop runs at `now`. A loop that ran late postpones the
/// deadlines of probes and suspicions, since acks may wait unread; one that
/// stood still for the pause limit makes this host isolated.
void note_run(membership& m, time_point now, membership_effects& out);

/// Ends the isolation when an ack answers a ping sent after the pause.
void note_ack(membership& m, std::uint64_t sequence, membership_effects& out);

/// Ends the isolation of a host that has found itself alone.
void check_alone(membership& m, time_point now, membership_effects& out);

} // namespace hawthornspur::core

#endif
