#ifndef HAWTHORNSPUR_CORE_MEMBERSHIP_PAUSE_HPP
#define HAWTHORNSPUR_CORE_MEMBERSHIP_PAUSE_HPP

#include "core/membership.hpp"

namespace hawthornspur::core
{

/// Records that the event loop runs at `now`. If it runs late, the deadlines of
/// probes and suspicions are postponed, because acks may be unread. If it did
/// not run for longer than the pause limit, a host with peers becomes isolated.
void detect_pause(membership& members, time_point now, membership_effects& out);

/// Records an ack. Ends the isolation if the ping was sent after the pause.
void record_ack(membership& members, std::uint64_t sequence,
                membership_effects& out);

/// Ends the isolation after m_isolation_timeout if all other hosts of the zone
/// are dead.
void check_isolation_timeout(membership& members, time_point now,
                             membership_effects& out);

} // namespace hawthornspur::core

#endif
