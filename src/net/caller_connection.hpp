#ifndef HAWTHORNSPUR_NET_CALLER_CONNECTION_HPP
#define HAWTHORNSPUR_NET_CALLER_CONNECTION_HPP

#include "core/time.hpp"
#include "net/request_framer.hpp"
#include <hawthornspur/result_code.hpp>

#include <functional>
#include <string>

struct bufferevent;
struct evbuffer;
struct evbuffer_cb_info;
struct evhttp_connection;
struct evhttp_request;

namespace hawthornspur::net
{

class caller_connection;
class http_exchange;
struct http_server_settings;

/// Calls from a connection to its server.
struct caller_connection_handlers
{
    /// evcon() is known from here on.
    std::function<void(caller_connection&)> m_on_adopted;
    /// A request is refused before evhttp sees it.
    std::function<void(error const&)> m_on_refused;
    /// Bytes wait and evhttp is ready for them; resume() shall be called from
    /// the loop.
    std::function<void(caller_connection&)> m_on_resumable;
    /// evhttp frees the connection; it must be destroyed.
    std::function<void(caller_connection&)> m_on_closed;
};

/// Checks what a caller sends before evhttp reads it. It takes the bytes out
/// of the input buffer as they are read from the socket and puts back the
/// requests that passed the check, one at a time. It lives from the accept to
/// the end of the evhttp connection.
class caller_connection
{
public:
    /// The transport is the one that evhttp is going to use.
    caller_connection(bufferevent* transport,
                      http_server_settings const& settings,
                      caller_connection_handlers const& handlers);
    ~caller_connection();
    caller_connection(caller_connection const&) = delete;
    caller_connection& operator=(caller_connection const&) = delete;

    /// Finds the evhttp connection, which exists after the accept only.
    void adopt();
    evhttp_connection* evcon() const noexcept
    {
        return m_evcon;
    }

    /// To be called for each request that evhttp hands out.
    void on_request(evhttp_request* request);
    void set_exchange(http_exchange* exchange) noexcept
    {
        m_exchange = exchange;
    }
    /// The connection ended before the answer to a request was complete.
    bool has_left_early() const noexcept
    {
        return m_left_early;
    }
    bool is_within_request() const noexcept
    {
        return !m_refused && m_framer.is_within_request();
    }

    /// Goes on with the bytes that waited for an answer.
    void resume();

    /// Answers with a result code and closes the connection.
    void refuse(error const& problem);

private:
    static void on_input(evbuffer* input, evbuffer_cb_info const* change,
                         void* self);
    static void on_answered(evhttp_request* request, void* self);
    static void on_evhttp_closed(evhttp_connection* evcon, void* self);
    static void on_refusal_written(bufferevent* transport, void* self);
    static void on_refusal_event(bufferevent* transport, short what,
                                 void* self);
    /// Moves all bytes of the input buffer to the framer.
    void take_input(evbuffer* input);
    /// Puts what the framer releases into the input buffer.
    bool pass_on();

    bufferevent* m_transport;
    http_server_settings const& m_settings;
    caller_connection_handlers const& m_handlers;
    request_framer m_framer;
    evhttp_connection* m_evcon = nullptr;
    http_exchange* m_exchange = nullptr;
    core::time_point m_request_start{};
    bool m_is_moving = false;
    bool m_paused = false;
    bool m_refused = false;
    bool m_left_early = false;
};

} // namespace hawthornspur::net

#endif
