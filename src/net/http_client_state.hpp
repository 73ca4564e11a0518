#ifndef HAWTHORNSPUR_NET_HTTP_CLIENT_STATE_HPP
#define HAWTHORNSPUR_NET_HTTP_CLIENT_STATE_HPP

#include "net/answer_validator.hpp"
#include "net/event_loop.hpp"
#include "net/http_client.hpp"

#include <event2/http.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <unordered_map>
#include <vector>

namespace hawthornspur::net
{

namespace detail
{

inline constexpr std::size_t max_answer_head_bytes = std::size_t{64} << 10U;

/// A connection to a server; evhttp's callbacks refer to it.
struct connection
{
    http_client::state* m_client = nullptr;
    endpoint m_server;
    evhttp_connection* m_evcon = nullptr;
    exchange_id m_exchange = 0;
    /// The request in evhttp's hands, until evhttp reports its end.
    evhttp_request* m_request = nullptr;
    core::time_point m_last_answer{};
    /// Bytes that the kernel has taken, from which on a request may have run.
    std::size_t m_bytes_sent = 0;
    core::duration m_max_age{0};
    answer_validator m_validator{max_answer_head_bytes};
    bool m_is_moving = false;
    /// Not to be used for another request.
    bool m_is_spent = false;
};

/// A request and its answer.
struct exchange
{
    exchange_id m_id = 0;
    connection* m_connection = nullptr;
    exchange_handlers m_handlers;
    std::size_t m_max_answer_bytes = 0;
    std::size_t m_received = 0;
    bool m_head_seen = false;
    std::optional<evhttp_request_error> m_error;
    std::unique_ptr<timer> m_timeout;
    core::time_point m_deadline{};
};

/// Frees a connection after the current evhttp callback has returned.
void destroy_later(http_client::state& client, connection* c);

/// Takes a request of which nothing was sent back from evhttp and closes its
/// socket at once: a connection that opens later would still send it.
void withdraw_unsent(connection* c);

/// Ends an exchange, if it is still known, and tells its handlers.
void finish(http_client::state& client, exchange_id id,
            exchange_outcome outcome);

/// A new connection with its checks, or null.
connection* open_connection(http_client::state& client, endpoint const& server);

/// Sends the request of an exchange. False when evhttp does not take it.
bool start(exchange& e, http_request const& request);

} // namespace detail

struct http_client::state
{
    event_loop* m_loop = nullptr;
    std::unordered_map<exchange_id, std::unique_ptr<detail::exchange>>
        m_exchanges;
    std::unordered_map<detail::connection*, std::unique_ptr<detail::connection>>
        m_connections;
    std::map<endpoint, std::vector<detail::connection*>> m_idle;
    exchange_id m_next = 1;
    http_client_counters m_counters;
    std::map<endpoint, std::size_t> m_open;
    /// Freed when no callback of theirs can be running.
    std::vector<std::unique_ptr<detail::connection>> m_closing;
    std::vector<std::unique_ptr<detail::exchange>> m_ended;
    /// Exchanges that ended within send(), whose handlers wait for the loop.
    std::vector<std::function<void()>> m_waiting_ends;
    std::unique_ptr<timer> m_deferred;
    std::unique_ptr<timer> m_sweeper;

    void run_deferred();
    void sweep();
};

} // namespace hawthornspur::net

#endif
