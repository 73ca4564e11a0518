#include "net/http_client.hpp"

#include "base/activity.hpp"
#include "net/event_loop.hpp"
#include "net/http_client_state.hpp"

#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <iterator>
#include <utility>
#include <vector>

namespace hawthornspur::net
{

namespace
{

using detail::client_connection;
using detail::client_exchange;

constexpr core::duration sweep_interval = std::chrono::seconds(1);

bool is_reusable(client_connection const& connection,
                 core::duration max_idle_time)
{
    auto* transport = evhttp_connection_get_bufferevent(connection.m_evcon);
    // There is no descriptor after the server has closed the connection. evhttp
    // would then reconnect by itself.
    return bufferevent_getfd(transport) >= 0 &&
           event_loop::now() - connection.m_last_answer_time <= max_idle_time;
}

/// Whether the server has sent bytes or closed the connection and the event
/// loop has not reported it yet.
bool has_unread_input(client_connection const& connection)
{
    auto const fd = bufferevent_getfd(
        evhttp_connection_get_bufferevent(connection.m_evcon));
    char byte = 0;
    return ::recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) >= 0 ||
           (errno != EAGAIN && errno != EWOULDBLOCK);
}

client_connection* take_connection(http_client::state& client,
                                   endpoint const& server,
                                   exchange_options const& options)
{
    auto& idle = client.m_idle[server];
    // The last one has rested for the shortest time.
    for (auto i = idle.size(); i-- > 0;)
    {
        auto* connection = idle[i];
        if (!is_reusable(*connection, options.m_max_idle_time))
        {
            detail::destroy_later(client, connection);
            continue;
        }
        if (core::has_refused(connection->m_history, options.m_request_id))
        {
            ++client.m_counters.m_connections_passed_over;
            continue;
        }
        if (has_unread_input(*connection))
        {
            detail::destroy_later(client, connection);
            continue;
        }
        idle.erase(idle.begin() + static_cast<std::ptrdiff_t>(i));
        ++client.m_counters.m_connections_reused;
        connection->m_bytes_sent = 0;
        connection->m_validator.reset();
        return connection;
    }
    if (client.m_connection_counts[server] >= options.m_max_connections)
    {
        if (idle.empty())
        {
            ++client.m_counters.m_connection_limit_reached;
            return nullptr;
        }
        detail::destroy_later(client, idle.front());
    }
    return detail::open_connection(client, server);
}

} // namespace

http_client::http_client(std::unique_ptr<state> owned_state)
    : m_state(std::move(owned_state))
{
}

http_client::~http_client()
{
    for (auto const& [raw, owned] : m_state->m_connections)
    {
        evhttp_connection_set_closecb(owned->m_evcon, nullptr, nullptr);
        evhttp_connection_free(owned->m_evcon);
    }
    for (auto const& owned : m_state->m_closing_connections)
    {
        evhttp_connection_free(owned->m_evcon);
    }
}

void http_client::state::run_deferred()
{
    diagnostics::activity_scope const scope("client.deferred");
    for (auto const& owned : std::exchange(m_closing_connections, {}))
    {
        evhttp_connection_free(owned->m_evcon);
    }
    m_ended_exchanges.clear();
    for (auto const& end : std::exchange(m_deferred_ends, {}))
    {
        end();
    }
}

void http_client::state::sweep()
{
    std::vector<client_connection*> expired;
    for (auto const& [server, idle] : m_idle)
    {
        std::copy_if(
            idle.begin(), idle.end(), std::back_inserter(expired),
            [](client_connection const* connection)
            { return !is_reusable(*connection, connection->m_max_idle_time); });
    }
    for (auto* connection : expired)
    {
        ++m_counters.m_connections_expired;
        detail::destroy_later(*this, connection);
    }
    std::erase_if(m_idle, [](auto const& row) { return row.second.empty(); });
    std::erase_if(m_connection_counts,
                  [](auto const& row) { return row.second == 0; });
    m_sweep_timer->start(sweep_interval);
}

result<std::unique_ptr<http_client>> http_client::create(event_loop& loop)
{
    auto owned_state = std::make_unique<state>();
    auto& client = *owned_state;
    client.m_loop = &loop;
    auto deferred = timer::create(loop, [&client] { client.run_deferred(); });
    auto sweeper = timer::create(loop, [&client] { client.sweep(); });
    if (!has_value(deferred) || !has_value(sweeper))
    {
        return make_error(result_code::system_failure, "cannot create a timer");
    }
    client.m_deferred_timer = take(std::move(deferred));
    client.m_sweep_timer = take(std::move(sweeper));
    client.m_sweep_timer->start(sweep_interval);
    return std::unique_ptr<http_client>(
        new http_client(std::move(owned_state)));
}

exchange_id http_client::send(endpoint const& server,
                              http_request const& request,
                              exchange_options const& options,
                              exchange_handlers handlers)
{
    auto& client = *m_state;
    auto const id = client.m_next_id++;
    auto exchange = std::make_unique<client_exchange>();
    exchange->m_id = id;
    exchange->m_handlers = std::move(handlers);
    exchange->m_max_answer_bytes = options.m_max_answer_bytes;
    exchange->m_request_id = options.m_request_id;
    exchange->m_request_id_header = options.m_request_id_header;
    exchange->m_read_reuse = options.m_read_reuse;
    exchange->m_connection = take_connection(client, server, options);
    auto timeout = timer::create(
        *client.m_loop,
        [&client, id]
        {
            diagnostics::activity_scope const scope("client.timeout", id);
            auto const found = client.m_exchanges.find(id);
            if (found == client.m_exchanges.end())
            {
                return;
            }
            auto const was_sent =
                found->second->m_connection->m_bytes_sent != 0;
            auto const remaining_time =
                found->second->m_deadline - event_loop::now();
            if (was_sent && remaining_time > core::duration(0))
            {
                found->second->m_timeout->start(remaining_time);
                return;
            }
            client.m_counters.m_connections_silent += was_sent ? 1 : 0;
            detail::finish(client, id,
                           was_sent ? exchange_outcome::silent
                                    : exchange_outcome::connect_failed);
        });
    if (exchange->m_connection == nullptr || !has_value(timeout))
    {
        client.m_deferred_ends.emplace_back(
            [end = std::move(exchange->m_handlers.m_on_end)]
            {
                if (end)
                {
                    end(exchange_outcome::not_sent);
                }
            });
        client.m_deferred_timer->start(core::duration(0));
        return 0;
    }
    exchange->m_timeout = take(std::move(timeout));
    exchange->m_deadline = event_loop::now() + options.m_timeout;
    exchange->m_timeout->start(
        std::min(options.m_timeout, options.m_connect_timeout));
    exchange->m_connection->m_exchange_id = id;
    exchange->m_connection->m_max_idle_time = options.m_max_idle_time;
    auto& started_exchange = *exchange;
    client.m_exchanges.emplace(id, std::move(exchange));
    if (!detail::send_request(started_exchange, request))
    {
        client.m_deferred_ends.emplace_back(
            [&client, id]
            { detail::finish(client, id, exchange_outcome::not_sent); });
        client.m_deferred_timer->start(core::duration(0));
    }
    return id;
}

void http_client::cancel(exchange_id id)
{
    auto const found = m_state->m_exchanges.find(id);
    if (found == m_state->m_exchanges.end())
    {
        return;
    }
    auto* connection = found->second->m_connection;
    connection->m_exchange_id = 0;
    detail::cancel_unsent_request(connection);
    found->second->m_timeout->stop();
    m_state->m_ended_exchanges.push_back(std::move(found->second));
    m_state->m_exchanges.erase(found);
    detail::destroy_later(*m_state, connection);
}

void http_client::set_reading(exchange_id id, bool enabled)
{
    auto const found = m_state->m_exchanges.find(id);
    if (found == m_state->m_exchanges.end())
    {
        return;
    }
    auto* transport =
        evhttp_connection_get_bufferevent(found->second->m_connection->m_evcon);
    if (enabled)
    {
        bufferevent_enable(transport, EV_READ);
    }
    else
    {
        bufferevent_disable(transport, EV_READ);
    }
}

connection_use http_client::use_of(exchange_id id) const
{
    auto const found = m_state->m_exchanges.find(id);
    if (found == m_state->m_exchanges.end())
    {
        return {};
    }
    auto const& exchange = *found->second;
    auto const& history = exchange.m_connection->m_history;
    return {history.m_answers,
            !exchange.m_request_id.empty() &&
                core::has_refused(history, exchange.m_request_id)};
}

http_client_counters const& http_client::counters() const noexcept
{
    return m_state->m_counters;
}

std::size_t http_client::open_connections() const noexcept
{
    return m_state->m_connections.size() +
           m_state->m_closing_connections.size();
}

} // namespace hawthornspur::net