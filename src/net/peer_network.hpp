#ifndef HAWTHORNSPUR_NET_PEER_NETWORK_HPP
#define HAWTHORNSPUR_NET_PEER_NETWORK_HPP

#include "base/result.hpp"
#include "core/membership.hpp"
#include "core/time.hpp"
#include "net/link_end.hpp"
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
    /// Port for both TCP (links) and UDP (datagrams); 0 lets the kernel choose.
    std::uint16_t m_port = 0;
    /// Shared key. May be empty only with a loopback address or a trusted
    /// network.
    std::string m_key;
    /// Only entry hosts have access to the network between them.
    bool m_is_network_trusted = false;
    core::duration m_heartbeat_interval = std::chrono::milliseconds(200);
    /// A link on which nothing has arrived for this long gets no new requests.
    /// It is closed unless requests are in flight on it.
    core::duration m_silence_timeout = std::chrono::milliseconds(600);
    /// A silent link is closed after this time although requests are in flight
    /// on it. A host that is short of processor time is silent for seconds.
    core::duration m_in_use_silence_timeout = std::chrono::seconds(5);
    /// A link without messages for this long is idle and has slower heartbeats.
    /// With fast ones, 19 hosts already spend 5.6 KB/s on idle links.
    /// Membership detects dead hosts meanwhile.
    core::duration m_idle_threshold = std::chrono::seconds(5);
    core::duration m_idle_heartbeat_interval = std::chrono::seconds(5);
    core::duration m_idle_silence_timeout = std::chrono::seconds(15);
    /// Limit of a frame, and of all unfinished fragmented messages of a link.
    std::size_t m_max_frame_bytes = std::size_t{2} << 20U;
    /// Limit of the bytes queued for one link.
    std::size_t m_max_queued_bytes = std::size_t{64} << 20U;
    /// A link that this host opened to a host that is no longer in set_peers()
    /// is closed after this time without messages, unless it is in use.
    core::duration m_unlisted_link_timeout = std::chrono::seconds(10);
    /// Delay between connection attempts: doubled after each failure, then
    /// reduced at random by up to half.
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
    /// The link is authenticated and open.
    std::function<void(std::string const& host)> m_on_link_up;
    /// The link is closed; every message in flight on it may be lost.
    std::function<void(std::string const& host, link_end const&)>
        m_on_link_down;
    /// Nothing has arrived for longer than the silence timeout. The link stays
    /// open if m_is_link_in_use, which is asked next, says so: the answers to
    /// requests on it may still arrive.
    std::function<void(std::string const& host)> m_on_link_silent = nullptr;
    /// Whether requests are in flight on the link, in either direction. No link
    /// is in use if this is null.
    std::function<bool(std::string const& host)> m_is_link_in_use = nullptr;
    std::function<void(core::membership_message)> m_on_datagram;
};

struct peer_counters
{
    /// Connections that could not be accepted, mostly for lack of descriptors.
    std::uint64_t m_accepts_failed = 0;
    std::uint64_t m_frames_sent = 0;
    std::uint64_t m_frames_received = 0;
    std::uint64_t m_bytes_sent = 0;
    std::uint64_t m_bytes_received = 0;
    std::uint64_t m_malformed = 0;
    std::uint64_t m_authentication_failures = 0;
    std::uint64_t m_version_mismatches = 0;
    std::uint64_t m_oversized = 0;
    /// Messages of unknown type or not valid in the state of the link.
    std::uint64_t m_unexpected = 0;
    /// Connections refused because the two hosts have another link.
    std::uint64_t m_duplicate_links = 0;
    /// Connections and datagrams refused because there is no key and the
    /// address is not a loopback address.
    std::uint64_t m_refused_addresses = 0;
    /// Connections refused because too many handshakes are in progress.
    std::uint64_t m_refused_connections = 0;
    std::uint64_t m_handshake_timeouts = 0;
    std::uint64_t m_failed_dials = 0;
    std::uint64_t m_silent_links = 0;
    /// Messages refused by the limit of queued bytes.
    std::uint64_t m_queue_refusals = 0;
    std::uint64_t m_links_opened = 0;
    std::uint64_t m_links_lost = 0;
    std::uint64_t m_datagrams_sent = 0;
    std::uint64_t m_datagrams_received = 0;
    std::uint64_t m_datagram_bytes_sent = 0;
    std::uint64_t m_datagram_bytes_received = 0;
    std::uint64_t m_datagrams_refused = 0;
};

/// The links to the other entry hosts and the datagram socket. Two hosts share
/// one link, whichever of them opened it. Handlers may call any member but must
/// not destroy the network.
class peer_network
{
public:
    /// The loop must outlive the network. Errors: settings_invalid,
    /// address_unavailable, system_failure.
    static result<std::unique_ptr<peer_network>>
    create(event_loop& loop, peer_network_settings settings,
           peer_handlers handlers);
    ~peer_network();
    peer_network(peer_network const&) = delete;
    peer_network& operator=(peer_network const&) = delete;

    /// Sets the hosts to connect to. Links that this host opened to others are
    /// closed after m_unlisted_link_timeout.
    void set_peers(std::vector<peer_address> peers);

    /// Queues a message. Errors: owner_unreachable if there is no link,
    /// queue_full if the message exceeds the limit of queued bytes; no byte of
    /// it is sent then. Answer ends, refusals, cancellations and window updates
    /// are exempt from the limit. Messages of one forward_id keep their order;
    /// large bodies are split into chunks and interleaved with other requests.
    /// A cancellation removes the queued rest of the request body.
    status send(std::string const& host, peer_message message);

    bool is_linked(std::string const& host) const;

    /// Names of the hosts with a link to this one.
    std::vector<std::string> linked_hosts() const;
    std::size_t link_count() const noexcept;

    /// Whether there is a link and it is not silent.
    bool is_reachable(std::string const& host) const;

    /// Bytes queued for a host, for back-pressure; 0 without a link.
    std::size_t queued_bytes(std::string const& host) const;

    /// Bytes queued for all hosts.
    std::size_t queued_bytes() const;

    /// Sends a membership message by UDP. It may be lost.
    void send_datagram(std::string const& address, std::uint16_t port,
                       core::membership_message const& message);

    /// The port that the network is bound to.
    std::uint16_t port() const noexcept;
    peer_counters const& counters() const noexcept;

    struct state;

private:
    explicit peer_network(std::unique_ptr<state> owned_state);
    std::unique_ptr<state> m_state;
};

} // namespace hawthornspur::net

#endif
