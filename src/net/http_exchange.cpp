#include "net/http_exchange.hpp"

#include "base/text.hpp"
#include "net/caller_connection.hpp"
#include "net/request_head.hpp"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/http_struct.h>

#include <algorithm>
#include <array>
#include <cassert>
#include <string>
#include <utility>

namespace hawthornspur::net
{

namespace
{

/// True for headers that the server sets itself for each connection.
bool is_framing_header(std::string_view name)
{
    static constexpr auto names = std::to_array<std::string_view>(
        {"Content-Length", "Transfer-Encoding", "Connection", "Keep-Alive",
         "Proxy-Connection", "Upgrade", "TE", "Trailer"});
    return std::any_of(names.begin(), names.end(),
                       [&](std::string_view other)
                       { return equals_ignore_case(name, other); });
}

/// Each chunk takes about a kilobyte of memory in evhttp, whatever its size.
/// Chunks are written at once while no more than this waits for the caller.
constexpr std::size_t max_unread_small_chunks = 4096;

std::optional<std::string_view> find_length(http_headers const& headers)
{
    return find_header(headers, "Content-Length");
}

} // namespace

/// Detects that the caller closes the connection while the request is in
/// progress. evhttp does not read from the connection until the answer is sent.
struct http_exchange::close_detector
{
    event* m_close_event = nullptr;
    ~close_detector()
    {
        if (m_close_event != nullptr)
        {
            event_free(m_close_event);
        }
    }
};

struct http_exchange::callbacks
{
    static void on_caller_closed(int /*fd*/, short /*what*/, void* self)
    {
        auto* exchange = static_cast<http_exchange*>(self);
        if (exchange->m_request != nullptr)
        {
            // Frees the request. Its caller_connection then calls
            // on_disconnected().
            evhttp_connection_free(
                evhttp_request_get_connection(exchange->m_request));
        }
    }

    static void on_written(evhttp_connection* /*connection*/, void* self)
    {
        auto* exchange = static_cast<http_exchange*>(self);
        if (exchange->m_request != nullptr && !exchange->m_waiting_data.empty())
        {
            exchange->send_chunk(std::exchange(exchange->m_waiting_data, {}));
            return;
        }
        if (exchange->m_request != nullptr && exchange->m_on_drained)
        {
            // Copied because the action may replace or destroy itself.
            auto const action = exchange->m_on_drained;
            action();
        }
    }
};

http_exchange::http_exchange(evhttp_request* request,
                             caller_connection& connection)
    : m_request(request)
    , m_connection(&connection)
    , m_close_detector(std::make_unique<close_detector>())
{
    auto* transport = evhttp_request_get_connection(request);
    auto const fd =
        bufferevent_getfd(evhttp_connection_get_bufferevent(transport));
    m_close_detector->m_close_event =
        event_new(evhttp_connection_get_base(transport), fd, EV_CLOSED,
                  &callbacks::on_caller_closed, this);
    if (m_close_detector->m_close_event != nullptr)
    {
        event_add(m_close_detector->m_close_event, nullptr);
    }
    connection.set_exchange(this);
}

http_exchange::~http_exchange()
{
    m_on_closed = nullptr;
    // A handler may drop the exchange without an answer. Closing the connection
    // keeps the caller from waiting for it.
    abort();
}

void http_exchange::on_disconnected()
{
    auto* request = std::exchange(m_request, nullptr);
    m_connection = nullptr;
    m_close_detector.reset();
    m_on_drained = nullptr;
    if (evhttp_request_get_connection(request) == nullptr)
    {
        // When the connection breaks, evhttp detaches a request that it has
        // passed to the handler and leaves freeing it to the handler.
        evhttp_request_free(request);
    }
    if (auto action = std::exchange(m_on_closed, nullptr))
    {
        action();
    }
}

evhttp_request* http_exchange::release_request()
{
    m_connection->set_exchange(nullptr);
    m_connection = nullptr;
    m_close_detector.reset();
    m_on_closed = nullptr;
    m_on_drained = nullptr;
    return std::exchange(m_request, nullptr);
}

bool http_exchange::has_body(int status) const
{
    constexpr int no_content = 204;
    constexpr int not_modified = 304;
    return status != no_content && status != not_modified &&
           evhttp_request_get_command(m_request) != EVHTTP_REQ_HEAD;
}

void http_exchange::add_headers(http_response_head const& head)
{
    auto* output = evhttp_request_get_output_headers(m_request);
    for (auto const& [name, text] : head.m_headers)
    {
        if (!is_framing_header(name) && is_token(name) && is_header_value(text))
        {
            evhttp_add_header(output, name.c_str(), text.c_str());
        }
    }
    auto const connection = find_header(head.m_headers, "Connection");
    if (connection && equals_ignore_case(*connection, "close"))
    {
        evhttp_add_header(output, "Connection", "close");
    }
}

bool http_exchange::begin_answer()
{
    if (m_request == nullptr)
    {
        return false;
    }
    assert(!m_is_started);
    m_is_started = true;
    if (m_connection->writer() != answer_writer::exchange)
    {
        abort();
        return false;
    }
    return true;
}

void http_exchange::reply(http_response_head const& head, std::string_view body)
{
    if (!begin_answer())
    {
        return;
    }
    m_has_body = has_body(head.m_status);
    add_headers(head);
    auto* output = evhttp_request_get_output_headers(m_request);
    auto* buffer = evbuffer_new();
    if (m_has_body)
    {
        evhttp_add_header(output, "Content-Length",
                          std::to_string(body.size()).c_str());
        evbuffer_add(buffer, body.data(), body.size());
    }
    else if (evhttp_request_get_command(m_request) == EVHTTP_REQ_HEAD)
    {
        // The length of the answer to the corresponding GET.
        auto const announced = find_length(head.m_headers);
        auto const length = announced && parse_number<std::uint64_t>(*announced)
                                ? std::string(*announced)
                                : std::to_string(body.size());
        evhttp_add_header(output, "Content-Length", length.c_str());
    }
    auto const status = head.m_status;
    auto* request = release_request();
    evhttp_send_reply(request, status, nullptr, buffer);
    evbuffer_free(buffer);
}

void http_exchange::start(http_response_head const& head,
                          std::optional<std::uint64_t> length)
{
    if (!begin_answer())
    {
        return;
    }
    m_has_body = has_body(head.m_status);
    add_headers(head);
    if (length && (m_has_body ||
                   evhttp_request_get_command(m_request) == EVHTTP_REQ_HEAD))
    {
        evhttp_add_header(evhttp_request_get_output_headers(m_request),
                          "Content-Length", std::to_string(*length).c_str());
    }
    m_remaining_length = m_has_body ? length : std::nullopt;
    evhttp_send_reply_start(m_request, head.m_status, nullptr);
}

void http_exchange::write(std::string_view data)
{
    if (m_request == nullptr || data.empty())
    {
        return;
    }
    assert(m_is_started);
    if (!m_has_body)
    {
        return;
    }
    if (m_remaining_length)
    {
        if (data.size() > *m_remaining_length)
        {
            abort();
            return;
        }
        *m_remaining_length -= data.size();
    }
    if (!m_waiting_data.empty() ||
        (m_has_sent_chunk && data.size() < max_unread_small_chunks &&
         buffered_bytes() > max_unread_small_chunks))
    {
        m_waiting_data += data;
        return;
    }
    send_chunk(data);
}

void http_exchange::send_chunk(std::string_view data)
{
    m_has_sent_chunk = true;
    auto* buffer = evbuffer_new();
    evbuffer_add(buffer, data.data(), data.size());
    evhttp_send_reply_chunk_with_cb(m_request, buffer, &callbacks::on_written,
                                    this);
    evbuffer_free(buffer);
}

void http_exchange::end()
{
    if (m_request == nullptr)
    {
        return;
    }
    assert(m_is_started);
    if (m_remaining_length.value_or(0) != 0)
    {
        abort();
        return;
    }
    if (!m_waiting_data.empty())
    {
        send_chunk(std::exchange(m_waiting_data, {}));
    }
    evhttp_send_reply_end(release_request());
}

void http_exchange::abort()
{
    if (m_request == nullptr)
    {
        return;
    }
    auto* connection = evhttp_request_get_connection(m_request);
    release_request();
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
    return evbuffer_get_length(bufferevent_get_output(transport)) +
           m_waiting_data.size();
}

void http_exchange::set_on_closed(std::function<void()> action)
{
    m_on_closed = std::move(action);
}

void http_exchange::set_on_drained(std::function<void()> action)
{
    m_on_drained = std::move(action);
}

} // namespace hawthornspur::net
