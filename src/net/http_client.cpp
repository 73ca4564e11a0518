#include "net/http_client.hpp"

#include "base/text.hpp"
#include "net/event_loop.hpp"

#include <absl/strings/numbers.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>

#include <map>
#include <unordered_map>
#include <utility>
#include <vector>

namespace hawthornspur::net
{

namespace
{

struct connection
{
    http_client::state* m_client = nullptr;
    endpoint m_server;
    evhttp_connection* m_evcon = nullptr;
    exchange_id m_exchange = 0;
    core::time_point m_last_answer{};
    /// Bytes that the kernel has taken, from which on a request may have run.
    std::size_t m_bytes_sent = 0;
};

struct exchange
{
    exchange_id m_id = 0;
    connection* m_connection = nullptr;
    exchange_handlers m_handlers;
    std::size_t m_max_answer_bytes = 0;
    std::size_t m_received = 0;
    bool m_head_seen = false;
    bool m_too_large = false;
    std::optional<evhttp_request_error> m_error;
    std::unique_ptr<timer> m_timeout;
};

} // namespace

struct http_client::state
{
    event_loop* m_loop = nullptr;
    std::unordered_map<exchange_id, std::unique_ptr<exchange>> m_exchanges;
    std::unordered_map<connection*, std::unique_ptr<connection>> m_connections;
    std::map<endpoint, std::vector<connection*>> m_idle;
    exchange_id m_next = 1;
    http_client_counters m_counters;
};

namespace
{

std::optional<evhttp_cmd_type> command_of(std::string_view method)
{
    static std::map<std::string_view, evhttp_cmd_type> const commands{
        {"GET", EVHTTP_REQ_GET},       {"POST", EVHTTP_REQ_POST},
        {"HEAD", EVHTTP_REQ_HEAD},     {"PUT", EVHTTP_REQ_PUT},
        {"DELETE", EVHTTP_REQ_DELETE}, {"OPTIONS", EVHTTP_REQ_OPTIONS},
        {"PATCH", EVHTTP_REQ_PATCH}};
    auto const found = commands.find(method);
    if (found == commands.end())
    {
        return std::nullopt;
    }
    return found->second;
}

/// Frees a connection after the current evhttp callback has returned.
void destroy_later(http_client::state& client, connection* c)
{
    auto const found = client.m_connections.find(c);
    if (found == client.m_connections.end())
    {
        return;
    }
    auto owned = std::shared_ptr<connection>(std::move(found->second));
    client.m_connections.erase(found);
    std::erase(client.m_idle[c->m_server], c);
    evhttp_connection_set_closecb(owned->m_evcon, nullptr, nullptr);
    client.m_loop->post([owned] { evhttp_connection_free(owned->m_evcon); });
}

void finish(http_client::state& client, exchange_id id,
            exchange_outcome outcome)
{
    auto const found = client.m_exchanges.find(id);
    if (found == client.m_exchanges.end())
    {
        return;
    }
    auto const owned = std::move(found->second);
    client.m_exchanges.erase(found);
    auto* c = owned->m_connection;
    c->m_exchange = 0;
    if (outcome == exchange_outcome::complete)
    {
        c->m_last_answer = event_loop::now();
        client.m_idle[c->m_server].push_back(c);
    }
    else
    {
        destroy_later(client, c);
    }
    if (owned->m_handlers.m_on_end)
    {
        owned->m_handlers.m_on_end(outcome);
    }
}

exchange* current(connection* c)
{
    auto const found = c->m_client->m_exchanges.find(c->m_exchange);
    return found == c->m_client->m_exchanges.end() ? nullptr
                                                   : found->second.get();
}

std::optional<std::uint64_t> announced_length(http_headers const& headers)
{
    auto const text = find_header(headers, "Content-Length");
    return text ? parse_number<std::uint64_t>(*text) : std::nullopt;
}

void deliver_head(exchange& e, evhttp_request* request)
{
    if (e.m_head_seen)
    {
        return;
    }
    e.m_head_seen = true;
    http_response_head head;
    head.m_status = evhttp_request_get_response_code(request);
    auto* headers = evhttp_request_get_input_headers(request);
    for (auto* header = headers->tqh_first; header != nullptr;
         header = header->next.tqe_next)
    {
        head.m_headers.emplace_back(header->key, header->value);
    }
    auto const length = announced_length(head.m_headers);
    if (e.m_handlers.m_on_head)
    {
        e.m_handlers.m_on_head(std::move(head), length);
    }
}

int on_head(evhttp_request* request, void* argument)
{
    auto* c = static_cast<connection*>(argument);
    if (auto* e = current(c))
    {
        deliver_head(*e, request);
    }
    return 0;
}

void on_data(evhttp_request* request, void* argument)
{
    auto* c = static_cast<connection*>(argument);
    auto* buffer = evhttp_request_get_input_buffer(request);
    auto const size = evbuffer_get_length(buffer);
    auto* e = current(c);
    if (e == nullptr || size == 0)
    {
        return;
    }
    e->m_received += size;
    if (e->m_received > e->m_max_answer_bytes)
    {
        finish(*c->m_client, e->m_id, exchange_outcome::too_large);
        return;
    }
    auto const* bytes = evbuffer_pullup(buffer, -1);
    if (e->m_handlers.m_on_data)
    {
        e->m_handlers.m_on_data(
            std::string_view(reinterpret_cast<char const*>(bytes), size));
    }
}

exchange_outcome outcome_of(exchange const& e)
{
    if (e.m_connection->m_bytes_sent == 0)
    {
        return exchange_outcome::connect_failed;
    }
    if (e.m_head_seen)
    {
        return exchange_outcome::truncated;
    }
    if (e.m_error == EVREQ_HTTP_INVALID_HEADER)
    {
        return exchange_outcome::malformed;
    }
    if (e.m_error == EVREQ_HTTP_TIMEOUT)
    {
        return exchange_outcome::silent;
    }
    return exchange_outcome::closed;
}

void on_error(evhttp_request_error what, void* argument)
{
    if (auto* e = current(static_cast<connection*>(argument)))
    {
        e->m_error = what;
    }
}

void on_done(evhttp_request* request, void* argument)
{
    auto* c = static_cast<connection*>(argument);
    auto* e = current(c);
    if (e == nullptr)
    {
        return;
    }
    if (request == nullptr || e->m_error ||
        evhttp_request_get_response_code(request) == 0)
    {
        finish(*c->m_client, e->m_id, outcome_of(*e));
        return;
    }
    deliver_head(*e, request);
    finish(*c->m_client, e->m_id, exchange_outcome::complete);
}

void on_connection_closed(evhttp_connection* /*evcon*/, void* argument)
{
    auto* c = static_cast<connection*>(argument);
    if (c->m_exchange == 0)
    {
        destroy_later(*c->m_client, c);
    }
}

void count_sent(evbuffer* /*buffer*/, evbuffer_cb_info const* change,
                void* argument)
{
    static_cast<connection*>(argument)->m_bytes_sent += change->n_deleted;
}

connection* open_connection(http_client::state& client, endpoint const& server)
{
    auto owned = std::make_unique<connection>();
    owned->m_client = &client;
    owned->m_server = server;
    owned->m_evcon =
        evhttp_connection_base_new(client.m_loop->base(), nullptr,
                                   server.m_address.c_str(), server.m_port);
    if (owned->m_evcon == nullptr)
    {
        return nullptr;
    }
    evhttp_connection_set_retries(owned->m_evcon, 0);
    evhttp_connection_set_closecb(owned->m_evcon, on_connection_closed,
                                  owned.get());
    auto* transport = evhttp_connection_get_bufferevent(owned->m_evcon);
    evbuffer_add_cb(bufferevent_get_output(transport), count_sent, owned.get());
    ++client.m_counters.m_connections_opened;
    auto* raw = owned.get();
    client.m_connections.emplace(raw, std::move(owned));
    return raw;
}

connection* take_connection(http_client::state& client, endpoint const& server,
                            core::duration max_age)
{
    auto& idle = client.m_idle[server];
    while (!idle.empty())
    {
        auto* c = idle.back();
        idle.pop_back();
        if (event_loop::now() - c->m_last_answer <= max_age)
        {
            ++client.m_counters.m_connections_reused;
            c->m_bytes_sent = 0;
            return c;
        }
        destroy_later(client, c);
    }
    return open_connection(client, server);
}

bool start(exchange& e, http_request const& request)
{
    auto const command = command_of(request.m_method);
    if (!command)
    {
        return false;
    }
    auto* c = e.m_connection;
    auto* made = evhttp_request_new(on_done, c);
    evhttp_request_set_header_cb(made, on_head);
    evhttp_request_set_chunked_cb(made, on_data);
    evhttp_request_set_error_cb(made, on_error);
    auto* headers = evhttp_request_get_output_headers(made);
    for (auto const& [name, value] : request.m_headers)
    {
        evhttp_add_header(headers, name.c_str(), value.c_str());
    }
    evbuffer_add(evhttp_request_get_output_buffer(made), request.m_body.data(),
                 request.m_body.size());
    return evhttp_make_request(c->m_evcon, made, *command,
                               request.m_uri.c_str()) == 0;
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
}

result<std::unique_ptr<http_client>> http_client::create(event_loop& loop)
{
    auto s = std::make_unique<state>();
    s->m_loop = &loop;
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
    e->m_connection =
        take_connection(client, server, options.m_max_connection_age);
    auto made_timer =
        timer::create(*client.m_loop,
                      [&client, id]
                      {
                          ++client.m_counters.m_connections_silent;
                          auto const& late = *client.m_exchanges.at(id);
                          finish(client, id,
                                 late.m_connection->m_bytes_sent == 0
                                     ? exchange_outcome::connect_failed
                                     : exchange_outcome::silent);
                      });
    if (e->m_connection == nullptr || !has_value(made_timer))
    {
        client.m_loop->post([end = std::move(e->m_handlers.m_on_end)]
                            { end(exchange_outcome::connect_failed); });
        return 0;
    }
    e->m_timeout = take(std::move(made_timer));
    e->m_timeout->start(options.m_timeout);
    e->m_connection->m_exchange = id;
    auto& started = *e;
    client.m_exchanges.emplace(id, std::move(e));
    if (!start(started, request))
    {
        client.m_loop->post(
            [&client, id]
            { finish(client, id, exchange_outcome::connect_failed); });
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
    m_state->m_exchanges.erase(found);
    destroy_later(*m_state, c);
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
