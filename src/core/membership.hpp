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

/// One host's view of the other entry hosts, kept by SWIM-style probing. It
/// lives as long as the process.
struct membership;

struct membership_deleter
{
    void operator()(membership* m) const noexcept;
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

/// What hosts tell each other about a host. Of two records of a host, the one
/// with the higher version is newer (host_record_order.hpp). The upper 32 bits
/// of the version order the processes that used the name: a process that hears
/// of an earlier one takes the next number.
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
    /// The sender, with its own newest record.
    host_record m_sender;
    /// For ping_request and its ack: the host to be probed.
    std::string m_subject;
    std::vector<host_record> m_updates;
};

struct send_effect
{
    std::string m_address;
    std::uint16_t m_port = 0;
    membership_message m_message;
};

/// A host appeared, restarted or changed anything but its version. A host that
/// died is reported as dead; a record that is forgotten later is not.
struct host_changed_effect
{
    host_record m_record;
};

/// This host was paused (true) or has heard a peer again.
struct isolation_effect
{
    bool m_isolated = false;
};

/// A peer has a newer configuration in force. Repeated with each message until
/// set_self() announces the generation, so that a lost fetch is tried again.
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
    /// From the first missed ack of a host to its death, unless it refutes the
    /// suspicion. Hosts that only heard of the suspicion wait three times as
    /// long, for the refutation or the death to arrive.
    duration m_suspicion_timeout = std::chrono::milliseconds(600);
    /// A loop that stood still for longer counts as paused.
    duration m_pause_limit = std::chrono::milliseconds(600);
    /// A paused host that no peer answers and whose zone has no living peer
    /// works alone after this time: in a partition each side serves its own.
    duration m_alone_timeout = std::chrono::seconds(5);
    duration m_dead_record_lifetime = std::chrono::seconds(60);
    /// Hosts that are dead or only listed are tried this often.
    duration m_reconnect_interval = std::chrono::seconds(1);
    /// A host that appeared lately gets as many records as fit.
    duration m_newcomer_time = std::chrono::seconds(5);
    int m_indirect_probes = 2;
    int m_delegates_per_zone = 2;
    std::size_t m_max_updates = 6;
};

/// A row of the platform's host list, which lags.
struct listed_host
{
    std::string m_name;
    std::string m_zone;
    std::string m_address;
    std::uint16_t m_caller_port = 0;
    std::uint16_t m_peer_port = 0;
    bool m_leaving = false;
};

membership_ptr make_membership(membership_settings settings, host_record self,
                               std::uint64_t random_seed, time_point now);

/// Hosts to contact; a listed host is not live before it has answered.
void on_host_list(membership& m, std::span<listed_host const> hosts,
                  time_point now, membership_effects& out);

void on_message(membership& m, membership_message const& message,
                time_point now, membership_effects& out);

void on_timer(membership& m, time_point now, membership_effects& out);
std::optional<time_point> next_timer(membership const& m);

/// To be called before anything else is done in a pass of the event loop.
/// Otherwise the first events after a pause, such as a request that waited in
/// a socket, are handled before the pause has been noticed.
void on_loop_iteration(membership& m, time_point now, membership_effects& out);

/// The peer link to a host broke: it is probed at once.
void on_link_lost(membership& m, std::string const& host, time_point now,
                  membership_effects& out);

/// Changes what this host announces about itself.
void set_self(membership& m, host_state state, std::uint64_t generation,
              std::uint64_t once_epoch, time_point now,
              membership_effects& out);

/// True after a pause until a peer has answered a ping sent after it (or
/// m_alone_timeout applies). An isolated host dispatches nothing.
bool is_isolated(membership const& m) noexcept;

/// True when a process that was paused finds that another one has taken its
/// name. It stays isolated and silent; its owner should end it.
bool is_superseded(membership const& m) noexcept;

/// True while this host exchanges pings with other zones.
bool is_delegate(membership const& m);

host_record const& self(membership const& m) noexcept;

/// All known hosts but this one, dead ones included for a while.
std::vector<host_record> hosts(membership const& m);

} // namespace hawthornspur::core

#endif
