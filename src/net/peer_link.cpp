#include "net/peer_link.hpp"

#include "base/logging.hpp"
#include "net/event_loop.hpp"
#include "net/peer_transport.hpp"
#include "net/peer_wire.hpp"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <utility>

namespace hawthornspur::net
{

namespace
{

/// No handshake message is longer than the largest names.
constexpr std::size_t max_handshake_frame_bytes = 4096;
/// Covers a lost SYN, which TCP repeats after 1 s.
constexpr core::duration handshake_limit = std::chrono::seconds(2);
/// Frames are sealed and ordered only shortly before they are written, so
/// that a small request waits behind few bytes of a large body.
constexpr std::size_t output_high_bytes = 4 * chunk_bytes;
constexpr std::size_t output_low_bytes = 2 * chunk_bytes;

std::string encode_heartbeat()
{
    // [type, version]
    std::string out;
    out += '\x92';
    out += static_cast<char>(wire_type::heartbeat);
    out += '\x01';
    return out;
}

/// The type number of a message array, without unpacking it: the array head
/// takes one byte below 16 elements, a type below 128 one more.
int type_of(std::string_view payload)
{
    return payload.size() < 2 ? -1 : static_cast<unsigned char>(payload[1]);
}

bool is_type(std::string_view payload, wire_type type)
{
    return type_of(payload) == static_cast<int>(type);
}

} // namespace

peer_link::peer_link(peer_network_settings const& settings,
                     peer_link_handlers const& handlers,
                     peer_counters& counters, link_role role)
    : m_settings(settings)
    , m_handlers(handlers)
    , m_counters(counters)
    , m_role(role)
    , m_fragments(settings.m_max_frame_bytes)
    , m_queue(settings.m_max_queued_bytes)
{
}

peer_link::~peer_link()
{
    close();
}

status peer_link::start(event_loop& loop, int fd)
{
    m_transport =
        bufferevent_socket_new(loop.base(), fd, BEV_OPT_CLOSE_ON_FREE);
    if (m_transport == nullptr)
    {
        if (fd >= 0)
        {
            ::close(fd);
        }
        return make_error(result_code::system_failure,
                          "cannot allocate a buffer event");
    }
    auto made = timer::create(loop, [this] { on_tick(); });
    if (!has_value(made))
    {
        return failure(made);
    }
    m_tick = take(std::move(made));
    m_started = event_loop::now();
    m_last_tick = m_started;
    m_last_use = m_started;
    start_tick(m_settings.m_heartbeat_interval);
    bufferevent_setcb(m_transport, on_readable, on_writable, on_event, this);
    bufferevent_setwatermark(m_transport, EV_WRITE, output_low_bytes, 0);
    // A whole frame must fit, more is left to TCP's flow control.
    bufferevent_setwatermark(m_transport, EV_READ, 0,
                             m_settings.m_max_frame_bytes + frame_length_bytes +
                                 chunk_bytes);
    bufferevent_enable(m_transport, EV_READ | EV_WRITE);
    return success();
}

result<std::unique_ptr<peer_link>>
peer_link::dial(event_loop& loop, peer_network_settings const& settings,
                peer_link_handlers const& handlers, peer_counters& counters,
                std::string wanted_host, std::uint64_t earlier_links,
                socket_address const& address)
{
    std::unique_ptr<peer_link> link(
        new peer_link(settings, handlers, counters, link_role::initiator));
    link->m_wanted_host = std::move(wanted_host);
    link->m_earlier_links = earlier_links;
    auto const started = link->start(loop, -1);
    if (!has_value(started))
    {
        return failure(started);
    }
    if (bufferevent_socket_connect(link->m_transport, address.get(),
                                   static_cast<int>(address.m_length)) != 0)
    {
        return make_error(result_code::address_unavailable,
                          "cannot connect to " + link->m_wanted_host);
    }
    return link;
}

result<std::unique_ptr<peer_link>>
peer_link::accept(event_loop& loop, peer_network_settings const& settings,
                  peer_link_handlers const& handlers, peer_counters& counters,
                  std::function<std::uint64_t(std::string const&)> earlier,
                  int fd)
{
    std::unique_ptr<peer_link> link(
        new peer_link(settings, handlers, counters, link_role::responder));
    link->m_count_earlier_links = std::move(earlier);
    auto const started = link->start(loop, fd);
    if (!has_value(started))
    {
        return failure(started);
    }
    tune_link_socket(fd);
    link->m_phase = phase::awaiting_hello;
    return link;
}

void peer_link::on_readable(bufferevent* transport, void* self)
{
    // Bytes that wait in the kernel delay the small messages behind them.
    read_large_piece(transport);
    static_cast<peer_link*>(self)->read_frames();
}

void peer_link::on_writable(bufferevent* /*transport*/, void* self)
{
    static_cast<peer_link*>(self)->flush();
}

void peer_link::on_event(bufferevent* transport, short what, void* self)
{
    auto* link = static_cast<peer_link*>(self);
    if ((what & BEV_EVENT_CONNECTED) != 0)
    {
        tune_link_socket(bufferevent_getfd(transport));
        link->on_connected();
        return;
    }
    // Bytes of a frame that will never be whole.
    auto* input = bufferevent_get_input(transport);
    if (evbuffer_get_length(input) != 0)
    {
        link->fail({result_code::frame_malformed, "link ended in a frame"});
        return;
    }
    link->end();
}

void peer_link::on_connected()
{
    m_phase = phase::awaiting_hello;
    m_own_hello = encode_hello({m_settings.m_host, m_settings.m_incarnation,
                                random_bytes(nonce_bytes), m_wanted_host,
                                m_earlier_links});
    write_plain(m_own_hello);
}

void peer_link::read_frames()
{
    while (m_phase != phase::closed)
    {
        auto* input = bufferevent_get_input(m_transport);
        std::array<char, frame_length_bytes> head{};
        if (evbuffer_copyout(input, head.data(), head.size()) !=
            static_cast<ev_ssize_t>(head.size()))
        {
            return;
        }
        auto const length = read_frame_length({head.data(), head.size()});
        auto const limit = m_phase == phase::open ? m_settings.m_max_frame_bytes
                                                  : max_handshake_frame_bytes;
        if (length > limit)
        {
            fail({result_code::frame_too_large,
                  "frame of " + std::to_string(length) + " bytes"});
            return;
        }
        auto const whole = frame_length_bytes + length;
        if (evbuffer_get_length(input) < whole)
        {
            return;
        }
        auto const* bytes =
            evbuffer_pullup(input, static_cast<ev_ssize_t>(whole));
        on_frame({reinterpret_cast<char const*>(bytes) + frame_length_bytes,
                  length});
        if (m_phase != phase::closed)
        {
            evbuffer_drain(input, whole);
        }
    }
}

void peer_link::on_frame(std::string_view frame)
{
    ++m_counters.m_frames_received;
    m_counters.m_bytes_received += frame_length_bytes + frame.size();
    switch (m_phase)
    {
    case phase::awaiting_hello:
        on_hello(frame);
        break;
    case phase::awaiting_proof:
        on_proof(frame);
        break;
    case phase::open:
        on_sealed_frame(frame);
        break;
    case phase::connecting:
    case phase::closed:
        break;
    }
}

void peer_link::on_hello(std::string_view frame)
{
    auto hello = decode_hello(frame);
    if (!has_value(hello))
    {
        fail(failure(hello));
        return;
    }
    m_peer = take(std::move(hello));
    auto const is_initiator = m_role == link_role::initiator;
    auto const is_other = is_initiator ? m_peer.m_host == m_wanted_host
                                       : m_peer.m_host != m_settings.m_host;
    if (!is_other || m_peer.m_wanted_host != m_settings.m_host)
    {
        // An address that now belongs to another host, or this host itself.
        fail({result_code::unexpected_message,
              "hello from " + m_peer.m_host + " to " + m_peer.m_wanted_host});
        return;
    }
    if (!is_initiator)
    {
        m_own_hello = encode_hello({m_settings.m_host, m_settings.m_incarnation,
                                    random_bytes(nonce_bytes), m_peer.m_host,
                                    m_count_earlier_links(m_peer.m_host)});
    }
    m_secrets = is_initiator
                    ? derive_secrets(m_settings.m_key, m_own_hello, frame)
                    : derive_secrets(m_settings.m_key, frame, m_own_hello);
    m_phase = phase::awaiting_proof;
    if (is_initiator)
    {
        // The side that opened the connection proves itself first.
        write_plain(encode_proof(m_secrets.m_initiator_proof));
    }
    else
    {
        write_plain(m_own_hello);
    }
}

void peer_link::on_proof(std::string_view frame)
{
    auto const proof = decode_proof(frame);
    if (!has_value(proof))
    {
        fail(failure(proof));
        return;
    }
    auto const& expected = m_role == link_role::initiator
                               ? m_secrets.m_responder_proof
                               : m_secrets.m_initiator_proof;
    if (!equals_in_constant_time(value(proof), expected))
    {
        fail({result_code::authentication_failed,
              "wrong proof from " + m_peer.m_host});
        return;
    }
    if (!m_handlers.m_on_verified(*this))
    {
        ++m_counters.m_duplicate_links;
        end();
        return;
    }
    open();
}

void peer_link::open()
{
    auto const is_initiator = m_role == link_role::initiator;
    if (!is_initiator)
    {
        write_plain(encode_proof(m_secrets.m_responder_proof));
    }
    m_sealer.emplace(is_initiator ? m_secrets.m_initiator_frame_key
                                  : m_secrets.m_responder_frame_key);
    m_opener.emplace(is_initiator ? m_secrets.m_responder_frame_key
                                  : m_secrets.m_initiator_frame_key);
    m_secrets = {};
    m_phase = phase::open;
    m_last_heard = event_loop::now();
    m_last_use = m_last_heard;
    m_handlers.m_on_open(*this);
}

void peer_link::on_sealed_frame(std::string_view frame)
{
    auto const payload = m_opener->open(frame);
    if (!has_value(payload))
    {
        fail(failure(payload));
        return;
    }
    m_last_heard = event_loop::now();
    on_payload(value(payload));
}

void peer_link::on_payload(std::string_view payload)
{
    if (is_type(payload, wire_type::heartbeat))
    {
        return;
    }
    note_use(m_last_heard);
    if (!is_type(payload, wire_type::fragment))
    {
        deliver(payload);
        return;
    }
    auto const fragment = decode_fragment(payload);
    if (!has_value(fragment))
    {
        fail(failure(fragment));
        return;
    }
    auto const whole = m_fragments.add(value(fragment));
    if (!has_value(whole))
    {
        fail(failure(whole));
    }
    else if (value(whole))
    {
        deliver(*value(whole));
    }
}

void peer_link::deliver(std::string_view encoded)
{
    auto message = decode(encoded);
    if (has_value(message))
    {
        m_handlers.m_on_message(*this, take(std::move(message)));
        return;
    }
    if (failure(message).m_code == result_code::unexpected_message)
    {
        // A newer version may send types that this one does not know; only
        // the message is refused.
        count(result_code::unexpected_message);
        return;
    }
    fail(failure(message));
}

bool peer_link::send(peer_message message)
{
    if (!m_queue.push(std::move(message)))
    {
        ++m_counters.m_queue_refusals;
        return false;
    }
    auto const now = event_loop::now();
    if (is_idle(now))
    {
        // The peer may have been silent for up to the idle interval and
        // answers with fast heartbeats from here on.
        m_last_heard = now;
    }
    note_use(now);
    flush();
    return true;
}

bool peer_link::is_idle(core::time_point now) const
{
    return now - m_last_use > m_settings.m_busy_period;
}

void peer_link::note_use(core::time_point now)
{
    bool const was_idle = is_idle(now);
    m_last_use = now;
    if (was_idle)
    {
        m_last_tick = now;
        start_tick(m_settings.m_heartbeat_interval);
    }
}

void peer_link::start_tick(core::duration wait)
{
    m_tick_wait = wait;
    m_tick->start(wait);
}

bool peer_link::is_heartbeat_due(core::time_point now)
{
    if (std::exchange(m_sent_since_tick, false) || !m_queue.is_empty())
    {
        m_last_heartbeat = now;
        return false;
    }
    if (is_idle(now) &&
        now - m_last_heartbeat < m_settings.m_idle_heartbeat_interval)
    {
        return false;
    }
    m_last_heartbeat = now;
    return true;
}

void peer_link::flush()
{
    if (m_phase != phase::open)
    {
        return;
    }
    auto* output = bufferevent_get_output(m_transport);
    while (evbuffer_get_length(output) < output_high_bytes)
    {
        auto const payload = m_queue.pop();
        if (!payload)
        {
            return;
        }
        write_sealed(*payload);
    }
}

void peer_link::write_plain(std::string_view payload)
{
    m_scratch.clear();
    append_plain_frame(m_scratch, payload);
    ++m_counters.m_frames_sent;
    m_counters.m_bytes_sent += m_scratch.size();
    bufferevent_write(m_transport, m_scratch.data(), m_scratch.size());
}

void peer_link::write_sealed(std::string_view payload)
{
    m_scratch.clear();
    m_sealer->append(m_scratch, payload);
    ++m_counters.m_frames_sent;
    m_counters.m_bytes_sent += m_scratch.size();
    m_sent_since_tick = true;
    bufferevent_write(m_transport, m_scratch.data(), m_scratch.size());
}

std::size_t peer_link::queued_bytes() const
{
    return m_transport == nullptr
               ? 0
               : m_queue.bytes() +
                     evbuffer_get_length(bufferevent_get_output(m_transport));
}

void peer_link::on_tick()
{
    auto const now = event_loop::now();
    auto const gap = now - std::exchange(m_last_tick, now);
    if (m_phase != phase::open)
    {
        if (now - m_started > handshake_limit)
        {
            ++m_counters.m_handshake_timeouts;
            end();
            return;
        }
    }
    else
    {
        if (gap - m_tick_wait >
            m_settings.m_silence_limit - m_settings.m_heartbeat_interval)
        {
            // This host stood still; frames of the peer may wait unread.
            m_last_heard = now;
        }
        auto const limit = is_idle(now) ? m_settings.m_idle_silence_limit
                                        : m_settings.m_silence_limit;
        if (now - m_last_heard > limit)
        {
            ++m_counters.m_silent_links;
            end();
            return;
        }
        if (is_heartbeat_due(now))
        {
            static std::string const heartbeat = encode_heartbeat();
            write_sealed(heartbeat);
            m_sent_since_tick = false;
        }
    }
    start_tick(m_phase == phase::open && is_idle(now)
                   ? m_settings.m_idle_heartbeat_interval
                   : m_settings.m_heartbeat_interval);
}

void peer_link::count(result_code code)
{
    switch (code)
    {
    case result_code::authentication_failed:
        ++m_counters.m_authentication_failures;
        break;
    case result_code::protocol_version_mismatch:
        ++m_counters.m_version_mismatches;
        break;
    case result_code::frame_too_large:
        ++m_counters.m_oversized;
        break;
    case result_code::unexpected_message:
        ++m_counters.m_unexpected;
        break;
    default:
        ++m_counters.m_malformed;
        break;
    }
}

void peer_link::fail(error const& problem)
{
    count(problem.m_code);
    logging::write(
        logging::level::warn, "net.peer", "peer link refused",
        {{"code", std::to_string(static_cast<unsigned>(problem.m_code))},
         {"reason", problem.m_message},
         {"peer", m_peer.m_host}});
    end();
}

void peer_link::end()
{
    if (m_phase != phase::closed)
    {
        close();
        m_handlers.m_on_closed(*this);
    }
}

void peer_link::close()
{
    m_phase = phase::closed;
    if (m_tick != nullptr)
    {
        // Only stopped: its callback may be running.
        m_tick->stop();
    }
    if (m_transport != nullptr)
    {
        bufferevent_free(std::exchange(m_transport, nullptr));
    }
}

} // namespace hawthornspur::net
