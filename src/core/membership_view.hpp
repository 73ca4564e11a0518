#ifndef HAWTHORNSPUR_CORE_MEMBERSHIP_VIEW_HPP
#define HAWTHORNSPUR_CORE_MEMBERSHIP_VIEW_HPP

#include "core/membership.hpp"

namespace hawthornspur::core
{

/// Takes over a record from a message: a newer one replaces the known one, one
/// about this host is refuted when it is wrong.
void merge_record(membership& m, host_record const& record, time_point now,
                  membership_effects& out);

/// Takes over the record that a host sent about itself.
void merge_sender(membership& m, host_record const& sender, time_point now,
                  membership_effects& out);

/// Suspects a host that this host could not reach since `missed_at`.
void suspect(membership& m, std::string const& name, time_point missed_at,
             time_point now, membership_effects& out);

/// Declares suspects dead whose time is over and forgets old dead records.
void end_suspicions(membership& m, time_point now, membership_effects& out);

} // namespace hawthornspur::core

#endif
