#ifndef HAWTHORNSPUR_NET_PEER_NETWORK_HPP
#define HAWTHORNSPUR_NET_PEER_NETWORK_HPP

#include "base/result.hpp"
#include "core/membership.hpp"
#include "core/time.hpp"
#include "net/peer_messages.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace hawthornspur::net
{

class event_loop;

struct peer_network_settings
{
    std::string m_host;
    std::uint64_t m_incarnation = 0;
    std::string m_address;
    /// TCP for links and UDP for datagrams; 0 lets the kernel choose one port
    /// for both.
    std::uint16_t m_port = 0;
    /// Shared key; empty only with a loopback address or a trusted network.
    std::string m_key;
    /// Nobody else reaches the network between the hosts.
    bool m_is_network_trusted = false;
    core::duration m_heartbeat_interval = std::chrono::milliseconds(200);
    core::duration m_silence_limit = std::chrono::milliseconds(600);
    /// A link without messages for this long is idle. Idle links have slower
    /// heartbeats: with fast ones, 19 hosts already spend 5.6 KB/s on links
    /// that carry nothing. Membership notices dead hosts meanwhile.
    core::duration m_busy_period = std::chrono::seconds(5);
    core::duration m_idle_heartbeat_interval = std::chrono::seconds(5);
    core::duration m_idle_silence_limit = std::chrono::seconds(15);
    /// Holds for a frame and for a message put together from fragments.
    std::size_t m_max_frame_bytes = std::size_t{2} << 20U;
    /// Bytes that may wait for one link.
    std::size_t m_max_queued_bytes = std::size_t{64} << 20U;
    /// A link that was opened to a host outside set_peers() is closed after
    /// this time without messages.
    core::duration m_idle_limit = std::chrono::seconds(10);
    /// Waits between attempts to connect; doubled after each failure, then
    /// varied at random by up to half.
    core::duration m_min_backoff = std::chrono::milliseconds(50);
    core::duration m_max_backoff = std::chrono::seconds(2);
};

struct peer_address
{
    std::string m_host;
    std::string m_address;
    std::uint16_t m_port = 0;
};

struct peer_handlers
{
    std::function<void(std::string const& host, peer_message)> m_on_message;
    /// The link is up and authenticated.
    std::function<void(std::string const& host)> m_on_link_up;
    /// Every message in flight on the link may be lost.
    std::function<void(std::string const& host)> m_on_link_down;
    std::function<void(core::membership_message)> m_on_datagram;
};

struct peer_counters
{
    std::uint64_t m_frames_sent = 0;
    std::uint64_t m_frames_received = 0;
    std::uint64_t m_bytes_sent = 0;
    std::uint64_t m_bytes_received = 0;
    std::uint64_t m_malformed = 0;
    std::uint64_t m_authentication_failures = 0;
    std::uint64_t m_version_mismatches = 0;
    std::uint64_t m_oversized = 0;
    /// Messages of unknown type or out of place.
    std::uint64_t m_unexpected = 0;
    /// Connections refused because the two hosts have another link.
    std::uint64_t m_duplicate_links = 0;
    /// Connections without key from or to addresses other than loopback.
    std::uint64_t m_refused_addresses = 0;
    /// Connections beyond the number of handshakes at the same time.
    std::uint64_t m_refused_connections = 0;
    std::uint64_t m_handshake_timeouts = 0;
    std::uint64_t m_failed_dials = 0;
    std::uint64_t m_silent_links = 0;
    /// Messages refused by the bound on queued bytes.
    std::uint64_t m_queue_refusals = 0;
    std::uint64_t m_links_opened = 0;
    std::uint64_t m_links_lost = 0;
    std::uint64_t m_datagrams_sent = 0;
    std::uint64_t m_datagrams_received = 0;
    std::uint64_t m_datagram_bytes_sent = 0;
    std::uint64_t m_datagram_bytes_received = 0;
    std::uint64_t m_datagrams_refused = 0;
};

/// Links to the other entry hosts and the datagram socket. One link connects
/// two hosts whichever of them opened it. Handlers may call any member but
/// must not destroy the network.
class peer_network
{
public:
    static result<std::unique_ptr<peer_network>>
    create(event_loop& loop, peer_network_settings settings,
           peer_handlers handlers);
    ~peer_network();
    peer_network(peer_network const&) = delete;
    peer_network& operator=(peer_network const&) = delete;

    /// Hosts to be connected to; links that were opened to others are closed
    /// when idle.
    void set_peers(std::vector<peer_address> peers);

    /// Queues a message. Returns owner_unreachable without a link and
    /// queue_full when the bound on queued bytes does not allow the message;
    /// then no byte of it was sent. Answer ends, refusals, cancellations and
    /// window updates are not refused by the bound. Messages of one
    /// forward_id keep their order; large bodies are cut into chunks and sent
    /// in turns with other requests. A cancellation removes what still waits
    /// of the request's body.
    status send(std::string const& host, peer_message message);

    bool is_linked(std::string const& host) const;

    /// Bytes queued towards a host, for back-pressure.
    std::size_t queued_bytes(std::string const& host) const;

    void send_datagram(std::string const& address, std::uint16_t port,
                       core::membership_message const& message);

    std::uint16_t port() const noexcept;
    peer_counters const& counters() const noexcept;

    struct state;

private:
    explicit peer_network(std::unique_ptr<state> s);
    std::unique_ptr<state> m_state;
};

} // namespace hawthornspur::net

#endif
