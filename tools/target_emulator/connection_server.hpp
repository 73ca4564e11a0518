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

/// What is known about the connection of a request.
struct connection_record
{
    std::uint64_t m_requests = 0;
    /// Nothing is answered on it any more.
    bool m_silent = false;
    int m_fd = -1;
};

/// An HTTP server that shows its handler the connection of each request.
/// net::http_server hides it, but a target has costs and faults that belong
/// to a connection.
class connection_server
{
public:
    using handler =
        std::function<void(net::http_request, std::shared_ptr<target_exchange>,
                           connection_record&)>;

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

    /// Makes every open connection silent for ever; new ones work.
    void silence_connections();

    std::uint64_t connections_accepted() const noexcept
    {
        return m_accepted;
    }

private:
    connection_server() = default;
    static bufferevent* on_accept(event_base* base, void* self);
    static void on_request(evhttp_request* request, void* self);
    handler m_on_request;
    std::function<void()> m_on_connection;
    evhttp* m_http = nullptr;
    std::uint16_t m_port = 0;
    std::uint64_t m_accepted = 0;
    /// A freed transport's address may be used again; on_accept then replaces
    /// its record.
    std::unordered_map<bufferevent*, connection_record> m_records;
};

/// Writes bytes on a connection outside any HTTP answer, as a faulty server
/// does.
void write_raw(connection_record const& connection, std::string_view bytes);

} // namespace hawthornspur::tools

#endif
