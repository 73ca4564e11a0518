#ifndef HAWTHORNSPUR_NET_HTTP_SERVER_HPP
#define HAWTHORNSPUR_NET_HTTP_SERVER_HPP

#include "base/result.hpp"
#include "core/time.hpp"
#include "net/http_message.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

struct evhttp;
struct evhttp_bound_socket;
struct evhttp_request;

namespace hawthornspur::net
{

class event_loop;

struct http_server_settings
{
    std::string m_address;
    /// 0 lets the kernel choose; see http_server::port().
    std::uint16_t m_port = 0;
    std::size_t m_max_headers_bytes = std::size_t{32} << 10U;
    std::size_t m_max_body_bytes = std::size_t{16} << 20U;
    core::duration m_idle_timeout = std::chrono::seconds(60);
};

/// The answering side of one request. It stays valid for as long as the
/// handler keeps it; after the caller is gone all calls do nothing.
class http_exchange
{
public:
    explicit http_exchange(evhttp_request* request);
    ~http_exchange();
    http_exchange(http_exchange const&) = delete;
    http_exchange& operator=(http_exchange const&) = delete;

    /// Sends a whole answer.
    void reply(http_response_head const& head, std::string_view body);

    /// Starts a streamed answer. Without a length it is sent in chunks.
    void start(http_response_head const& head,
               std::optional<std::uint64_t> length);
    void write(std::string_view data);
    void end();

    /// Closes the connection, so that the caller sees that the answer is not
    /// whole.
    void abort();

    /// Bytes that were written and not yet taken by the caller.
    std::size_t buffered_bytes() const;

    bool is_open() const noexcept
    {
        return m_request != nullptr;
    }
    bool is_started() const noexcept
    {
        return m_started;
    }

    /// Called once when the caller closes before the answer is complete.
    void set_on_closed(std::function<void()> action);
    /// Called whenever all written bytes have been taken.
    void set_on_drained(std::function<void()> action);

private:
    friend struct http_exchange_access;
    void finish();
    evhttp_request* m_request;
    bool m_started = false;
    struct watch;
    std::unique_ptr<watch> m_watch;
    std::function<void()> m_on_closed;
    std::function<void()> m_on_drained;
};

using http_request_handler =
    std::function<void(http_request, std::shared_ptr<http_exchange>)>;

/// An HTTP/1.1 server on one address.
class http_server
{
public:
    static result<std::unique_ptr<http_server>>
    create(event_loop& loop, http_server_settings const& settings,
           http_request_handler handler);
    ~http_server();
    http_server(http_server const&) = delete;
    http_server& operator=(http_server const&) = delete;

    std::uint16_t port() const noexcept
    {
        return m_port;
    }

    /// Stops accepting connections; open ones go on.
    void close_listener();

private:
    explicit http_server(http_request_handler handler);
    static void on_request(evhttp_request* request, void* self);
    http_request_handler m_handler;
    evhttp* m_http = nullptr;
    evhttp_bound_socket* m_socket = nullptr;
    std::uint16_t m_port = 0;
};

} // namespace hawthornspur::net

#endif
