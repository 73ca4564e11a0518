#include "net/http_server.hpp"

#include "net/event_loop.hpp"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <sys/socket.h>

#include <cassert>
#include <utility>

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
    auto* body = evhttp_request_get_input_buffer(request);
    auto const size = evbuffer_get_length(body);
    read.m_body.resize(size);
    if (size > 0)
    {
        evbuffer_remove(body, read.m_body.data(), size);
    }
    return read;
}

void add_headers(evhttp_request* request, http_headers const& headers)
{
    auto* output = evhttp_request_get_output_headers(request);
    for (auto const& [name, value] : headers)
    {
        evhttp_add_header(output, name.c_str(), value.c_str());
    }
}

std::uint16_t bound_port(int fd)
{
    sockaddr_storage storage{};
    socklen_t length = sizeof(storage);
    if (getsockname(fd, reinterpret_cast<sockaddr*>(&storage), &length) != 0)
    {
        return 0;
    }
    if (storage.ss_family == AF_INET6)
    {
        return ntohs(reinterpret_cast<sockaddr_in6*>(&storage)->sin6_port);
    }
    return ntohs(reinterpret_cast<sockaddr_in*>(&storage)->sin_port);
}

} // namespace

/// Sees the caller closing its side while the request is being worked on.
/// evhttp itself reads nothing until the answer is sent and would not notice.
struct http_exchange::watch
{
    event* m_close_event = nullptr;
    ~watch()
    {
        if (m_close_event != nullptr)
        {
            event_free(m_close_event);
        }
    }
};

struct http_exchange_access
{
    static void on_connection_closed(evhttp_connection* /*connection*/,
                                     void* self)
    {
        gone(static_cast<http_exchange*>(self));
    }

    static void on_caller_closed(int /*fd*/, short /*what*/, void* self)
    {
        auto* exchange = static_cast<http_exchange*>(self);
        if (exchange->m_request != nullptr)
        {
            // Frees the request and calls on_connection_closed.
            evhttp_connection_free(
                evhttp_request_get_connection(exchange->m_request));
        }
    }

    static void on_written(evhttp_connection* /*connection*/, void* self)
    {
        auto* exchange = static_cast<http_exchange*>(self);
        if (exchange->m_request != nullptr && exchange->m_on_drained)
        {
            exchange->m_on_drained();
        }
    }

    static void gone(http_exchange* exchange)
    {
        exchange->m_request = nullptr;
        exchange->m_watch.reset();
        exchange->m_on_drained = nullptr;
        if (auto action = std::exchange(exchange->m_on_closed, nullptr))
        {
            action();
        }
    }
};

http_exchange::http_exchange(evhttp_request* request)
    : m_request(request)
    , m_watch(std::make_unique<watch>())
{
    auto* connection = evhttp_request_get_connection(request);
    evhttp_connection_set_closecb(
        connection, &http_exchange_access::on_connection_closed, this);
    auto const fd =
        bufferevent_getfd(evhttp_connection_get_bufferevent(connection));
    m_watch->m_close_event =
        event_new(evhttp_connection_get_base(connection), fd, EV_CLOSED,
                  &http_exchange_access::on_caller_closed, this);
    if (m_watch->m_close_event != nullptr)
    {
        event_add(m_watch->m_close_event, nullptr);
    }
}

http_exchange::~http_exchange()
{
    m_on_closed = nullptr;
    // A handler that drops the exchange without an answer must not leave the
    // caller waiting.
    abort();
}

void http_exchange::finish()
{
    evhttp_connection_set_closecb(evhttp_request_get_connection(m_request),
                                  nullptr, nullptr);
    m_watch.reset();
    m_request = nullptr;
    m_on_closed = nullptr;
    m_on_drained = nullptr;
}

void http_exchange::reply(http_response_head const& head, std::string_view body)
{
    if (m_request == nullptr)
    {
        return;
    }
    assert(!m_started);
    m_started = true;
    add_headers(m_request, head.m_headers);
    auto* buffer = evbuffer_new();
    evbuffer_add(buffer, body.data(), body.size());
    auto* request = m_request;
    finish();
    evhttp_send_reply(request, head.m_status, nullptr, buffer);
    evbuffer_free(buffer);
}

void http_exchange::start(http_response_head const& head,
                          std::optional<std::uint64_t> length)
{
    if (m_request == nullptr)
    {
        return;
    }
    assert(!m_started);
    m_started = true;
    add_headers(m_request, head.m_headers);
    if (length)
    {
        evhttp_add_header(evhttp_request_get_output_headers(m_request),
                          "Content-Length", std::to_string(*length).c_str());
    }
    evhttp_send_reply_start(m_request, head.m_status, nullptr);
}

void http_exchange::write(std::string_view data)
{
    if (m_request == nullptr || data.empty())
    {
        return;
    }
    assert(m_started);
    auto* buffer = evbuffer_new();
    evbuffer_add(buffer, data.data(), data.size());
    evhttp_send_reply_chunk_with_cb(m_request, buffer,
                                    &http_exchange_access::on_written, this);
    evbuffer_free(buffer);
}

void http_exchange::end()
{
    if (m_request == nullptr)
    {
        return;
    }
    auto* request = m_request;
    finish();
    evhttp_send_reply_end(request);
}

void http_exchange::abort()
{
    if (m_request == nullptr)
    {
        return;
    }
    auto* connection = evhttp_request_get_connection(m_request);
    finish();
    evhttp_connection_free(connection);
}

std::size_t http_exchange::buffered_bytes() const
{
    if (m_request == nullptr)
    {
        return 0;
    }
    auto* connection = evhttp_request_get_connection(m_request);
    auto* transport = evhttp_connection_get_bufferevent(connection);
    return evbuffer_get_length(bufferevent_get_output(transport));
}

void http_exchange::set_on_closed(std::function<void()> action)
{
    m_on_closed = std::move(action);
}

void http_exchange::set_on_drained(std::function<void()> action)
{
    m_on_drained = std::move(action);
}

http_server::http_server(http_request_handler handler)
    : m_handler(std::move(handler))
{
}

http_server::~http_server()
{
    if (m_http != nullptr)
    {
        evhttp_free(m_http);
    }
}

result<std::unique_ptr<http_server>>
http_server::create(event_loop& loop, http_server_settings const& settings,
                    http_request_handler handler)
{
    std::unique_ptr<http_server> server(new http_server(std::move(handler)));
    server->m_http = evhttp_new(loop.base());
    if (server->m_http == nullptr)
    {
        return make_error(result_code::system_failure,
                          "cannot create an HTTP server");
    }
    evhttp_set_allowed_methods(server->m_http,
                               static_cast<ev_uint16_t>(all_methods));
    evhttp_set_max_headers_size(
        server->m_http, static_cast<ev_ssize_t>(settings.m_max_headers_bytes));
    evhttp_set_max_body_size(
        server->m_http, static_cast<ev_ssize_t>(settings.m_max_body_bytes));
    evhttp_set_default_content_type(server->m_http, nullptr);
    auto const seconds = std::chrono::duration_cast<std::chrono::seconds>(
        settings.m_idle_timeout);
    evhttp_set_timeout(server->m_http, static_cast<int>(seconds.count()));
    evhttp_set_gencb(server->m_http, &http_server::on_request, server.get());
    server->m_socket = evhttp_bind_socket_with_handle(
        server->m_http, settings.m_address.c_str(), settings.m_port);
    if (server->m_socket == nullptr)
    {
        return make_error(result_code::address_unavailable,
                          "cannot listen on " + settings.m_address + ":" +
                              std::to_string(settings.m_port));
    }
    server->m_port = bound_port(evhttp_bound_socket_get_fd(server->m_socket));
    return server;
}

void http_server::on_request(evhttp_request* request, void* self)
{
    auto* server = static_cast<http_server*>(self);
    auto read = read_request(request);
    server->m_handler(std::move(read),
                      std::make_shared<http_exchange>(request));
}

void http_server::close_listener()
{
    if (m_socket != nullptr)
    {
        evhttp_del_accept_socket(m_http, m_socket);
        m_socket = nullptr;
    }
}

} // namespace hawthornspur::net
