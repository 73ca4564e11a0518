#include "net/http_client.hpp"

#include "net/event_loop.hpp"
#include "net/http_client_state.hpp"

#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>

#include <algorithm>
#include <iterator>
#include <utility>
#include <vector>

namespace hawthornspur::net
{

namespace
{

using detail::connection;
using detail::exchange;

constexpr core::duration sweep_interval = std::chrono::seconds(1);

bool is_usable(connection const& c, core::duration max_age)
{
    auto* transport = evhttp_connection_get_bufferevent(c.m_evcon);
    // Without a descriptor the server has closed it, and evhttp would connect
    // again by itself.
    return bufferevent_getfd(transport) >= 0 &&
           event_loop::now() - c.m_last_answer <= max_age;
}

connection* take_connection(http_client::state& client, endpoint const& server,
                            exchange_options const& options)
{
    auto& idle = client.m_idle[server];
    while (!idle.empty())
    {
        auto* c = idle.back();
        if (is_usable(*c, options.m_max_idle_time))
        {
            idle.pop_back();
            ++client.m_counters.m_connections_reused;
            c->m_bytes_sent = 0;
            c->m_validator.reset();
            return c;
        }
        detail::destroy_later(client, c);
    }
    if (client.m_open[server] >= options.m_max_connections)
    {
        ++client.m_counters.m_connection_limit_reached;
        return nullptr;
    }
    return detail::open_connection(client, server);
}

} // namespace

http_client::http_client(std::unique_ptr<state> s)
    : m_state(std::move(s))
{
}

http_client::~http_client()
{
    for (auto const& [raw, owned] : m_state->m_connections)
    {
        evhttp_connection_set_closecb(owned->m_evcon, nullptr, nullptr);
        evhttp_connection_free(owned->m_evcon);
    }
    for (auto const& owned : m_state->m_closing)
    {
        evhttp_connection_free(owned->m_evcon);
    }
}

void http_client::state::run_deferred()
{
    for (auto const& owned : std::exchange(m_closing, {}))
    {
        evhttp_connection_free(owned->m_evcon);
    }
    m_ended.clear();
    for (auto const& end : std::exchange(m_waiting_ends, {}))
    {
        end();
    }
}

void http_client::state::sweep()
{
    std::vector<connection*> expired;
    for (auto const& [server, idle] : m_idle)
    {
        std::copy_if(idle.begin(), idle.end(), std::back_inserter(expired),
                     [](connection const* c)
                     { return !is_usable(*c, c->m_max_age); });
    }
    for (auto* c : expired)
    {
        ++m_counters.m_connections_expired;
        detail::destroy_later(*this, c);
    }
    std::erase_if(m_idle, [](auto const& row) { return row.second.empty(); });
    std::erase_if(m_open, [](auto const& row) { return row.second == 0; });
    m_sweeper->start(sweep_interval);
}

result<std::unique_ptr<http_client>> http_client::create(event_loop& loop)
{
    auto s = std::make_unique<state>();
    auto& client = *s;
    client.m_loop = &loop;
    auto deferred = timer::create(loop, [&client] { client.run_deferred(); });
    auto sweeper = timer::create(loop, [&client] { client.sweep(); });
    if (!has_value(deferred) || !has_value(sweeper))
    {
        return make_error(result_code::system_failure, "cannot create a timer");
    }
    client.m_deferred = take(std::move(deferred));
    client.m_sweeper = take(std::move(sweeper));
    client.m_sweeper->start(sweep_interval);
    return std::unique_ptr<http_client>(new http_client(std::move(s)));
}

exchange_id http_client::send(endpoint const& server,
                              http_request const& request,
                              exchange_options const& options,
                              exchange_handlers handlers)
{
    auto& client = *m_state;
    auto const id = client.m_next++;
    auto e = std::make_unique<exchange>();
    e->m_id = id;
    e->m_handlers = std::move(handlers);
    e->m_max_answer_bytes = options.m_max_answer_bytes;
    e->m_connection = take_connection(client, server, options);
    auto made_timer = timer::create(
        *client.m_loop,
        [&client, id]
        {
            auto const found = client.m_exchanges.find(id);
            if (found == client.m_exchanges.end())
            {
                return;
            }
            auto const was_sent =
                found->second->m_connection->m_bytes_sent != 0;
            auto const left = found->second->m_deadline - event_loop::now();
            if (was_sent && left > core::duration(0))
            {
                found->second->m_timeout->start(left);
                return;
            }
            client.m_counters.m_connections_silent += was_sent ? 1 : 0;
            detail::finish(client, id,
                           was_sent ? exchange_outcome::silent
                                    : exchange_outcome::connect_failed);
        });
    if (e->m_connection == nullptr || !has_value(made_timer))
    {
        client.m_waiting_ends.emplace_back(
            [end = std::move(e->m_handlers.m_on_end)]
            {
                if (end)
                {
                    end(exchange_outcome::connect_failed);
                }
            });
        client.m_deferred->start(core::duration(0));
        return 0;
    }
    e->m_timeout = take(std::move(made_timer));
    e->m_deadline = event_loop::now() + options.m_timeout;
    e->m_timeout->start(std::min(options.m_timeout, options.m_connect_timeout));
    e->m_connection->m_exchange = id;
    e->m_connection->m_max_age = options.m_max_idle_time;
    auto& started = *e;
    client.m_exchanges.emplace(id, std::move(e));
    if (!detail::start(started, request))
    {
        client.m_waiting_ends.emplace_back(
            [&client, id]
            { detail::finish(client, id, exchange_outcome::connect_failed); });
        client.m_deferred->start(core::duration(0));
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
    auto* c = found->second->m_connection;
    c->m_exchange = 0;
    detail::withdraw_unsent(c);
    found->second->m_timeout->stop();
    m_state->m_ended.push_back(std::move(found->second));
    m_state->m_exchanges.erase(found);
    detail::destroy_later(*m_state, c);
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

http_client_counters const& http_client::counters() const noexcept
{
    return m_state->m_counters;
}

} // namespace hawthornspur::net