#ifndef HAWTHORNSPUR_NET_HTTP_CLIENT_STATE_HPP
#define HAWTHORNSPUR_NET_HTTP_CLIENT_STATE_HPP

#include "core/answer_history.hpp"
#include "net/answer_validator.hpp"
#include "net/event_loop.hpp"
#include "net/http_client.hpp"
#include "net/surplus_answers.hpp"

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

/// A connection to a server. The callbacks of evhttp hold a pointer to it.
struct client_connection
{
    http_client::state* m_client = nullptr;
    endpoint m_server;
    evhttp_connection* m_evcon = nullptr;
    exchange_id m_exchange_id = 0;
    /// The request that evhttp owns; null after evhttp has reported its end.
    evhttp_request* m_request = nullptr;
    core::time_point m_last_answer_time{};
    core::answer_history m_history;
    /// Bytes written to the socket for the current request. Once there are
    /// any, the request may have run.
    std::size_t m_bytes_sent = 0;
    core::duration m_max_idle_time{0};
    answer_validator m_validator{max_answer_head_bytes};
    surplus_answers m_surplus;
    /// Set while the client itself modifies the input buffer, whose callback
    /// then does nothing.
    bool m_is_modifying_input = false;
    /// The connection is not reusable for another request.
    bool m_must_close = false;
    /// evhttp is taking over a request and may report its failure at once.
    bool m_is_sending = false;
};

/// A request and its answer.
struct client_exchange
{
    exchange_id m_id = 0;
    client_connection* m_connection = nullptr;
    exchange_handlers m_handlers;
    std::string m_request_id;
    std::string m_request_id_header;
    std::function<reuse(http_response_head const&)> m_read_reuse;
    reuse m_reuse = reuse::allowed;
    std::size_t m_max_answer_bytes = 0;
    std::size_t m_received_bytes = 0;
    bool m_has_delivered_head = false;
    std::optional<evhttp_request_error> m_error;
    /// The connection failed for a reason on this side.
    bool m_is_local_failure = false;
    std::unique_ptr<timer> m_timeout;
    core::time_point m_deadline{};
};

/// Frees a connection after the current evhttp callback has returned.
void destroy_later(http_client::state& client, client_connection* connection);

/// Cancels the request of a connection if no byte of it was sent, and closes
/// the socket at once. Otherwise evhttp would send the request if the
/// connection opened before its deferred destruction.
void cancel_unsent_request(client_connection* connection);

/// Ends an exchange and calls its end handler, from the event loop if the
/// request is just being sent. Does nothing if the exchange has already ended.
void finish(http_client::state& client, exchange_id id,
            exchange_outcome outcome);

/// Opens a connection whose input is validated. Null if evhttp cannot allocate
/// it.
client_connection* open_connection(http_client::state& client,
                                   endpoint const& server);

/// Sends the request of an exchange. False for an unsupported method or if
/// evhttp does not accept the request.
bool send_request(client_exchange& exchange, http_request const& request);

} // namespace detail

struct http_client::state
{
    event_loop* m_loop = nullptr;
    std::unordered_map<exchange_id, std::unique_ptr<detail::client_exchange>>
        m_exchanges;
    std::unordered_map<detail::client_connection*,
                       std::unique_ptr<detail::client_connection>>
        m_connections;
    std::map<endpoint, std::vector<detail::client_connection*>> m_idle;
    exchange_id m_next_id = 1;
    http_client_counters m_counters;
    /// Open connections for each server, including idle ones.
    std::map<endpoint, std::size_t> m_connection_counts;
    /// Freed from the event loop, when none of their callbacks can be running.
    std::vector<std::unique_ptr<detail::client_connection>>
        m_closing_connections;
    std::vector<std::unique_ptr<detail::client_exchange>> m_ended_exchanges;
    /// End handlers of exchanges that failed within send(), to be called from
    /// the event loop.
    std::vector<std::function<void()>> m_deferred_ends;
    std::unique_ptr<timer> m_deferred_timer;
    std::unique_ptr<timer> m_sweep_timer;

    void run_deferred();
    void sweep();
};

} // namespace hawthornspur::net

#endif
