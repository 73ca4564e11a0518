#include "net/caller_connection.hpp"

#include "net/event_loop.hpp"
#include "net/http_exchange.hpp"
#include "net/http_refusal.hpp"
#include "net/http_server.hpp"
#include "net/socket_options.hpp"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <sys/socket.h>

#include <cerrno>
#include <utility>

namespace hawthornspur::net
{

namespace
{

/// Time for a refused caller to read the answer. Closing the connection while
/// bytes still arrive would reset it and discard the answer.
constexpr timeval linger_timeout{1, 0};

/// What evhttp needs to know of a request: whether the answer has a body and
/// whether the connection stays open.
std::string make_evhttp_head(request_head const& head)
{
    request_head reduced;
    reduced.m_method = head.m_method;
    reduced.m_request_target.push_back('/');
    reduced.m_closes_connection = head.m_closes_connection;
    return to_bytes(reduced);
}

} // namespace

caller_connection::caller_connection(bufferevent* transport,
                                     http_server_settings const& settings,
                                     caller_connection_handlers const& handlers)
    : m_transport(transport)
    , m_settings(settings)
    , m_handlers(handlers)
    , m_framer({.m_max_body_bytes = settings.m_max_body_bytes},
               settings.m_max_headers_bytes)
    , m_accept_time(event_loop::now())
{
    evbuffer_add_cb(bufferevent_get_input(transport), on_input, this);
}

caller_connection::~caller_connection()
{
    evbuffer_remove_cb(bufferevent_get_input(m_transport), on_input, this);
}

void caller_connection::attach()
{
    if (m_evcon != nullptr)
    {
        return;
    }
    // evhttp passes its connection as the argument of the callbacks. Its
    // interface gives no other access to it before the first request.
    void* argument = nullptr;
    bufferevent_getcb(m_transport, nullptr, nullptr, nullptr, &argument);
    m_evcon = static_cast<evhttp_connection*>(argument);
    if (m_evcon != nullptr)
    {
        evhttp_connection_set_closecb(m_evcon, on_evhttp_closed, this);
        set_no_delay(bufferevent_getfd(m_transport));
        m_handlers.m_on_attached(*this);
    }
}

void caller_connection::on_evhttp_closed(evhttp_connection* /*evcon*/,
                                         void* self)
{
    auto* connection = static_cast<caller_connection*>(self);
    if (auto* exchange = std::exchange(connection->m_exchange, nullptr))
    {
        connection->m_has_disconnected_early = true;
        exchange->on_disconnected();
    }
    connection->m_handlers.m_on_closed(*connection);
}

void caller_connection::on_input(evbuffer* input,
                                 evbuffer_cb_info const* change, void* self)
{
    auto* connection = static_cast<caller_connection*>(self);
    if (connection->m_is_modifying_input || change->n_added == 0)
    {
        return;
    }
    if (connection->m_is_refused)
    {
        connection->m_is_modifying_input = true;
        evbuffer_drain(input, evbuffer_get_length(input));
        connection->m_is_modifying_input = false;
        return;
    }
    auto const is_busy = connection->writer() == answer_writer::exchange;
    if (is_busy && connection->m_framer.pending_bytes() >
                       connection->m_settings.m_max_headers_bytes)
    {
        // The rest of the pipelined requests stays in the socket. evhttp
        // enables reading when it writes, but the watermark still prevents it.
        connection->m_is_paused = true;
        bufferevent_setwatermark(connection->m_transport, EV_READ, 0, 1);
        return;
    }
    connection->move_input(input);
    if (!is_busy)
    {
        connection->release_request();
    }
}

void caller_connection::move_input(evbuffer* input)
{
    if (!m_framer.has_partial_request())
    {
        m_request_start = event_loop::now();
    }
    auto const size = evbuffer_get_length(input);
    auto const* bytes =
        reinterpret_cast<char const*>(evbuffer_pullup(input, -1));
    m_framer.add({bytes, size});
    m_is_modifying_input = true;
    evbuffer_drain(input, size);
    m_is_modifying_input = false;
}

bool caller_connection::release_request()
{
    auto request = m_framer.take();
    if (m_framer.refusal())
    {
        refuse(*m_framer.refusal());
        return false;
    }
    if (m_framer.has_partial_request() &&
        event_loop::now() - m_request_start > m_settings.m_request_timeout)
    {
        refuse({result_code::request_timeout, "the request takes too long"});
        return false;
    }
    if (m_framer.take_continue())
    {
        // Written directly to the socket, since the output buffer is empty here
        // and evhttp would treat a write through it as the end of an answer.
        static constexpr std::string_view continue_response =
            "HTTP/1.1 100 Continue\r\n\r\n";
        ::send(bufferevent_getfd(m_transport), continue_response.data(),
               continue_response.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
    }
    if (!request)
    {
        return false;
    }
    ++m_requests;
    auto const bytes = make_evhttp_head(request->m_head);
    m_released_request = std::move(request);
    auto* input = bufferevent_get_input(m_transport);
    m_is_modifying_input = true;
    // A bufferevent freezes the end of its input buffer for other writers.
    evbuffer_unfreeze(input, 0);
    evbuffer_add(input, bytes.data(), bytes.size());
    evbuffer_freeze(input, 0);
    m_is_modifying_input = false;
    return true;
}

std::optional<http_request>
caller_connection::take_request(evhttp_request* request)
{
    auto released = std::exchange(m_released_request, std::nullopt);
    if (!released)
    {
        return std::nullopt;
    }
    evhttp_request_set_on_complete_cb(request, on_answered, this);
    return http_request{std::move(released->m_head.m_method),
                        std::move(released->m_head.m_request_target),
                        std::move(released->m_head.m_headers),
                        std::move(released->m_body)};
}

answer_writer caller_connection::writer() const noexcept
{
    if (m_is_refused)
    {
        return answer_writer::nobody;
    }
    return m_framer.is_request_in_flight() ? answer_writer::exchange
                                           : answer_writer::connection;
}

bool caller_connection::is_idle() const
{
    if (m_evcon == nullptr || m_is_refused || has_unfinished_answer() ||
        m_framer.has_partial_request() || m_framer.pending_bytes() > 0)
    {
        return false;
    }
    char byte = 0;
    return ::recv(bufferevent_getfd(m_transport), &byte, 1,
                  MSG_PEEK | MSG_DONTWAIT) < 0;
}

bool caller_connection::has_caller_left() const
{
    char byte = 0;
    auto const received = ::recv(bufferevent_getfd(m_transport), &byte, 1,
                                 MSG_PEEK | MSG_DONTWAIT);
    return received == 0 ||
           (received < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

void caller_connection::close()
{
    evhttp_connection_free(m_evcon);
}

void caller_connection::on_answered(evhttp_request* /*request*/, void* self)
{
    auto* connection = static_cast<caller_connection*>(self);
    connection->m_framer.on_answered();
    connection->m_handlers.m_on_idle(*connection);
    if (connection->m_is_paused)
    {
        // evhttp would parse the bytes in the buffer without validation.
        connection->move_input(bufferevent_get_input(connection->m_transport));
    }
    if (connection->m_framer.pending_bytes() > 0 || connection->m_is_paused)
    {
        // Deferred, since evhttp prepares the connection for reading after this
        // callback.
        connection->m_handlers.m_on_resumable(*connection);
    }
}

void caller_connection::resume()
{
    if (m_is_refused)
    {
        return;
    }
    if (std::exchange(m_is_paused, false))
    {
        bufferevent_setwatermark(m_transport, EV_READ, 0, 0);
    }
    m_request_start = event_loop::now();
    if (release_request())
    {
        bufferevent_trigger(m_transport, EV_READ, BEV_TRIG_IGNORE_WATERMARKS);
    }
}

bool caller_connection::is_refusal_sent() const
{
    return m_is_refused &&
           evbuffer_get_length(bufferevent_get_output(m_transport)) == 0;
}

void caller_connection::refuse(error const& problem)
{
    auto const current = writer();
    if (current == answer_writer::nobody)
    {
        return;
    }
    m_handlers.m_on_refused({problem, m_requests,
                             current == answer_writer::exchange,
                             event_loop::now() - m_accept_time});
    if (current == answer_writer::exchange)
    {
        return;
    }
    m_is_refused = true;
    // evhttp waits for a request that never completes. Replacing its callbacks
    // detaches it from the connection until evhttp_connection_free().
    bufferevent_setcb(m_transport, nullptr, on_refusal_written,
                      on_refusal_event, this);
    bufferevent_set_timeouts(m_transport, &linger_timeout, &linger_timeout);
    bufferevent_enable(m_transport, EV_READ | EV_WRITE);
    auto refusal = make_refusal(problem.m_code);
    if (m_settings.m_add_refusal_headers)
    {
        m_settings.m_add_refusal_headers(problem.m_code,
                                         refusal.m_head.m_headers);
    }
    auto const answer = to_bytes(refusal);
    bufferevent_write(m_transport, answer.data(), answer.size());
}

void caller_connection::on_refusal_written(bufferevent* transport,
                                           void* /*self*/)
{
    ::shutdown(bufferevent_getfd(transport), SHUT_WR);
}

void caller_connection::on_refusal_event(bufferevent* /*transport*/,
                                         short /*what*/, void* self)
{
    // The caller closed the connection or the linger timeout expired.
    evhttp_connection_free(static_cast<caller_connection*>(self)->m_evcon);
}

} // namespace hawthornspur::net
