#include "net/http_server.hpp"

#include "base/activity.hpp"
#include "base/logging.hpp"
#include "base/text.hpp"
#include "net/caller_connection.hpp"
#include "net/event_loop.hpp"
#include "net/socket_address.hpp"
#include "net/socket_options.hpp"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <limits>
#include <list>
#include <unordered_map>
#include <utility>
#include <vector>

namespace hawthornspur::net
{

namespace
{

constexpr unsigned allowed_methods =
    EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_HEAD | EVHTTP_REQ_PUT |
    EVHTTP_REQ_DELETE | EVHTTP_REQ_OPTIONS | EVHTTP_REQ_PATCH;

/// Shortest time between two searches for idle connections.
constexpr core::duration min_idle_check = std::chrono::milliseconds(50);

/// Connections that have been idle for less are not closed for their number:
/// their callers are about to use them again.
constexpr core::duration min_idle_age = std::chrono::milliseconds(200);

/// A connection and, while no request is in flight on it, its place in the list
/// of idle connections.
struct connection_entry
{
    std::unique_ptr<caller_connection> m_connection;
    std::list<caller_connection*>::iterator m_idle_position;
    bool m_is_idle = false;
    core::time_point m_idle_since{};
};

/// Finds the server of a listener, whose error callback gets no other argument
/// than evhttp's.
std::unordered_map<evconnlistener const*, http_server::state*>&
servers_by_listener()
{
    static thread_local std::unordered_map<evconnlistener const*,
                                           http_server::state*>
        servers;
    return servers;
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
    std::unordered_map<caller_connection*, connection_entry> m_connections;
    /// Connections without a request in flight, the longest idle first.
    std::list<caller_connection*> m_idle_connections;
    std::size_t m_idle_closing_threshold =
        std::numeric_limits<std::size_t>::max();
    std::unordered_map<evhttp_connection*, caller_connection*>
        m_connections_by_evcon;
    /// Accepted in this iteration of the event loop and not read yet.
    std::vector<caller_connection*> m_new_connections;
    /// Refused and not closed yet, the first refused first.
    std::list<caller_connection*> m_refused_connections;
    std::vector<caller_connection*> m_resumable_connections;
    std::unique_ptr<timer> m_deferred_timer;
    std::unique_ptr<timer> m_idle_timer;
    std::unique_ptr<timer> m_accept_timer;
    std::optional<core::time_point> m_accepts_failing_since;
    bool m_is_accepting_paused = false;

    ~state()
    {
        forget_listener();
        for (auto* connection : m_new_connections)
        {
            // Registers the close callback, which evhttp_free() triggers.
            connection->attach();
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
    void on_accept_failed();
    /// Accepts again after a pause. If accepting does not fail for as long,
    /// the failure is over.
    void end_accept_pause();
    void forget_listener() const;
    void set_idle(caller_connection& connection);
    void set_busy(caller_connection& connection);
    /// Connections that were not refused.
    std::size_t admitted_connections() const;
    /// Number of admitted connections above which idle ones are closed.
    std::size_t idle_threshold() const;
    /// Closes the connections that are idle for too long or too many.
    void close_idle_connections();
    /// Decides which of the new connections are served. None of them has been
    /// read, so no request of those that are refused has been passed on.
    void admit_connections();
    void refuse_excess(caller_connection& connection);
    void on_refused(connection_refusal const& refusal);
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
    m_accepts_failing_since.reset();
    ++m_counters.m_connections_accepted;
    ++m_counters.m_connections_open;
    auto owned = std::make_unique<caller_connection>(transport, m_settings,
                                                     m_connection_handlers);
    m_new_connections.push_back(owned.get());
    auto* const raw = owned.get();
    m_connections[raw].m_connection = std::move(owned);
    m_deferred_timer->run_next();
    return transport;
}

void http_server::state::on_accept_failed()
{
    ++m_counters.m_accepts_failed;
    logging::write_process_line(
        logging::level::warn, "net.http", "connection not accepted",
        {{"port", std::to_string(m_port)},
         {"reason", std::strerror(errno)},
         {"open", std::to_string(m_counters.m_connections_open)}});
    if (!m_accepts_failing_since)
    {
        m_accepts_failing_since = event_loop::now();
    }
    m_is_accepting_paused = true;
    evconnlistener_disable(evhttp_bound_socket_get_listener(m_socket));
    m_accept_timer->start(accept_pause);
}

void http_server::state::end_accept_pause()
{
    if (m_socket == nullptr)
    {
        return;
    }
    if (!std::exchange(m_is_accepting_paused, false))
    {
        m_accepts_failing_since.reset();
        return;
    }
    evconnlistener_enable(evhttp_bound_socket_get_listener(m_socket));
    m_accept_timer->start(accept_pause);
}

void http_server::state::forget_listener() const
{
    if (m_socket != nullptr)
    {
        servers_by_listener().erase(evhttp_bound_socket_get_listener(m_socket));
    }
}

void http_server::state::set_idle(caller_connection& connection)
{
    auto& entry = m_connections.at(&connection);
    set_busy(connection);
    entry.m_is_idle = true;
    entry.m_idle_since = event_loop::now();
    entry.m_idle_position =
        m_idle_connections.insert(m_idle_connections.end(), &connection);
    if (m_idle_connections.size() == 1)
    {
        m_idle_timer->start(m_settings.m_idle_timeout);
    }
}

void http_server::state::set_busy(caller_connection& connection)
{
    auto& entry = m_connections.at(&connection);
    if (std::exchange(entry.m_is_idle, false))
    {
        m_idle_connections.erase(entry.m_idle_position);
    }
}

std::size_t http_server::state::admitted_connections() const
{
    return m_connections.size() - m_refused_connections.size();
}

std::size_t http_server::state::idle_threshold() const
{
    return std::min(m_idle_closing_threshold, m_settings.m_max_connections);
}

void http_server::state::close_idle_connections()
{
    auto const now = event_loop::now();
    auto next = m_idle_connections.begin();
    while (next != m_idle_connections.end())
    {
        auto* const connection = *next++;
        auto const age = now - m_connections.at(connection).m_idle_since;
        bool const is_surplus =
            admitted_connections() > idle_threshold() && age >= min_idle_age;
        if (age < m_settings.m_idle_timeout && !is_surplus)
        {
            break;
        }
        // One that is receiving a request is idle again once it is answered.
        if (connection->is_idle())
        {
            ++m_counters.m_idle_closed;
            connection->close();
        }
    }
    if (!m_idle_connections.empty())
    {
        auto const oldest = m_idle_connections.front();
        auto const at =
            m_connections.at(oldest).m_idle_since + m_settings.m_idle_timeout;
        // The oldest one may be due and in the middle of receiving a request.
        m_idle_timer->start(admitted_connections() > idle_threshold()
                                ? min_idle_check
                                : std::max(min_idle_check, at - now));
    }
}

void http_server::state::on_refused(connection_refusal const& refusal)
{
    auto const& problem = refusal.m_problem;
    ++m_counters.m_refused[problem.m_code];
    m_counters.m_refused_in_flight += refusal.m_is_request_in_flight ? 1 : 0;
    logging::write(
        logging::level::warn, "net.http", "request refused",
        {{"code", std::to_string(static_cast<unsigned>(problem.m_code))},
         {"reason", problem.m_message},
         {"requests", std::to_string(refusal.m_requests)},
         {"in_flight", refusal.m_is_request_in_flight ? "yes" : "no"},
         {"age_ms", milliseconds_text(refusal.m_age)},
         {"open", std::to_string(m_counters.m_connections_open)}});
}

void http_server::state::on_closed(caller_connection& connection)
{
    diagnostics::record_activity("server.closed");
    --m_counters.m_connections_open;
    m_counters.m_callers_disconnected +=
        connection.has_disconnected_early() ? 1 : 0;
    if (connection.has_partial_request())
    {
        ++m_counters.m_requests_incomplete;
    }
    set_busy(connection);
    std::erase(m_new_connections, &connection);
    m_refused_connections.remove(&connection);
    std::erase(m_resumable_connections, &connection);
    m_connections_by_evcon.erase(connection.evcon());
    m_connections.erase(&connection);
}

void http_server::state::admit_connections()
{
    auto const accepted = std::exchange(m_new_connections, {});
    for (auto* connection : accepted)
    {
        connection->attach();
    }
    if (admitted_connections() > idle_threshold())
    {
        close_idle_connections();
    }
    for (auto next = accepted.rbegin();
         next != accepted.rend() &&
         admitted_connections() > m_settings.m_max_connections;
         ++next)
    {
        // A process that was suspended here may have closed them as idle.
        if (m_connections.contains(*next))
        {
            refuse_excess(**next);
        }
    }
}

void http_server::state::refuse_excess(caller_connection& connection)
{
    set_busy(connection);
    m_refused_connections.push_back(&connection);
    connection.refuse(
        {result_code::too_many_connections, "too many connections"});
    while (m_refused_connections.size() >
               m_settings.m_max_refused_connections &&
           m_refused_connections.front()->is_refusal_sent())
    {
        m_refused_connections.front()->close();
    }
}

void http_server::state::run_deferred()
{
    diagnostics::activity_scope const scope("server.deferred");
    admit_connections();
    auto const waiting = std::move(m_resumable_connections);
    m_resumable_connections.clear();
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
    diagnostics::activity_scope const scope("server.request");
    // Present, since connections are attached before they are read.
    auto* connection =
        m_connections_by_evcon.at(evhttp_request_get_connection(request));
    ++m_counters.m_requests;
    set_busy(*connection);
    auto received = connection->take_request(request);
    auto exchange = std::make_shared<http_exchange>(request, *connection);
    if (!received)
    {
        // Nobody sent this request; dropping the exchange closes the
        // connection.
        logging::write(logging::level::error, "net.http",
                       "connection closed, unvalidated bytes were parsed");
        return;
    }
    if (connection->has_caller_left())
    {
        // A late host would pass on requests whose callers have given up.
        ++m_counters.m_requests_abandoned;
        return;
    }
    m_handler(std::move(*received), std::move(exchange));
}

http_server::http_server(std::unique_ptr<state> owned_state)
    : m_state(std::move(owned_state))
{
}

http_server::~http_server() = default;

result<std::unique_ptr<http_server>>
http_server::create(event_loop& loop, http_server_settings const& settings,
                    http_request_handler handler)
{
    auto owned_state = std::make_unique<state>();
    auto& server = *owned_state;
    server.m_loop = &loop;
    server.m_settings = settings;
    server.m_handler = std::move(handler);
    server.m_connection_handlers.m_on_attached =
        [&server](caller_connection& connection)
    {
        server.m_connections_by_evcon.emplace(connection.evcon(), &connection);
        server.set_idle(connection);
    };
    server.m_connection_handlers.m_on_idle =
        [&server](caller_connection& connection)
    {
        server.set_idle(connection);
    };
    server.m_connection_handlers.m_on_refused =
        [&server](connection_refusal const& refusal)
    {
        server.on_refused(refusal);
    };
    server.m_connection_handlers.m_on_resumable =
        [&server](caller_connection& connection)
    {
        server.m_resumable_connections.push_back(&connection);
        server.m_deferred_timer->run_next();
    };
    server.m_connection_handlers.m_on_closed =
        [&server](caller_connection& connection)
    {
        server.on_closed(connection);
    };
    auto deferred = timer::create(loop, [&server] { server.run_deferred(); });
    auto idle_check =
        timer::create(loop, [&server] { server.close_idle_connections(); });
    auto accepting =
        timer::create(loop, [&server] { server.end_accept_pause(); });
    server.m_http = evhttp_new(loop.base());
    if (server.m_http == nullptr || !has_value(deferred) ||
        !has_value(idle_check) || !has_value(accepting))
    {
        return make_error(result_code::system_failure,
                          "cannot create an HTTP server");
    }
    server.m_deferred_timer = take(std::move(deferred));
    server.m_idle_timer = take(std::move(idle_check));
    server.m_accept_timer = take(std::move(accepting));
    evhttp_set_allowed_methods(server.m_http,
                               static_cast<ev_uint16_t>(allowed_methods));
    // request_framer enforces the limits and hands evhttp no bodies.
    evhttp_set_max_body_size(server.m_http, 0);
    evhttp_set_default_content_type(server.m_http, nullptr);
    auto const microseconds =
        std::chrono::duration_cast<std::chrono::microseconds>(
            settings.m_idle_timeout)
            .count();
    constexpr std::int64_t per_second = 1'000'000;
    timeval const idle{microseconds / per_second, microseconds % per_second};
    evhttp_set_timeout_tv(server.m_http, &idle);
    evhttp_set_bevcb(
        server.m_http,
        [](event_base* /*base*/, void* self)
        { return static_cast<state*>(self)->on_accept(); },
        &server);
    evhttp_set_gencb(
        server.m_http,
        [](evhttp_request* request, void* self)
        { static_cast<state*>(self)->on_request(request); },
        &server);
    server.m_socket = evhttp_bind_socket_with_handle(
        server.m_http, settings.m_address.c_str(), settings.m_port);
    if (server.m_socket == nullptr)
    {
        return make_error(result_code::address_unavailable,
                          "cannot listen on " + settings.m_address + ":" +
                              std::to_string(settings.m_port));
    }
    auto* listener = evhttp_bound_socket_get_listener(server.m_socket);
    servers_by_listener()[listener] = &server;
    evconnlistener_set_error_cb(listener,
                                [](evconnlistener* failed, void* /*evhttp*/)
                                {
                                    auto const found =
                                        servers_by_listener().find(failed);
                                    if (found != servers_by_listener().end())
                                    {
                                        found->second->on_accept_failed();
                                    }
                                });
    if (auto const bound =
            local_address(evhttp_bound_socket_get_fd(server.m_socket)))
    {
        server.m_port = get_port(*bound);
    }
    return std::unique_ptr<http_server>(
        new http_server(std::move(owned_state)));
}

std::uint16_t http_server::port() const noexcept
{
    return m_state->m_port;
}

http_server_counters const& http_server::counters() const noexcept
{
    return m_state->m_counters;
}

std::optional<core::time_point>
http_server::accepts_failing_since() const noexcept
{
    return m_state->m_accepts_failing_since;
}

listener_state http_server::listener() const
{
    listener_state result;
    result.m_failing_since = m_state->m_accepts_failing_since;
    result.m_is_closed = m_state->m_socket == nullptr;
    if (!result.m_is_closed)
    {
        tcp_info info{};
        socklen_t size = sizeof(info);
        if (::getsockopt(evhttp_bound_socket_get_fd(m_state->m_socket),
                         IPPROTO_TCP, TCP_INFO, &info, &size) == 0)
        {
            // Of a listening socket, Linux reports the length of its queue.
            result.m_waiting = info.tcpi_unacked;
        }
    }
    return result;
}

std::size_t http_server::unfinished_answers() const
{
    auto const& all = m_state->m_connections;
    return static_cast<std::size_t>(
        std::count_if(all.begin(), all.end(),
                      [](auto const& entry)
                      { return entry.first->has_unfinished_answer(); }));
}

void http_server::set_idle_timeout(core::duration timeout)
{
    m_state->m_settings.m_idle_timeout = timeout;
    m_state->m_idle_timer->start(core::duration(0));
}

void http_server::close_idle_above(std::size_t connections)
{
    m_state->m_idle_closing_threshold = connections;
    if (m_state->admitted_connections() > m_state->idle_threshold())
    {
        m_state->m_idle_timer->start(core::duration(0));
    }
}

void http_server::close_listener()
{
    if (m_state->m_socket != nullptr)
    {
        m_state->forget_listener();
        evhttp_del_accept_socket(m_state->m_http, m_state->m_socket);
        m_state->m_socket = nullptr;
    }
}

} // namespace hawthornspur::net
