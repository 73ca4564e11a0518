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

/// Callbacks from a link to its peer_network. A handler may close the link, but
/// must not destroy it before the current callback of the event loop returns.
struct peer_link_handlers
{
    /// The peer has proved that it holds the key. Returning false refuses the
    /// link.
    std::function<bool(peer_link&)> m_on_verified;
    /// The link is open: messages can be sent.
    std::function<void(peer_link&)> m_on_open;
    std::function<void(peer_link&, peer_message)> m_on_message;
    /// Called once when the link closes, except by close().
    std::function<void(peer_link&, link_end const&)> m_on_closed;
    std::function<void(peer_link&)> m_on_silent;
    std::function<bool(peer_link const&)> m_is_in_use;
};

/// An authenticated TCP connection to another entry host.
class peer_link
{
public:
    /// Opens a connection to a host. Settings, handlers and counters must
    /// outlive the link. Errors: system_failure, address_unavailable.
    static result<std::unique_ptr<peer_link>>
    dial(event_loop& loop, peer_network_settings const& settings,
         peer_link_handlers const& handlers, peer_counters& counters,
         std::string destination_host, std::uint64_t earlier_link_count,
         socket_address const& address);

    /// Takes over an accepted connection. `count_earlier_links` returns how
    /// many links there have been with the named host. Errors: system_failure.
    static result<std::unique_ptr<peer_link>>
    accept(event_loop& loop, peer_network_settings const& settings,
           peer_link_handlers const& handlers, peer_counters& counters,
           std::function<std::uint64_t(std::string const&)> count_earlier_links,
           int fd);

    ~peer_link();
    peer_link(peer_link const&) = delete;
    peer_link& operator=(peer_link const&) = delete;

    /// Queues a message. Returns false if it exceeds the limit of queued bytes.
    bool send(peer_message message);

    /// Closes the link without calling a handler.
    void close();

    bool is_open() const noexcept
    {
        return m_phase == phase::open;
    }
    /// The TCP connection is established.
    bool is_connected() const noexcept
    {
        return m_phase != phase::connecting && m_phase != phase::closed;
    }
    link_role role() const noexcept
    {
        return m_role;
    }
    /// The hello of the peer, authenticated from m_on_verified on.
    peer_hello const& peer() const noexcept
    {
        return m_peer;
    }
    /// Nothing has arrived for longer than the silence timeout.
    bool is_silent() const noexcept
    {
        return m_is_silent;
    }
    /// Bytes that wait to be sent.
    std::size_t queued_bytes() const;
    /// How the link ends if it is closed now for this reason.
    link_end describe_end(link_end_reason reason) const;
    /// Time at which the last message other than a heartbeat was queued or
    /// received.
    core::time_point last_message_time() const noexcept
    {
        return m_last_message_time;
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
    /// No message was queued or received for m_idle_threshold.
    bool is_idle(core::time_point now) const;
    /// Records that a message is queued or received, and switches an idle link
    /// back to fast heartbeats.
    void record_message(core::time_point now);
    void schedule_tick(core::duration wait);
    bool is_heartbeat_due(core::time_point now);
    /// Whether messages were queued after the last sign that the peer receives.
    bool has_unconfirmed_messages() const;
    /// Detects that the peer is silent. Returns whether the link must end.
    bool check_silence(core::time_point now);
    void on_tick();
    /// Counts and logs an error and closes the link.
    void fail(error const& problem);
    /// Closes the link and calls m_on_closed.
    void end(link_end_reason reason);
    /// Increments the counter for the result code.
    void count(result_code code);

    peer_network_settings const& m_settings;
    peer_link_handlers const& m_handlers;
    peer_counters& m_counters;
    link_role m_role;
    phase m_phase = phase::connecting;
    bufferevent* m_transport = nullptr;
    std::string m_destination_host;
    std::uint64_t m_earlier_link_count = 0;
    std::function<std::uint64_t(std::string const&)> m_count_earlier_links;
    std::string m_own_hello;
    link_secrets m_secrets;
    peer_hello m_peer;
    std::optional<frame_sealer> m_sealer;
    std::optional<frame_opener> m_opener;
    fragment_assembler m_fragments;
    send_queue m_queue;
    /// Reused for every frame to avoid an allocation.
    std::string m_frame_buffer;
    std::unique_ptr<timer> m_tick_timer;
    core::time_point m_start_time{};
    core::time_point m_last_tick_time{};
    core::duration m_tick_interval{0};
    core::time_point m_last_receive_time{};
    core::time_point m_last_message_time{};
    core::time_point m_last_send_time{};
    core::time_point m_last_heartbeat_time{};
    bool m_has_sent_since_tick = false;
    bool m_is_silent = false;
};

} // namespace hawthornspur::net

#endif
