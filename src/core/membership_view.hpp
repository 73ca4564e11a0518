#ifndef HAWTHORNSPUR_CORE_MEMBERSHIP_VIEW_HPP
#define HAWTHORNSPUR_CORE_MEMBERSHIP_VIEW_HPP

#include "core/membership.hpp"

namespace hawthornspur::core
{

/// Merges a record from a message. A newer record replaces the known one; a
/// wrong record of this host is refuted with a higher version.
void merge_record(membership& members, host_record const& record,
                  time_point now, membership_effects& out);

/// Merges the record that a host sent of itself.
void merge_sender(membership& members, host_record const& sender,
                  time_point now, membership_effects& out);

/// Suspects a host whose ack has been overdue since `missed_at`.
void suspect(membership& members, std::string const& name, time_point missed_at,
             time_point now, membership_effects& out);

/// Declares hosts dead whose suspicion timed out and removes expired records of
/// dead hosts.
void expire_suspicions(membership& members, time_point now,
                       membership_effects& out);

} // namespace hawthornspur::core

#endif
