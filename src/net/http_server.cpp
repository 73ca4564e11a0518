#include "net/http_server.hpp"

#include "base/logging.hpp"
#include "net/caller_connection.hpp"
#include "net/event_loop.hpp"
#include "net/socket_address.hpp"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>

#include <algorithm>
#include <unordered_map>
#include <utility>
#include <vector>

namespace hawthornspur::net
{

namespace
{

constexpr unsigned all_methods =
    EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_HEAD | EVHTTP_REQ_PUT |
    EVHTTP_REQ_DELETE | EVHTTP_REQ_OPTIONS | EVHTTP_REQ_PATCH;

char const* method_name(evhttp_cmd_type type)
{
    switch (type)
    {
    case EVHTTP_REQ_GET:
        return "GET";
    case EVHTTP_REQ_POST:
        return "POST";
    case EVHTTP_REQ_HEAD:
        return "HEAD";
    case EVHTTP_REQ_PUT:
        return "PUT";
    case EVHTTP_REQ_DELETE:
        return "DELETE";
    case EVHTTP_REQ_OPTIONS:
        return "OPTIONS";
    case EVHTTP_REQ_PATCH:
        return "PATCH";
    default:
        return "";
    }
}

http_request read_request(evhttp_request* request)
{
    http_request read;
    read.m_method = method_name(evhttp_request_get_command(request));
    read.m_uri = evhttp_request_get_uri(request);
    auto* headers = evhttp_request_get_input_headers(request);
    for (auto* header = headers->tqh_first; header != nullptr;
         header = header->next.tqe_next)
    {
        read.m_headers.emplace_back(header->key, header->value);
    }
    // Both describe how the body was sent, and the body is whole now.
    remove_header(read.m_headers, "Transfer-Encoding");
    remove_header(read.m_headers, "Content-Length");
    auto* body = evhttp_request_get_input_buffer(request);
    auto const size = evbuffer_get_length(body);
    read.m_body.resize(size);
    if (size > 0)
    {
        evbuffer_remove(body, read.m_body.data(), size);
    }
    return read;
}

} // namespace

struct http_server::state
{
    event_loop* m_loop = nullptr;
    http_server_settings m_settings;
    http_request_handler m_handler;
    http_server_counters m_counters;
    evhttp* m_http = nullptr;
    evhttp_bound_socket* m_socket = nullptr;
    std::uint16_t m_port = 0;
    caller_connection_handlers m_connection_handlers;
    std::unordered_map<caller_connection*, std::unique_ptr<caller_connection>>
        m_connections;
    std::unordered_map<evhttp_connection*, caller_connection*> m_by_evcon;
    /// Accepted in this turn of the loop.
    std::vector<caller_connection*> m_accepted;
    /// Those of them that were above the limit.
    std::vector<caller_connection*> m_excess;
    std::vector<caller_connection*> m_resumable;
    std::unique_ptr<timer> m_deferred;

    ~state()
    {
        for (auto* connection : m_accepted)
        {
            // So that it hears of its end.
            connection->adopt();
        }
        if (m_http != nullptr)
        {
            evhttp_free(m_http);
        }
    }
    state() = default;
    state(state const&) = delete;
    state& operator=(state const&) = delete;

    bufferevent* on_accept();
    void on_refused(error const& problem);
    void on_closed(caller_connection& connection);
    void run_deferred();
    void on_request(evhttp_request* request);
};

bufferevent* http_server::state::on_accept()
{
    auto* transport =
        bufferevent_socket_new(m_loop->base(), -1, BEV_OPT_CLOSE_ON_FREE);
    if (transport == nullptr)
    {
        return nullptr;
    }
    ++m_counters.m_connections_accepted;
    ++m_counters.m_connections_open;
    auto owned = std::make_unique<caller_connection>(transport, m_settings,
                                                     m_connection_handlers);
    m_accepted.push_back(owned.get());
    auto* const raw = owned.get();
    m_connections.emplace(raw, std::move(owned));
    if (m_connections.size() > m_settings.m_max_connections)
    {
        m_excess.push_back(raw);
    }
    m_deferred->start(core::duration(0));
    return transport;
}

void http_server::state::on_refused(error const& problem)
{
    ++m_counters.m_refused[problem.m_code];
    logging::write(
        logging::level::warn, "net.http", "request refused",
        {{"code", std::to_string(static_cast<unsigned>(problem.m_code))},
         {"reason", problem.m_message}});
}

void http_server::state::on_closed(caller_connection& connection)
{
    --m_counters.m_connections_open;
    m_counters.m_callers_gone += connection.has_left_early() ? 1 : 0;
    if (connection.is_within_request())
    {
        ++m_counters.m_requests_incomplete;
    }
    std::erase(m_accepted, &connection);
    std::erase(m_excess, &connection);
    std::erase(m_resumable, &connection);
    m_by_evcon.erase(connection.evcon());
    m_connections.erase(&connection);
}

void http_server::state::run_deferred()
{
    // Each call may end other connections, which leave the lists then.
    while (!m_accepted.empty())
    {
        auto* connection = m_accepted.back();
        m_accepted.pop_back();
        connection->adopt();
    }
    while (!m_excess.empty())
    {
        auto* connection = m_excess.back();
        m_excess.pop_back();
        connection->refuse(
            {result_code::too_many_connections, "too many connections"});
    }
    auto const waiting = std::move(m_resumable);
    m_resumable.clear();
    for (auto* connection : waiting)
    {
        if (m_connections.contains(connection))
        {
            connection->resume();
        }
    }
}

void http_server::state::on_request(evhttp_request* request)
{
    // A request has bytes, and the first byte makes a connection known.
    auto* connection = m_by_evcon.at(evhttp_request_get_connection(request));
    ++m_counters.m_requests;
    connection->on_request(request);
    auto read = read_request(request);
    m_handler(std::move(read),
              std::make_shared<http_exchange>(request, *connection));
}

http_server::http_server(std::unique_ptr<state> s)
    : m_state(std::move(s))
{
}

http_server::~http_server() = default;

result<std::unique_ptr<http_server>>
http_server::create(event_loop& loop, http_server_settings const& settings,
                    http_request_handler handler)
{
    auto made = std::make_unique<state>();
    auto& s = *made;
    s.m_loop = &loop;
    s.m_settings = settings;
    s.m_handler = std::move(handler);
    s.m_connection_handlers.m_on_adopted = [&s](caller_connection& connection)
    {
        s.m_by_evcon.emplace(connection.evcon(), &connection);
    };
    s.m_connection_handlers.m_on_refused = [&s](error const& problem)
    {
        s.on_refused(problem);
    };
    s.m_connection_handlers.m_on_resumable = [&s](caller_connection& connection)
    {
        s.m_resumable.push_back(&connection);
        s.m_deferred->start(core::duration(0));
    };
    s.m_connection_handlers.m_on_closed = [&s](caller_connection& connection)
    {
        s.on_closed(connection);
    };
    auto deferred = timer::create(loop, [&s] { s.run_deferred(); });
    s.m_http = evhttp_new(loop.base());
    if (s.m_http == nullptr || !has_value(deferred))
    {
        return make_error(result_code::system_failure,
                          "cannot create an HTTP server");
    }
    s.m_deferred = take(std::move(deferred));
    evhttp_set_allowed_methods(s.m_http, static_cast<ev_uint16_t>(all_methods));
    // The limits are checked before; a head that is rewritten may be longer
    // than it came, so that evhttp gets more room.
    evhttp_set_max_headers_size(
        s.m_http, static_cast<ev_ssize_t>(2 * settings.m_max_headers_bytes));
    evhttp_set_max_body_size(
        s.m_http, static_cast<ev_ssize_t>(settings.m_max_body_bytes + 1));
    evhttp_set_default_content_type(s.m_http, nullptr);
    auto const microseconds =
        std::chrono::duration_cast<std::chrono::microseconds>(
            settings.m_idle_timeout)
            .count();
    constexpr std::int64_t per_second = 1'000'000;
    timeval const idle{microseconds / per_second, microseconds % per_second};
    evhttp_set_timeout_tv(s.m_http, &idle);
    evhttp_set_bevcb(
        s.m_http,
        [](event_base* /*base*/, void* self)
        { return static_cast<state*>(self)->on_accept(); },
        &s);
    evhttp_set_gencb(
        s.m_http,
        [](evhttp_request* request, void* self)
        { static_cast<state*>(self)->on_request(request); },
        &s);
    s.m_socket = evhttp_bind_socket_with_handle(
        s.m_http, settings.m_address.c_str(), settings.m_port);
    if (s.m_socket == nullptr)
    {
        return make_error(result_code::address_unavailable,
                          "cannot listen on " + settings.m_address + ":" +
                              std::to_string(settings.m_port));
    }
    if (auto const bound =
            local_address(evhttp_bound_socket_get_fd(s.m_socket)))
    {
        s.m_port = get_port(*bound);
    }
    return std::unique_ptr<http_server>(new http_server(std::move(made)));
}

std::uint16_t http_server::port() const noexcept
{
    return m_state->m_port;
}

http_server_counters const& http_server::counters() const noexcept
{
    return m_state->m_counters;
}

void http_server::close_listener()
{
    if (m_state->m_socket != nullptr)
    {
        evhttp_del_accept_socket(m_state->m_http, m_state->m_socket);
        m_state->m_socket = nullptr;
    }
}

} // namespace hawthornspur::net
