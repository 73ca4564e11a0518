#ifndef HAWTHORNSPUR_CORE_MEMBERSHIP_HPP
#define HAWTHORNSPUR_CORE_MEMBERSHIP_HPP

#include "core/time.hpp"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <variant>
#include <vector>

namespace hawthornspur::core
{

/// A host's view of the other entry hosts, maintained by SWIM-style probing and
/// gossip. Not thread-safe; used by the event loop's thread only.
struct membership;

struct membership_deleter
{
    void operator()(membership* members) const noexcept;
};
using membership_ptr = std::unique_ptr<membership, membership_deleter>;

enum class host_state : std::uint8_t
{
    joining,
    live,
    suspected,
    leaving,
    dead,
};

/// The state of a host as exchanged between hosts. Of two records of a host,
/// the one with the higher version is newer (host_record_order.hpp). The upper
/// 32 bits of the version number the processes that used the host name: a
/// process that receives a record of an earlier process takes the next number.
struct host_record
{
    std::string m_name;
    std::string m_zone;
    std::string m_address;
    std::uint16_t m_caller_port = 0;
    std::uint16_t m_peer_port = 0;
    std::uint64_t m_incarnation = 0;
    std::uint64_t m_version = 0;
    host_state m_state = host_state::joining;
    std::uint64_t m_generation = 0;
    std::uint64_t m_once_epoch = 0;
    /// Processor time that the host may use, in thousandths of a core.
    int m_millicores = 1000;
};

enum class membership_message_kind : std::uint8_t
{
    ping,
    ping_request,
    ack,
};

/// A datagram between two hosts.
struct membership_message
{
    membership_message_kind m_kind = membership_message_kind::ping;
    std::uint64_t m_sequence = 0;
    /// The current record of the sender.
    host_record m_sender;
    /// In a ping_request and its ack the host to be probed, otherwise empty.
    std::string m_subject;
    std::vector<host_record> m_updates;
};

struct send_effect
{
    std::string m_address;
    std::uint16_t m_port = 0;
    membership_message m_message;
};

/// A host appeared, or its state, incarnation, generation, at-most-once epoch,
/// zone, address or ports changed. The removal of a dead host is not reported.
struct host_changed_effect
{
    host_record m_record;
};

/// This host became isolated (true) or its isolation ended (false).
struct isolation_effect
{
    bool m_isolated = false;
};

/// A peer has a newer configuration in force. Emitted for each message with a
/// newer generation until set_self() has set it, which retries failed fetches.
struct newer_generation_effect
{
    std::string m_host;
    std::uint64_t m_generation = 0;
};

using membership_effect =
    std::variant<send_effect, host_changed_effect, isolation_effect,
                 newer_generation_effect>;
using membership_effects = std::vector<membership_effect>;

struct membership_settings
{
    duration m_ping_interval = std::chrono::milliseconds(200);
    duration m_ack_timeout = std::chrono::milliseconds(100);
    /// Time from the first missed ack of a host until it is declared dead,
    /// unless it refutes the suspicion. Hosts that received the suspicion from
    /// another host wait three times as long for the refutation or the death.
    duration m_suspicion_timeout = std::chrono::milliseconds(600);
    /// A host whose event loop did not run for longer counts as paused.
    duration m_pause_limit = std::chrono::milliseconds(600);
    /// Time after which an isolated host without an ack resumes work if all
    /// other hosts of its zone are dead: each side of a partition serves its
    /// own callers.
    duration m_isolation_timeout = std::chrono::seconds(5);
    duration m_dead_record_lifetime = std::chrono::seconds(60);
    /// Interval of the pings to hosts that are dead or only listed.
    duration m_reconnect_interval = std::chrono::seconds(1);
    /// Messages to a host that appeared within this period carry as many
    /// records as fit. Within this period after its own start, a host pings
    /// dead and listed hosts at every ping interval.
    duration m_new_host_period = std::chrono::seconds(5);
    int m_indirect_probes = 2;
    int m_delegates_per_zone = 2;
    std::size_t m_max_updates = 6;
    /// The same for messages to new hosts; fits in a packet of 1,500 bytes.
    std::size_t m_max_updates_to_new_host = 12;
};

/// An entry of the platform's host list, which may be outdated.
struct listed_host
{
    std::string m_name;
    std::string m_zone;
    std::string m_address;
    std::uint16_t m_caller_port = 0;
    std::uint16_t m_peer_port = 0;
    bool m_leaving = false;
};

/// Address of a host whose name is unknown, which may be outdated.
struct seed_address
{
    std::string m_address;
    std::uint16_t m_peer_port = 0;
};

/// Creates the view of the host `self`, which must have a name. The ping
/// interval must be positive.
membership_ptr make_membership(membership_settings settings, host_record self,
                               std::uint64_t random_seed, time_point now);

/// Replaces the list of hosts to contact. A listed host does not appear in
/// hosts() before a message has announced it.
void on_host_list(membership& members, std::span<listed_host const> hosts,
                  time_point now, membership_effects& out);

/// Sets hosts to contact at the start and after the loss of all peers, and
/// pings them if this host knows no other one. Allowed before the first
/// message.
void set_seeds(membership& members, std::vector<seed_address> seeds,
               time_point now, membership_effects& out);

/// Whether the view contains another host that is not dead.
bool has_living_peer(membership const& members) noexcept;

void on_message(membership& members, membership_message const& message,
                time_point now, membership_effects& out);

void on_timer(membership& members, time_point now, membership_effects& out);

/// The time at which on_timer() must be called next.
std::optional<time_point> next_timer(membership const& members);

/// Must be called first in each iteration of the event loop. Otherwise the
/// first events after a pause, such as a request buffered by a socket, are
/// handled before the pause is detected.
void on_loop_iteration(membership& members, time_point now,
                       membership_effects& out);

/// The peer link to a host was lost; the host is probed immediately.
void on_link_lost(membership& members, std::string const& host, time_point now,
                  membership_effects& out);

/// Sends the record of this host directly to each of the named hosts.
///
/// Load pattern: in a rolling restart of hundreds of hosts, there are more
/// changes than gossip messages can hold, and some hosts learn of a stop only
/// after its end.
void announce_to(membership& members, std::span<std::string const> hosts,
                 time_point now, membership_effects& out);

/// Changes the record that this host announces.
void set_self(membership& members, host_state state, std::uint64_t generation,
              std::uint64_t once_epoch, time_point now,
              membership_effects& out);

/// True after a pause until a peer acknowledges a ping sent after the pause or
/// m_isolation_timeout applies. An isolated host must not dispatch requests.
bool is_isolated(membership const& members) noexcept;

/// True if another process took over the host name while this one was paused.
/// The host stays isolated and sends no messages; the process should exit.
bool is_superseded(membership const& members) noexcept;

/// True if this host is one of the hosts of its zone that ping other zones.
bool is_delegate(membership const& members);

host_record const& self(membership const& members) noexcept;

/// All known hosts except this one, including dead hosts that have not been
/// removed yet.
std::vector<host_record> hosts(membership const& members);

} // namespace hawthornspur::core

#endif
