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

/// Sends the answer to one request. Once the caller has disconnected, all calls
/// do nothing. Destroying the exchange before the answer is complete closes the
/// connection.
class http_exchange
{
public:
    http_exchange(evhttp_request* request, caller_connection& connection);
    ~http_exchange();
    http_exchange(http_exchange const&) = delete;
    http_exchange& operator=(http_exchange const&) = delete;

    /// Sends a whole answer. An answer to HEAD and one with status 204 or 304
    /// is sent without its body. Headers that concern the connection or the
    /// length are replaced; invalid names and values with control characters
    /// are dropped.
    void reply(http_response_head const& head, std::string_view body);

    /// Starts a streamed answer, with the chunked coding if there is no length.
    void start(http_response_head const& head,
               std::optional<std::uint64_t> length);
    /// Sends data of a streamed answer. Closes the connection if the data
    /// exceeds the announced length.
    void write(std::string_view data);
    /// Ends a streamed answer. Closes the connection if it is shorter than the
    /// announced length.
    void end();

    /// Closes the connection, by which the caller detects that the answer is
    /// incomplete.
    void abort();

    /// Bytes that were written but are not in the socket yet.
    std::size_t buffered_bytes() const;

    bool is_open() const noexcept
    {
        return m_request != nullptr;
    }
    bool is_started() const noexcept
    {
        return m_is_started;
    }

    /// Sets the action to call once if the caller disconnects before the answer
    /// is complete.
    void set_on_closed(std::function<void()> action);
    /// Sets the action to call whenever all data of a streamed answer has been
    /// written to the socket.
    void set_on_drained(std::function<void()> action);

private:
    friend class caller_connection;
    struct callbacks;
    struct close_detector;
    void on_disconnected();
    /// Detaches from the connection and returns the request to evhttp.
    evhttp_request* release_request();
    /// Whether the answer is this exchange's to write; closes the connection
    /// otherwise.
    bool begin_answer();
    void add_headers(http_response_head const& head);
    bool has_body(int status) const;
    /// Sends data as one chunk.
    void send_chunk(std::string_view data);

    evhttp_request* m_request;
    caller_connection* m_connection;
    bool m_is_started = false;
    bool m_has_body = true;
    /// evhttp reports when the caller has been sent everything, which it does
    /// not for a head alone.
    bool m_has_sent_chunk = false;
    /// Bytes of the announced length that have not been written.
    std::optional<std::uint64_t> m_remaining_length;
    std::unique_ptr<close_detector> m_close_detector;
    std::function<void()> m_on_closed;
    /// Small parts of the body that wait until the caller has read what was
    /// written before.
    std::string m_waiting_data;
    std::function<void()> m_on_drained;
};

} // namespace hawthornspur::net

#endif
