#ifndef HAWTHORNSPUR_CORE_MEMBERSHIP_GOSSIP_HPP
#define HAWTHORNSPUR_CORE_MEMBERSHIP_GOSSIP_HPP

#include "core/membership.hpp"

namespace hawthornspur::core
{

/// How often a change is passed on.
enum class change_weight : std::uint8_t
{
    minor,
    urgent,
};

/// Queues the record of a host for the next messages.
void enqueue_update(membership& m, std::string const& name,
                    change_weight weight);

/// Makes a message to a host with this host's own record, what the recipient
/// has to refute, the changes passed on least so far, and one more record of
/// the table in turn, by which lost changes arrive in the end.
membership_message make_message(membership& m, membership_message_kind kind,
                                std::uint64_t sequence,
                                std::string const& recipient, time_point now);

} // namespace hawthornspur::core

#endif
