#ifndef HAWTHORNSPUR_NET_PEER_LINK_HPP
#define HAWTHORNSPUR_NET_PEER_LINK_HPP

#include "base/result.hpp"
#include "core/time.hpp"
#include "net/frame_codec.hpp"
#include "net/message_fragment.hpp"
#include "net/peer_handshake.hpp"
#include "net/peer_messages.hpp"
#include "net/peer_network.hpp"
#include "net/send_queue.hpp"
#include "net/socket_address.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

struct bufferevent;

namespace hawthornspur::net
{

class event_loop;
class peer_link;
class timer;

/// Calls from a link to the network that holds it. A handler may close the
/// link, but must not destroy it before the loop's current callback returned.
struct peer_link_handlers
{
    /// The peer proved that it holds the key. False refuses the link.
    std::function<bool(peer_link&)> m_on_verified;
    /// Messages can be sent from here on.
    std::function<void(peer_link&)> m_on_open;
    std::function<void(peer_link&, peer_message)> m_on_message;
    /// Called once when the link ends, unless close() ended it.
    std::function<void(peer_link&)> m_on_closed;
};

/// One TCP connection to another entry host, from the handshake to the end.
class peer_link
{
public:
    /// Opens a connection to a host. Settings, handlers and counters outlive
    /// the link.
    static result<std::unique_ptr<peer_link>>
    dial(event_loop& loop, peer_network_settings const& settings,
         peer_link_handlers const& handlers, peer_counters& counters,
         std::string wanted_host, std::uint64_t earlier_links,
         socket_address const& address);

    /// Takes over an accepted connection. `earlier_links` tells how many
    /// links there have been with the named host.
    static result<std::unique_ptr<peer_link>>
    accept(event_loop& loop, peer_network_settings const& settings,
           peer_link_handlers const& handlers, peer_counters& counters,
           std::function<std::uint64_t(std::string const&)> earlier_links,
           int fd);

    ~peer_link();
    peer_link(peer_link const&) = delete;
    peer_link& operator=(peer_link const&) = delete;

    /// Queues a message. False when the bound on queued bytes is reached.
    bool send(peer_message message);

    /// Ends the link without calling a handler.
    void close();

    bool is_open() const noexcept
    {
        return m_phase == phase::open;
    }
    /// The TCP connection of a dialled link stands.
    bool is_connected() const noexcept
    {
        return m_phase != phase::connecting && m_phase != phase::closed;
    }
    link_role role() const noexcept
    {
        return m_role;
    }
    /// Valid from m_on_verified on.
    peer_hello const& peer() const noexcept
    {
        return m_peer;
    }
    std::size_t queued_bytes() const;
    /// When the last message other than a heartbeat was sent or received.
    core::time_point last_use() const noexcept
    {
        return m_last_use;
    }

private:
    enum class phase : std::uint8_t
    {
        connecting,
        awaiting_hello,
        awaiting_proof,
        open,
        closed,
    };

    peer_link(peer_network_settings const& settings,
              peer_link_handlers const& handlers, peer_counters& counters,
              link_role role);
    status start(event_loop& loop, int fd);

    static void on_readable(bufferevent* transport, void* self);
    static void on_writable(bufferevent* transport, void* self);
    static void on_event(bufferevent* transport, short what, void* self);
    void read_frames();
    void on_connected();
    void on_frame(std::string_view frame);
    void on_hello(std::string_view frame);
    void on_proof(std::string_view frame);
    void on_sealed_frame(std::string_view frame);
    void on_payload(std::string_view payload);
    void deliver(std::string_view encoded);
    void open();
    void flush();
    void write_plain(std::string_view payload);
    void write_sealed(std::string_view payload);
    /// No message passed for the busy period.
    bool is_idle(core::time_point now) const;
    /// A message passes: an idle link has fast heartbeats again.
    void note_use(core::time_point now);
    void start_tick(core::duration wait);
    bool is_heartbeat_due(core::time_point now);
    void on_tick();
    /// Counts the fault, logs it and ends the link.
    void fail(error const& problem);
    void end();
    void count(result_code code);

    peer_network_settings const& m_settings;
    peer_link_handlers const& m_handlers;
    peer_counters& m_counters;
    link_role m_role;
    phase m_phase = phase::connecting;
    bufferevent* m_transport = nullptr;
    std::string m_wanted_host;
    std::uint64_t m_earlier_links = 0;
    std::function<std::uint64_t(std::string const&)> m_count_earlier_links;
    std::string m_own_hello;
    link_secrets m_secrets;
    peer_hello m_peer;
    std::optional<frame_sealer> m_sealer;
    std::optional<frame_opener> m_opener;
    fragment_assembler m_fragments;
    send_queue m_queue;
    /// Reused, so that a frame needs no allocation of its own.
    std::string m_scratch;
    std::unique_ptr<timer> m_tick;
    core::time_point m_started{};
    core::time_point m_last_tick{};
    core::duration m_tick_wait{0};
    core::time_point m_last_heard{};
    core::time_point m_last_use{};
    core::time_point m_last_heartbeat{};
    bool m_sent_since_tick = false;
};

} // namespace hawthornspur::net

#endif
