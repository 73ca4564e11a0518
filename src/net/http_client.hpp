#ifndef HAWTHORNSPUR_NET_HTTP_CLIENT_HPP
#define HAWTHORNSPUR_NET_HTTP_CLIENT_HPP

#include "base/result.hpp"
#include "core/time.hpp"
#include "net/http_message.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace hawthornspur::net
{

class event_loop;

struct endpoint
{
    std::string m_address;
    std::uint16_t m_port = 0;
    friend auto operator<=>(endpoint const&, endpoint const&) = default;
};

/// How one exchange with a server ended.
enum class exchange_outcome : std::uint8_t
{
    /// The whole answer was received.
    complete,
    /// No byte of the request was sent, and the cause is not known to be local.
    connect_failed,
    /// The request could not be sent for a reason on this side, such as no free
    /// descriptor or the limit of connections. Says nothing about the server.
    not_sent,
    /// No answer within the timeout.
    silent,
    /// The connection closed before the head of the answer.
    closed,
    malformed,
    /// The connection closed before the end of the answer.
    truncated,
    /// The body of the answer exceeded the cap.
    too_large,
};

struct exchange_handlers
{
    /// Receives the head and the announced length of the body. Called at most
    /// once, before any data.
    std::function<void(http_response_head, std::optional<std::uint64_t>)>
        m_on_head;
    std::function<void(std::string_view)> m_on_data;
    /// Called exactly once, unless the exchange is cancelled.
    std::function<void(exchange_outcome)> m_on_end;
};

/// Whether a connection may be used again after an answer.
enum class reuse : std::uint8_t
{
    allowed,
    /// Not for a request with the same id. A copy of the answer may arrive at
    /// any time, and is told from answers to other requests by the id.
    other_requests,
    forbidden,
};

struct exchange_options
{
    /// Time from send() to the end of the answer.
    core::duration m_timeout = std::chrono::seconds(2);
    /// Time from send() to the first byte sent. Needed because a server that
    /// lost power does not refuse connections.
    core::duration m_connect_timeout = std::chrono::seconds(2);
    /// A connection is reused only within this time after its last answer.
    core::duration m_max_idle_time = std::chrono::seconds(5);
    /// Limit of the body of the answer.
    std::size_t m_max_answer_bytes = std::size_t{64} << 20U;
    /// Limit of the connections to this server, including idle ones. Without a
    /// connection the exchange ends with not_sent.
    std::size_t m_max_connections = 256;
    /// Id of the request, which its answer may repeat; empty if it has none.
    std::string m_request_id = {};
    /// Header in which an answer repeats that id. Copies of answers to earlier
    /// requests are then discarded; empty if they cannot be told.
    std::string m_request_id_header = {};
    /// Decides from the head of the answer how the connection may be used
    /// again. Called also if the handlers no longer care for the answer. Empty
    /// means that reuse is allowed.
    std::function<reuse(http_response_head const&)> m_read_reuse = {};
};

/// What the connection of an exchange had carried before it.
struct connection_use
{
    /// Requests that the server has answered.
    std::uint64_t m_answers = 0;
    /// The server has refused a request with the same id.
    bool m_has_refused_request = false;
};

/// Identifies an exchange in flight; 0 is none.
using exchange_id = std::uint64_t;

struct http_client_counters
{
    std::uint64_t m_connections_opened = 0;
    std::uint64_t m_connections_reused = 0;
    /// Exchanges that timed out after bytes of the request were sent.
    std::uint64_t m_connections_silent = 0;
    /// Connections closed after their idle time.
    std::uint64_t m_connections_expired = 0;
    /// Connections closed because bytes arrived without a request in flight.
    std::uint64_t m_unsolicited = 0;
    /// Idle connections that were not used for a request, since their server
    /// had refused the same request on them.
    std::uint64_t m_connections_passed_over = 0;
    /// Copies of answers to earlier requests that were discarded.
    std::uint64_t m_surplus_answers = 0;
    /// Exchanges that failed at the connection limit.
    std::uint64_t m_connection_limit_reached = 0;
};

/// Sends requests to any number of servers over persistent connections. A
/// connection carries one request at a time; with more, evhttp would resend
/// requests when a connection closes. If the answer arrives before the request
/// is sent completely, the rest of the request is not sent. Handlers must not
/// destroy the client.
class http_client
{
public:
    /// The loop must outlive the client. Errors: system_failure.
    static result<std::unique_ptr<http_client>> create(event_loop& loop);
    ~http_client();
    http_client(http_client const&) = delete;
    http_client& operator=(http_client const&) = delete;

    /// Starts an exchange. The handlers are called from the event loop, never
    /// from within send(). Returns 0 if no connection is available; m_on_end is
    /// called in that case too.
    exchange_id send(endpoint const& server, http_request const& request,
                     exchange_options const& options,
                     exchange_handlers handlers);

    /// Ends an exchange and closes its connection without calling a handler.
    void cancel(exchange_id id);

    /// Pauses or resumes reading the answer, for back-pressure.
    void set_reading(exchange_id id, bool enabled);

    /// What the connection of an exchange in flight had carried before.
    connection_use use_of(exchange_id id) const;

    http_client_counters const& counters() const noexcept;
    /// Connections that are in use, idle or being closed.
    std::size_t open_connections() const noexcept;

    struct state;

private:
    explicit http_client(std::unique_ptr<state> owned_state);
    std::unique_ptr<state> m_state;
};

} // namespace hawthornspur::net

#endif
