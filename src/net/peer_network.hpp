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
    /// Shared key; empty only with a loopback address.
    std::string m_key;
    core::duration m_heartbeat_interval = std::chrono::milliseconds(200);
    core::duration m_silence_limit = std::chrono::milliseconds(600);
    std::size_t m_max_frame_bytes = std::size_t{2} << 20U;
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
    std::uint64_t m_links_lost = 0;
    std::uint64_t m_datagrams_sent = 0;
    std::uint64_t m_datagrams_received = 0;
    std::uint64_t m_datagram_bytes_sent = 0;
    std::uint64_t m_datagram_bytes_received = 0;
    std::uint64_t m_datagrams_refused = 0;
};

/// Links to the other entry hosts and the datagram socket. One link connects
/// two hosts whichever of them opened it.
class peer_network
{
public:
    static result<std::unique_ptr<peer_network>>
    create(event_loop& loop, peer_network_settings settings,
           peer_handlers handlers);
    ~peer_network();
    peer_network(peer_network const&) = delete;
    peer_network& operator=(peer_network const&) = delete;

    /// Hosts to be connected to; links to others are closed when idle.
    void set_peers(std::vector<peer_address> peers);

    /// Queues a message. Returns owner_unreachable without a link; then no
    /// byte was sent. Messages of one forward_id keep their order; large
    /// bodies are cut into chunks and sent in turns with other requests.
    status send(std::string const& host, peer_message const& message);

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
