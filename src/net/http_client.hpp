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
    /// A whole answer.
    complete,
    /// No connection; no byte of the request was sent.
    connect_failed,
    /// No answer within the timeout.
    silent,
    /// Closed before the head of the answer.
    closed,
    malformed,
    /// Closed before the announced end of the answer.
    truncated,
    /// The body of the answer exceeded the cap.
    too_large,
};

struct exchange_handlers
{
    /// Called at most once, before any data.
    std::function<void(http_response_head, std::optional<std::uint64_t>)>
        m_on_head;
    std::function<void(std::string_view)> m_on_data;
    /// Called exactly once, unless the exchange is cancelled.
    std::function<void(exchange_outcome)> m_on_end;
};

struct exchange_options
{
    /// From the start to the end of the answer.
    core::duration m_timeout = std::chrono::seconds(2);
    /// Until the first byte of the request has gone out; a server that lost
    /// power does not refuse connections.
    core::duration m_connect_timeout = std::chrono::seconds(2);
    /// A kept connection is used only if it delivered an answer within this
    /// time; otherwise a new one is opened.
    core::duration m_max_idle_time = std::chrono::seconds(5);
    std::size_t m_max_answer_bytes = std::size_t{64} << 20U;
    /// Connections to this server, idle ones included; above it the exchange
    /// ends with connect_failed.
    std::size_t m_max_connections = 256;
};

/// Names an exchange in flight; 0 is none.
using exchange_id = std::uint64_t;

struct http_client_counters
{
    std::uint64_t m_connections_opened = 0;
    std::uint64_t m_connections_reused = 0;
    std::uint64_t m_connections_silent = 0;
    /// Idle connections closed after their age.
    std::uint64_t m_connections_expired = 0;
    /// Connections on which bytes arrived that belong to no request.
    std::uint64_t m_unsolicited = 0;
    /// Exchanges refused by the bound on connections.
    std::uint64_t m_connection_limit_reached = 0;
};

/// Sends requests to any number of servers over kept connections. A
/// connection carries one request at a time, so that evhttp never sends a
/// request again by itself when a connection closes. A request that is
/// answered before it was sent whole is not sent to its end. Handlers must not
/// destroy the client.
class http_client
{
public:
    static result<std::unique_ptr<http_client>> create(event_loop& loop);
    ~http_client();
    http_client(http_client const&) = delete;
    http_client& operator=(http_client const&) = delete;

    /// The handlers are called from the loop, never from within send().
    exchange_id send(endpoint const& server, http_request const& request,
                     exchange_options const& options,
                     exchange_handlers handlers);

    /// Closes the connection of an exchange; no handler is called any more.
    void cancel(exchange_id id);

    /// Stops and resumes reading the answer, for back-pressure.
    void set_reading(exchange_id id, bool enabled);

    http_client_counters const& counters() const noexcept;

    struct state;

private:
    explicit http_client(std::unique_ptr<state> s);
    std::unique_ptr<state> m_state;
};

} // namespace hawthornspur::net

#endif
