#ifndef HAWTHORNSPUR_NET_HTTP_SERVER_HPP
#define HAWTHORNSPUR_NET_HTTP_SERVER_HPP

#include "base/result.hpp"
#include "core/time.hpp"
#include "net/http_exchange.hpp"
#include "net/http_message.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace hawthornspur::net
{

class event_loop;

struct http_server_settings
{
    std::string m_address;
    /// 0 lets the kernel choose a port; see http_server::port().
    std::uint16_t m_port = 0;
    std::size_t m_max_headers_bytes = std::size_t{32} << 10U;
    std::size_t m_max_body_bytes = std::size_t{16} << 20U;
    /// Above this number idle connections are closed, and new ones are refused
    /// with too_many_connections before they are read.
    std::size_t m_max_connections = 10'000;
    /// Refused connections that may stay open, in addition, until their callers
    /// have read the answer. Above it the first ones whose answer is sent are
    /// closed.
    std::size_t m_max_refused_connections = 512;
    /// Adds headers to a refusal that is sent without the handler, such as the
    /// delay after which the caller may retry. Optional.
    std::function<void(result_code, http_headers&)> m_add_refusal_headers =
        nullptr;
    /// A connection is closed after this time without a byte in either
    /// direction, unless a request is in flight.
    core::duration m_idle_timeout = std::chrono::seconds(60);
    /// Time from the first to the last byte of a request.
    core::duration m_request_timeout = std::chrono::seconds(30);
};

struct http_server_counters
{
    std::uint64_t m_connections_accepted = 0;
    std::uint64_t m_connections_open = 0;
    std::uint64_t m_requests = 0;
    /// Callers that disconnected before their answer was complete.
    std::uint64_t m_callers_disconnected = 0;
    /// Requests that were not passed on, because their callers had disconnected
    /// before they were read.
    std::uint64_t m_requests_abandoned = 0;
    /// Idle connections that were closed for their age or number.
    std::uint64_t m_idle_closed = 0;
    /// Connections that could not be accepted, mostly for lack of descriptors.
    std::uint64_t m_accepts_failed = 0;
    /// Connections that closed in the middle of a request.
    std::uint64_t m_requests_incomplete = 0;
    /// Requests and connections refused before the handler is called.
    std::map<result_code, std::uint64_t> m_refused;
    /// Refusals that were not written, because a request was in flight whose
    /// answer is its exchange's to write.
    std::uint64_t m_refused_in_flight = 0;
};

/// What a server's listener does with new connections.
struct listener_state
{
    /// Closed by close_listener().
    bool m_is_closed = false;
    /// Time since which accepting fails, mostly for lack of descriptors. The
    /// listener pauses after each failure.
    std::optional<core::time_point> m_failing_since;
    /// Connections that wait in the operating system's queue; empty if it does
    /// not tell.
    std::optional<std::size_t> m_waiting;
};

using http_request_handler =
    std::function<void(http_request, std::shared_ptr<http_exchange>)>;

/// An HTTP/1.1 server on one address. Every request is validated before evhttp
/// parses it: an invalid or ambiguous one is refused with a result code and its
/// connection is closed. Pipelined requests are handled one at a time. A caller
/// that closes its sending direction counts as disconnected. A handler must not
/// destroy the server.
class http_server
{
public:
    /// The loop must outlive the server. Errors: system_failure,
    /// address_unavailable.
    static result<std::unique_ptr<http_server>>
    create(event_loop& loop, http_server_settings const& settings,
           http_request_handler handler);
    ~http_server();
    http_server(http_server const&) = delete;
    http_server& operator=(http_server const&) = delete;

    /// The port that the server is bound to.
    std::uint16_t port() const noexcept;
    http_server_counters const& counters() const noexcept;

    listener_state listener() const;
    /// See listener_state::m_failing_since.
    std::optional<core::time_point> accepts_failing_since() const noexcept;

    /// Requests whose answer has not been handed to the operating system
    /// completely.
    std::size_t unfinished_answers() const;

    /// Closes connections on which no request has been in flight for this time.
    /// Replaces http_server_settings::m_idle_timeout if it is shorter.
    void set_idle_timeout(core::duration timeout);

    /// While more than this number of connections is open, those that have been
    /// idle longest are closed. Unlimited by default.
    void close_idle_above(std::size_t connections);

    /// Stops accepting connections; open ones stay usable.
    void close_listener();

    struct state;

private:
    explicit http_server(std::unique_ptr<state> owned_state);
    std::unique_ptr<state> m_state;
};

} // namespace hawthornspur::net

#endif
