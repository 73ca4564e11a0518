#ifndef HAWTHORNSPUR_CORE_MEMBERSHIP_STATE_HPP
#define HAWTHORNSPUR_CORE_MEMBERSHIP_STATE_HPP

#include "core/membership.hpp"

#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace hawthornspur::core
{

/// The state of another host in this host's view.
struct peer_state
{
    host_record m_record;
    /// True if the host itself sent m_record. Otherwise messages to the host
    /// carry the record, which the host can then refute.
    bool m_is_self_reported = false;
    /// True if this host raised the suspicion; it keeps pinging the suspect.
    bool m_is_locally_suspected = false;
    time_point m_suspicion_deadline;
    time_point m_dead_since;
    time_point m_appeared_at;
};

/// A ping whose ack is outstanding. Without an ack the subject is suspected.
struct pending_probe
{
    std::string m_subject;
    std::uint64_t m_sequence = 0;
    time_point m_sent_at;
    bool m_is_indirect = false;
};

/// A ping sent on behalf of another host, the origin.
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

/// Transmissions of a changed record that is still being disseminated.
struct pending_update
{
    int m_transmissions = 0;
    int m_max_transmissions = 0;
};

/// Host names in the shuffled order in which they are pinged.
struct ping_round
{
    std::vector<std::string> m_names;
    std::size_t m_next = 0;
};

struct membership
{
    membership_settings m_settings;
    host_record m_self;
    std::mt19937_64 m_random;
    std::map<std::string, peer_state> m_peers;
    /// Names of the suspected peers. next_timer() runs in each iteration of the
    /// event loop and must not visit all peers.
    std::set<std::string> m_suspects;
    std::map<std::string, listed_host> m_host_list;
    time_point m_host_list_at;
    time_point m_started_at;

    std::uint64_t m_next_sequence = 1;
    time_point m_next_ping_at;
    time_point m_next_reconnect_at;
    ping_round m_zone_round;
    ping_round m_delegate_round;
    std::vector<pending_probe> m_probes;
    std::vector<relayed_ping> m_relayed_pings;

    std::map<std::string, pending_update> m_pending_updates;
    /// Name of the peer whose record was last used to fill a message.
    std::string m_fill_cursor;
    /// Counts the leaders that were added to regular pings, in turn.
    std::size_t m_leader_cursor = 0;
    /// The first hosts of each zone in the order of succession; nothing until
    /// they are needed after a change.
    mutable std::optional<std::map<std::string, std::vector<std::string>>>
        m_leaders;
    /// Hosts to contact at the start, until they are known by name.
    std::vector<seed_address> m_seeds;

    time_point m_last_run;
    bool m_is_isolated = false;
    bool m_is_superseded = false;
    /// True after the first ack, which also corrects the start order of m_self.
    bool m_has_received_ack = false;
    time_point m_isolated_since;
    /// Only acks with this sequence number or a higher one end the isolation.
    std::uint64_t m_first_sequence_after_pause = 0;
};

} // namespace hawthornspur::core

#endif
