#include "target_emulator/connection_server.hpp"

#include "net/event_loop.hpp"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <utility>

namespace hawthornspur::tools
{

namespace
{

struct named_method
{
    evhttp_cmd_type m_type;
    char const* m_name;
};

constexpr auto methods = std::to_array<named_method>({
    {EVHTTP_REQ_GET, "GET"},
    {EVHTTP_REQ_POST, "POST"},
    {EVHTTP_REQ_HEAD, "HEAD"},
    {EVHTTP_REQ_PUT, "PUT"},
    {EVHTTP_REQ_DELETE, "DELETE"},
    {EVHTTP_REQ_OPTIONS, "OPTIONS"},
    {EVHTTP_REQ_PATCH, "PATCH"},
});

net::http_request read_request(evhttp_request* request)
{
    net::http_request parsed_request;
    for (auto const& method : methods)
    {
        if (method.m_type == evhttp_request_get_command(request))
        {
            parsed_request.m_method = method.m_name;
        }
    }
    parsed_request.m_uri = evhttp_request_get_uri(request);
    auto* headers = evhttp_request_get_input_headers(request);
    for (auto* header = headers->tqh_first; header != nullptr;
         header = header->next.tqe_next)
    {
        parsed_request.m_headers.emplace_back(header->key, header->value);
    }
    auto* body = evhttp_request_get_input_buffer(request);
    parsed_request.m_body.resize(evbuffer_get_length(body));
    evbuffer_remove(body, parsed_request.m_body.data(),
                    parsed_request.m_body.size());
    return parsed_request;
}

std::uint16_t bound_port(int fd)
{
    sockaddr_in address{};
    socklen_t length = sizeof(address);
    return getsockname(fd, reinterpret_cast<sockaddr*>(&address), &length) == 0
               ? ntohs(address.sin_port)
               : std::uint16_t{0};
}

/// Returns a socket that holds the port, so that no other process can take it.
/// Connections to the port are refused.
int reserve_port(std::string const& host, std::uint16_t port)
{
    int const fd =
        ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    int const enabled = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    inet_pton(AF_INET, host.c_str(), &address.sin_addr);
    static_cast<void>(
        ::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)));
    return fd;
}

} // namespace

connection_server::~connection_server()
{
    if (m_closed_fd >= 0)
    {
        ::close(m_closed_fd);
    }
    if (m_http != nullptr)
    {
        evhttp_free(m_http);
    }
}

result<std::unique_ptr<connection_server>> connection_server::create(
    net::event_loop& loop, net::http_server_settings const& settings,
    handler on_request, std::function<void()> on_connection)
{
    std::unique_ptr<connection_server> server(new connection_server);
    server->m_on_request = std::move(on_request);
    server->m_on_connection = std::move(on_connection);
    server->m_loop = &loop;
    server->m_settings = settings;
    auto created = server->create_http_server();
    if (!has_value(created))
    {
        return failure(created);
    }
    auto* socket = evhttp_bind_socket_with_handle(
        server->m_http, settings.m_address.c_str(), settings.m_port);
    if (socket == nullptr)
    {
        return make_error(result_code::address_unavailable,
                          "cannot listen on " + settings.m_address + ":" +
                              std::to_string(settings.m_port));
    }
    server->m_port = bound_port(evhttp_bound_socket_get_fd(socket));
    return server;
}

status connection_server::create_http_server()
{
    m_http = evhttp_new(m_loop->base());
    if (m_http == nullptr)
    {
        return make_error(result_code::system_failure,
                          "cannot create an HTTP server");
    }
    unsigned allowed = 0;
    for (auto const& method : methods)
    {
        allowed |= method.m_type;
    }
    evhttp_set_allowed_methods(m_http, static_cast<ev_uint16_t>(allowed));
    evhttp_set_max_headers_size(
        m_http, static_cast<ev_ssize_t>(m_settings.m_max_headers_bytes));
    evhttp_set_max_body_size(
        m_http, static_cast<ev_ssize_t>(m_settings.m_max_body_bytes));
    auto const seconds = std::chrono::duration_cast<std::chrono::seconds>(
        m_settings.m_idle_timeout);
    evhttp_set_timeout(m_http, static_cast<int>(seconds.count()));
    evhttp_set_bevcb(m_http, &connection_server::on_accept, this);
    evhttp_set_gencb(m_http, &connection_server::on_request, this);
    return success();
}

void connection_server::close()
{
    evhttp_free(std::exchange(m_http, nullptr));
    m_closed_fd = reserve_port(m_settings.m_address, m_port);
}

void connection_server::open()
{
    int const fd = std::exchange(m_closed_fd, -1);
    if (!has_value(create_http_server()) || ::listen(fd, SOMAXCONN) != 0 ||
        evhttp_accept_socket(m_http, fd) != 0)
    {
        ::close(fd);
    }
}

bufferevent* connection_server::on_accept(event_base* base, void* self)
{
    auto* server = static_cast<connection_server*>(self);
    auto* transport = bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE);
    server->m_records[transport] = {};
    ++server->m_accepted;
    server->m_on_connection();
    return transport;
}

void connection_server::on_request(evhttp_request* request, void* self)
{
    auto* server = static_cast<connection_server*>(self);
    auto* transport = evhttp_connection_get_bufferevent(
        evhttp_request_get_connection(request));
    auto& record = server->m_records[transport];
    ++record.m_requests;
    record.m_fd = bufferevent_getfd(transport);
    if (record.m_requests == 1)
    {
        // With Nagle's algorithm the last part of an answer is delayed by up to
        // 40 ms until the peer acknowledges the part before it.
        int const enabled = 1;
        setsockopt(record.m_fd, IPPROTO_TCP, TCP_NODELAY, &enabled,
                   sizeof(enabled));
    }
    auto parsed_request = read_request(request);
    server->m_on_request(std::move(parsed_request),
                         std::make_shared<target_exchange>(request), record);
}

void connection_server::silence_connections()
{
    for (auto& [transport, record] : m_records)
    {
        record.m_silent = true;
    }
}

void write_raw(connection_record const& connection, std::string_view bytes)
{
    // evhttp writes nothing itself while a request is being processed, so the
    // bytes cannot interleave with an answer.
    static_cast<void>(::send(connection.m_fd, bytes.data(), bytes.size(),
                             MSG_NOSIGNAL | MSG_DONTWAIT));
}

} // namespace hawthornspur::tools
