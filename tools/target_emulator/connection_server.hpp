#ifndef HAWTHORNSPUR_TOOLS_TARGET_EMULATOR_CONNECTION_SERVER_HPP
#define HAWTHORNSPUR_TOOLS_TARGET_EMULATOR_CONNECTION_SERVER_HPP

#include "base/result.hpp"
#include "net/http_server.hpp"
#include "target_emulator/target_exchange.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>
#include <unordered_map>

struct bufferevent;
struct event_base;
struct evhttp;
struct evhttp_request;

namespace hawthornspur::tools
{

/// State of a connection.
struct connection_record
{
    std::uint64_t m_requests = 0;
    /// Requests on this connection are no longer answered.
    bool m_silent = false;
    int m_fd = -1;
};

/// HTTP server that passes the connection of each request to its handler.
/// net::http_server does not expose connections, but some emulated costs and
/// faults apply per connection.
class connection_server
{
public:
    using handler =
        std::function<void(net::http_request, std::shared_ptr<target_exchange>,
                           connection_record&)>;

    /// `on_connection` is called for each accepted connection. Errors:
    /// system_failure, address_unavailable.
    static result<std::unique_ptr<connection_server>>
    create(net::event_loop& loop, net::http_server_settings const& settings,
           handler on_request, std::function<void()> on_connection);
    ~connection_server();
    connection_server(connection_server const&) = delete;
    connection_server& operator=(connection_server const&) = delete;

    std::uint16_t port() const noexcept
    {
        return m_port;
    }

    /// Closes all connections and the listener, as the end of the process does.
    /// New connections are refused until open() is called. Must not be called
    /// by a handler.
    void close();

    /// Listens again on the same port.
    void open();

    bool is_open() const noexcept
    {
        return m_http != nullptr;
    }

    /// Marks all open connections as silent; this cannot be reverted. New
    /// connections are not affected.
    void silence_connections();

    std::uint64_t connections_accepted() const noexcept
    {
        return m_accepted;
    }

private:
    connection_server() = default;
    status create_http_server();
    net::event_loop* m_loop = nullptr;
    net::http_server_settings m_settings;
    static bufferevent* on_accept(event_base* base, void* self);
    static void on_request(evhttp_request* request, void* self);
    handler m_on_request;
    std::function<void()> m_on_connection;
    evhttp* m_http = nullptr;
    std::uint16_t m_port = 0;
    /// Holds the port, without listening, while the server is closed.
    int m_closed_fd = -1;
    std::uint64_t m_accepted = 0;
    /// The address of a freed bufferevent may be reused; on_accept then
    /// replaces the record.
    std::unordered_map<bufferevent*, connection_record> m_records;
};

/// Writes bytes to the connection that are not part of an HTTP answer, to
/// emulate a faulty server.
void write_raw(connection_record const& connection, std::string_view bytes);

} // namespace hawthornspur::tools

#endif
