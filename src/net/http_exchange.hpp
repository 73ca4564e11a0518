#ifndef HAWTHORNSPUR_NET_HTTP_EXCHANGE_HPP
#define HAWTHORNSPUR_NET_HTTP_EXCHANGE_HPP

#include "net/http_message.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>

struct evhttp_request;

namespace hawthornspur::net
{

class caller_connection;

/// The answering side of one request. It stays valid for as long as the
/// handler keeps it; after the caller is gone all calls do nothing. Dropping
/// it without a complete answer closes the connection.
class http_exchange
{
public:
    http_exchange(evhttp_request* request, caller_connection& connection);
    ~http_exchange();
    http_exchange(http_exchange const&) = delete;
    http_exchange& operator=(http_exchange const&) = delete;

    /// Sends a whole answer. An answer to HEAD and one with status 204 or 304
    /// is sent without its body. Headers that concern the connection or the
    /// length are replaced, and those with control characters left out.
    void reply(http_response_head const& head, std::string_view body);

    /// Starts a streamed answer. Without a length it is sent in chunks.
    void start(http_response_head const& head,
               std::optional<std::uint64_t> length);
    /// Closes the connection when the data exceeds the announced length.
    void write(std::string_view data);
    /// Ends a streamed answer. Closes the connection when data is missing.
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
    friend class caller_connection;
    struct callbacks;
    struct watch;
    /// The caller is gone.
    void on_gone();
    /// Hands the request back to evhttp, which completes the answer.
    evhttp_request* finish();
    void add_headers(http_response_head const& head);
    bool has_body(int status) const;

    evhttp_request* m_request;
    caller_connection* m_connection;
    bool m_started = false;
    bool m_sends_body = true;
    std::optional<std::uint64_t> m_unsent;
    std::unique_ptr<watch> m_watch;
    std::function<void()> m_on_closed;
    std::function<void()> m_on_drained;
};

} // namespace hawthornspur::net

#endif
