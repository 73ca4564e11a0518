#ifndef HAWTHORNSPUR_CORE_MEMBERSHIP_GOSSIP_HPP
#define HAWTHORNSPUR_CORE_MEMBERSHIP_GOSSIP_HPP

#include "core/membership.hpp"

namespace hawthornspur::core
{

/// Determines how often a changed record is sent.
enum class update_priority : std::uint8_t
{
    minor,
    urgent,
};

/// Queues the record of a peer to be sent with the next messages.
void enqueue_update(membership& members, std::string const& name,
                    update_priority priority);

/// Creates a message to `recipient` with this host's own record, the record of
/// the recipient if it may have to refute it, the pending updates sent least
/// often and, in a ping, one more record in cyclic order, which eventually
/// replaces lost updates. A new host receives as many records as fit.
membership_message make_message(membership& members,
                                membership_message_kind kind,
                                std::uint64_t sequence,
                                std::string const& recipient, time_point now);

} // namespace hawthornspur::core

#endif
