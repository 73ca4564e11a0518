#ifndef HAWTHORNSPUR_NET_CALLER_CONNECTION_HPP
#define HAWTHORNSPUR_NET_CALLER_CONNECTION_HPP

#include "core/time.hpp"
#include "net/http_message.hpp"
#include "net/request_framer.hpp"
#include <hawthornspur/result_code.hpp>

#include <cstdint>
#include <functional>
#include <optional>
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

/// Who may write the answer to the request that a connection is at. Two writers
/// would mix their answers, and one would promise "not run" for a request that
/// the other one has passed on.
enum class answer_writer : std::uint8_t
{
    /// No request has been passed on, so the connection may refuse it.
    connection,
    /// The exchange of the request that was passed on.
    exchange,
    /// The connection has refused a request and closes.
    nobody,
};

/// A refusal that a connection writes itself, and what it had done before.
struct connection_refusal
{
    error m_problem;
    /// Requests of the connection that were passed on.
    std::uint64_t m_requests = 0;
    /// One of them has not been answered, so it may run.
    bool m_is_request_in_flight = false;
    /// Since the connection was accepted.
    core::duration m_age{0};
};

/// Callbacks from a connection to its server.
struct caller_connection_handlers
{
    /// evcon() is set from here on.
    std::function<void(caller_connection&)> m_on_attached;
    /// A request or connection is refused without passing it to evhttp.
    std::function<void(connection_refusal const&)> m_on_refused;
    /// The answer is sent.
    std::function<void(caller_connection&)> m_on_idle;
    /// The answer is sent and received bytes are pending. The server must call
    /// resume() from the event loop.
    std::function<void(caller_connection&)> m_on_resumable;
    /// evhttp frees the connection. The server must destroy this object.
    std::function<void(caller_connection&)> m_on_closed;
};

/// Reads what a caller sends in place of evhttp. It removes the bytes from the
/// input buffer as they are read from the socket and validates them. For each
/// request it puts back a head without a body, so that evhttp has nothing left
/// that it could parse as another request. It exists from the accept until
/// evhttp frees the connection.
class caller_connection
{
public:
    /// `transport` is the bufferevent that evhttp is about to use. All
    /// arguments must outlive this object.
    caller_connection(bufferevent* transport,
                      http_server_settings const& settings,
                      caller_connection_handlers const& handlers);
    ~caller_connection();
    caller_connection(caller_connection const&) = delete;
    caller_connection& operator=(caller_connection const&) = delete;

    /// Finds the evhttp connection, which does not exist yet in the accept
    /// callback. Must be called before the socket is read: evhttp frees a
    /// connection that closes, and reports it only to those attached.
    void attach();
    evhttp_connection* evcon() const noexcept
    {
        return m_evcon;
    }

    /// Must be called for each request that evhttp passes to the server.
    /// Returns the request as it was received, or nothing if evhttp found one
    /// that this object did not release.
    std::optional<http_request> take_request(evhttp_request* request);
    void set_exchange(http_exchange* exchange) noexcept
    {
        m_exchange = exchange;
    }
    /// The connection closed before the answer to a request was complete.
    bool has_disconnected_early() const noexcept
    {
        return m_has_disconnected_early;
    }
    answer_writer writer() const noexcept;

    /// A request was released, and its answer is not in the socket yet.
    bool has_unfinished_answer() const noexcept
    {
        return m_framer.is_request_in_flight();
    }
    bool has_partial_request() const noexcept
    {
        return !m_is_refused && m_framer.has_partial_request();
    }

    /// No request is in flight and no byte of the next one has been received.
    bool is_idle() const;

    /// The caller has closed the connection, also if the event loop has not
    /// reported it yet.
    bool has_caller_left() const;

    /// Closes the connection, which destroys this object.
    void close();

    /// Processes the bytes that were received before the last answer was sent.
    void resume();

    /// The answer of refuse() is in the socket.
    bool is_refusal_sent() const;

    /// Answers with a result code and closes the connection. Does nothing
    /// unless the answer is the connection's to write.
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
    void move_input(evbuffer* input);
    /// Puts a head for the next request of the framer into the input buffer.
    /// False if none is complete.
    bool release_request();

    bufferevent* m_transport;
    http_server_settings const& m_settings;
    caller_connection_handlers const& m_handlers;
    request_framer m_framer;
    /// Released to evhttp, which has not passed it to the server yet.
    std::optional<framed_request> m_released_request;
    evhttp_connection* m_evcon = nullptr;
    http_exchange* m_exchange = nullptr;
    core::time_point m_request_start{};
    core::time_point m_accept_time;
    std::uint64_t m_requests = 0;
    bool m_is_modifying_input = false;
    bool m_is_paused = false;
    bool m_is_refused = false;
    bool m_has_disconnected_early = false;
};

} // namespace hawthornspur::net

#endif
