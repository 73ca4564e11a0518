#ifndef HAWTHORNSPUR_CORE_MEMBERSHIP_STATE_HPP
#define HAWTHORNSPUR_CORE_MEMBERSHIP_STATE_HPP

#include "core/membership.hpp"

#include <map>
#include <random>

namespace hawthornspur::core
{

/// What this host knows about another one.
struct peer
{
    host_record m_record;
    /// The host itself has sent this very record. While it has not, messages
    /// to it carry the record, so that it can refute it.
    bool m_confirmed = false;
    /// This host found the suspicion itself and keeps pinging the suspect.
    bool m_found_here = false;
    time_point m_death_at;
    time_point m_dead_since;
    time_point m_appeared_at;
};

/// A ping whose ack is awaited; without one the subject is suspected.
struct probe
{
    std::string m_subject;
    std::uint64_t m_sequence = 0;
    time_point m_sent_at;
    bool m_is_indirect = false;
};

/// A ping sent for another host.
struct relayed_ping
{
    std::uint64_t m_sequence = 0;
    std::string m_subject;
    std::string m_origin;
    std::string m_origin_address;
    std::uint16_t m_origin_port = 0;
    std::uint64_t m_origin_sequence = 0;
    time_point m_expires_at;
};

/// A change that still has to be passed on.
struct pending_update
{
    int m_transmissions = 0;
    int m_limit = 0;
};

/// Names in the shuffled order in which they are pinged next.
struct ping_round
{
    std::vector<std::string> m_names;
    std::size_t m_next = 0;
};

/// All fields belong to the event loop's thread.
struct membership
{
    membership_settings m_settings;
    host_record m_self;
    std::mt19937_64 m_random;
    std::map<std::string, peer> m_peers;
    std::map<std::string, listed_host> m_listed;
    time_point m_listed_at;
    time_point m_started_at;

    std::uint64_t m_next_sequence = 1;
    time_point m_next_round;
    time_point m_next_reconnect;
    ping_round m_zone_round;
    ping_round m_delegate_round;
    std::vector<probe> m_probes;
    std::vector<relayed_ping> m_relayed;

    std::map<std::string, pending_update> m_pending;
    /// Name after which the next record is taken to fill a message.
    std::string m_fill_cursor;

    time_point m_last_run;
    bool m_is_isolated = false;
    bool m_is_superseded = false;
    /// A peer has answered since the start, so that the start order is known.
    bool m_is_established = false;
    time_point m_isolated_since;
    /// Only acks of pings from this one on end the isolation.
    std::uint64_t m_first_fresh_sequence = 0;
};

} // namespace hawthornspur::core

#endif
