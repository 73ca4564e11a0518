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

/// Handshake frames contain little more than host names.
constexpr std::size_t max_handshake_frame_bytes = 4096;
/// Allows for a lost SYN, which TCP retransmits after 1 s.
constexpr core::duration handshake_timeout = std::chrono::seconds(2);
/// Messages are taken from the queue only while the output buffer is below the
/// high watermark, so that a small request waits behind few bytes of a large
/// body.
constexpr std::size_t output_high_watermark_bytes = 4 * chunk_bytes;
constexpr std::size_t output_low_watermark_bytes = 2 * chunk_bytes;

std::string encode_heartbeat()
{
    // [type, version]
    std::string out;
    out += '\x92';
    out += static_cast<char>(wire_type::heartbeat);
    out += '\x01';
    return out;
}

/// Reads the type number of a message without unpacking it; -1 if it is too
/// short. The array header takes one byte below 16 elements, and so does a type
/// below 128.
int peek_type(std::string_view payload)
{
    return payload.size() < 2 ? -1 : static_cast<unsigned char>(payload[1]);
}

bool has_type(std::string_view payload, wire_type type)
{
    return peek_type(payload) == static_cast<int>(type);
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
                          "cannot allocate a bufferevent");
    }
    auto tick_timer = timer::create(loop, [this] { on_tick(); });
    if (!has_value(tick_timer))
    {
        return failure(tick_timer);
    }
    m_tick_timer = take(std::move(tick_timer));
    m_start_time = event_loop::now();
    m_last_tick_time = m_start_time;
    m_last_message_time = m_start_time;
    schedule_tick(m_settings.m_heartbeat_interval);
    bufferevent_setcb(m_transport, on_readable, on_writable, on_event, this);
    bufferevent_setwatermark(m_transport, EV_WRITE, output_low_watermark_bytes,
                             0);
    // A complete frame must fit. Beyond that TCP flow control applies.
    bufferevent_setwatermark(m_transport, EV_READ, 0,
                             m_settings.m_max_frame_bytes + frame_length_bytes +
                                 chunk_bytes);
    bufferevent_enable(m_transport, EV_READ | EV_WRITE);
    return success();
}

result<std::unique_ptr<peer_link>>
peer_link::dial(event_loop& loop, peer_network_settings const& settings,
                peer_link_handlers const& handlers, peer_counters& counters,
                std::string destination_host, std::uint64_t earlier_link_count,
                socket_address const& address)
{
    std::unique_ptr<peer_link> link(
        new peer_link(settings, handlers, counters, link_role::initiator));
    link->m_destination_host = std::move(destination_host);
    link->m_earlier_link_count = earlier_link_count;
    auto const start_result = link->start(loop, -1);
    if (!has_value(start_result))
    {
        return failure(start_result);
    }
    if (bufferevent_socket_connect(link->m_transport, address.get(),
                                   static_cast<int>(address.m_length)) != 0)
    {
        return make_error(result_code::address_unavailable,
                          "cannot connect to " + link->m_destination_host);
    }
    return link;
}

result<std::unique_ptr<peer_link>> peer_link::accept(
    event_loop& loop, peer_network_settings const& settings,
    peer_link_handlers const& handlers, peer_counters& counters,
    std::function<std::uint64_t(std::string const&)> count_earlier_links,
    int fd)
{
    std::unique_ptr<peer_link> link(
        new peer_link(settings, handlers, counters, link_role::responder));
    link->m_count_earlier_links = std::move(count_earlier_links);
    auto const start_result = link->start(loop, fd);
    if (!has_value(start_result))
    {
        return failure(start_result);
    }
    set_link_socket_options(fd);
    link->m_phase = phase::awaiting_hello;
    return link;
}

void peer_link::on_readable(bufferevent* transport, void* self)
{
    // Unread bytes in the kernel delay the small messages behind them.
    fill_input_buffer(transport);
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
        set_link_socket_options(bufferevent_getfd(transport));
        link->on_connected();
        return;
    }
    // Remaining bytes belong to an incomplete frame.
    auto* input = bufferevent_get_input(transport);
    if (evbuffer_get_length(input) != 0)
    {
        link->fail(
            {result_code::frame_malformed, "connection closed within a frame"});
        return;
    }
    link->end(link_end_reason::closed_by_peer);
}

void peer_link::on_connected()
{
    m_phase = phase::awaiting_hello;
    m_own_hello = encode_hello({m_settings.m_host, m_settings.m_incarnation,
                                random_bytes(nonce_bytes), m_destination_host,
                                m_earlier_link_count});
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
    auto const is_expected_peer = is_initiator
                                      ? m_peer.m_host == m_destination_host
                                      : m_peer.m_host != m_settings.m_host;
    if (!is_expected_peer || m_peer.m_destination_host != m_settings.m_host)
    {
        // The address now belongs to another host, or to this host.
        fail({result_code::unexpected_message, "hello from " + m_peer.m_host +
                                                   " to " +
                                                   m_peer.m_destination_host});
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
        // The initiator sends its proof first.
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
        end(link_end_reason::replaced);
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
    m_last_receive_time = event_loop::now();
    m_last_message_time = m_last_receive_time;
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
    m_last_receive_time = event_loop::now();
    m_is_silent = false;
    on_payload(value(payload));
}

void peer_link::on_payload(std::string_view payload)
{
    if (has_type(payload, wire_type::heartbeat))
    {
        return;
    }
    record_message(m_last_receive_time);
    if (!has_type(payload, wire_type::fragment))
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
        // Hosts of a newer version may send unknown types. Only the message is
        // dropped; the link stays open.
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
    if (is_idle(now) && !m_is_silent)
    {
        // An idle peer may have sent nothing for the idle heartbeat interval.
        // It returns to fast heartbeats when it receives this message.
        m_last_receive_time = now;
    }
    m_last_send_time = now;
    record_message(now);
    flush();
    return true;
}

bool peer_link::is_idle(core::time_point now) const
{
    return now - m_last_message_time > m_settings.m_idle_threshold;
}

void peer_link::record_message(core::time_point now)
{
    bool const was_idle = is_idle(now);
    m_last_message_time = now;
    if (was_idle)
    {
        m_last_tick_time = now;
        schedule_tick(m_settings.m_heartbeat_interval);
    }
}

void peer_link::schedule_tick(core::duration wait)
{
    m_tick_interval = wait;
    m_tick_timer->start(wait);
}

bool peer_link::is_heartbeat_due(core::time_point now)
{
    if (std::exchange(m_has_sent_since_tick, false) || !m_queue.is_empty())
    {
        m_last_heartbeat_time = now;
        return false;
    }
    if (is_idle(now) &&
        now - m_last_heartbeat_time < m_settings.m_idle_heartbeat_interval)
    {
        return false;
    }
    m_last_heartbeat_time = now;
    return true;
}

void peer_link::flush()
{
    if (m_phase != phase::open)
    {
        return;
    }
    auto* output = bufferevent_get_output(m_transport);
    while (evbuffer_get_length(output) < output_high_watermark_bytes)
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
    m_frame_buffer.clear();
    append_plain_frame(m_frame_buffer, payload);
    ++m_counters.m_frames_sent;
    m_counters.m_bytes_sent += m_frame_buffer.size();
    bufferevent_write(m_transport, m_frame_buffer.data(),
                      m_frame_buffer.size());
}

void peer_link::write_sealed(std::string_view payload)
{
    m_frame_buffer.clear();
    m_sealer->append(m_frame_buffer, payload);
    ++m_counters.m_frames_sent;
    m_counters.m_bytes_sent += m_frame_buffer.size();
    m_has_sent_since_tick = true;
    bufferevent_write(m_transport, m_frame_buffer.data(),
                      m_frame_buffer.size());
}

std::size_t peer_link::queued_bytes() const
{
    return m_transport == nullptr
               ? 0
               : m_queue.bytes() +
                     evbuffer_get_length(bufferevent_get_output(m_transport));
}

link_end peer_link::describe_end(link_end_reason reason) const
{
    return {reason, event_loop::now() - m_last_receive_time, queued_bytes()};
}

bool peer_link::has_unconfirmed_messages() const
{
    // Frames of the peer cross the last messages on their way.
    return queued_bytes() > 0 ||
           m_last_send_time + m_settings.m_heartbeat_interval >
               m_last_receive_time;
}

bool peer_link::check_silence(core::time_point now)
{
    auto const silence = now - m_last_receive_time;
    auto const limit = is_idle(now) && !m_is_silent
                           ? m_settings.m_idle_silence_timeout
                           : m_settings.m_silence_timeout;
    if (silence <= limit)
    {
        return false;
    }
    if (!std::exchange(m_is_silent, true))
    {
        m_handlers.m_on_silent(*this);
    }
    return m_phase == phase::open &&
           (silence > std::max(limit, m_settings.m_in_use_silence_timeout) ||
            !(has_unconfirmed_messages() || m_handlers.m_is_in_use(*this)));
}

void peer_link::on_tick()
{
    auto const now = event_loop::now();
    auto const gap = now - std::exchange(m_last_tick_time, now);
    if (m_phase != phase::open)
    {
        if (now - m_start_time > handshake_timeout)
        {
            ++m_counters.m_handshake_timeouts;
            end(link_end_reason::silent);
            return;
        }
    }
    else
    {
        if (gap - m_tick_interval >
            m_settings.m_silence_timeout - m_settings.m_heartbeat_interval)
        {
            // This process was suspended; frames of the peer may be unread.
            m_last_receive_time = now;
        }
        if (check_silence(now))
        {
            ++m_counters.m_silent_links;
            end(link_end_reason::silent);
            return;
        }
        if (m_phase == phase::closed)
        {
            return;
        }
        if (is_heartbeat_due(now))
        {
            static std::string const heartbeat = encode_heartbeat();
            write_sealed(heartbeat);
            m_has_sent_since_tick = false;
        }
    }
    schedule_tick(m_phase == phase::open && is_idle(now) && !m_is_silent
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
    end(link_end_reason::frame_refused);
}

void peer_link::end(link_end_reason reason)
{
    if (m_phase != phase::closed)
    {
        auto const description = describe_end(reason);
        close();
        m_handlers.m_on_closed(*this, description);
    }
}

void peer_link::close()
{
    m_phase = phase::closed;
    if (m_tick_timer != nullptr)
    {
        // Not destroyed, since its callback may be running.
        m_tick_timer->stop();
    }
    if (m_transport != nullptr)
    {
        bufferevent_free(std::exchange(m_transport, nullptr));
    }
}

} // namespace hawthornspur::net
