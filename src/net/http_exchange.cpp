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

/// Headers that this host sets itself for each connection.
bool is_framing_header(std::string_view name)
{
    static constexpr auto names = std::to_array<std::string_view>(
        {"Content-Length", "Transfer-Encoding", "Connection", "Keep-Alive",
         "Proxy-Connection", "Upgrade", "TE", "Trailer"});
    return std::any_of(names.begin(), names.end(),
                       [&](std::string_view other)
                       { return equals_ignore_case(name, other); });
}

std::optional<std::string_view> length_of(http_headers const& headers)
{
    return find_header(headers, "Content-Length");
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

struct http_exchange::callbacks
{
    static void on_caller_closed(int /*fd*/, short /*what*/, void* self)
    {
        auto* exchange = static_cast<http_exchange*>(self);
        if (exchange->m_request != nullptr)
        {
            // Frees the request; the connection then calls on_gone().
            evhttp_connection_free(
                evhttp_request_get_connection(exchange->m_request));
        }
    }

    static void on_written(evhttp_connection* /*connection*/, void* self)
    {
        auto* exchange = static_cast<http_exchange*>(self);
        if (exchange->m_request != nullptr && exchange->m_on_drained)
        {
            // A copy, since the action may end or replace itself.
            auto const action = exchange->m_on_drained;
            action();
        }
    }
};

http_exchange::http_exchange(evhttp_request* request,
                             caller_connection& connection)
    : m_request(request)
    , m_connection(&connection)
    , m_watch(std::make_unique<watch>())
{
    auto* transport = evhttp_request_get_connection(request);
    auto const fd =
        bufferevent_getfd(evhttp_connection_get_bufferevent(transport));
    m_watch->m_close_event =
        event_new(evhttp_connection_get_base(transport), fd, EV_CLOSED,
                  &callbacks::on_caller_closed, this);
    if (m_watch->m_close_event != nullptr)
    {
        event_add(m_watch->m_close_event, nullptr);
    }
    connection.set_exchange(this);
}

http_exchange::~http_exchange()
{
    m_on_closed = nullptr;
    // A handler that drops the exchange without an answer must not leave the
    // caller waiting.
    abort();
}

void http_exchange::on_gone()
{
    auto* request = std::exchange(m_request, nullptr);
    m_connection = nullptr;
    m_watch.reset();
    m_on_drained = nullptr;
    if (evhttp_request_get_connection(request) == nullptr)
    {
        // evhttp leaves a request that was handed out to its user when it
        // finds the connection broken.
        evhttp_request_free(request);
    }
    if (auto action = std::exchange(m_on_closed, nullptr))
    {
        action();
    }
}

evhttp_request* http_exchange::finish()
{
    m_connection->set_exchange(nullptr);
    m_connection = nullptr;
    m_watch.reset();
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

void http_exchange::reply(http_response_head const& head, std::string_view body)
{
    if (m_request == nullptr)
    {
        return;
    }
    assert(!m_started);
    m_started = true;
    m_sends_body = has_body(head.m_status);
    add_headers(head);
    auto* output = evhttp_request_get_output_headers(m_request);
    auto* buffer = evbuffer_new();
    if (m_sends_body)
    {
        evhttp_add_header(output, "Content-Length",
                          std::to_string(body.size()).c_str());
        evbuffer_add(buffer, body.data(), body.size());
    }
    else if (evhttp_request_get_command(m_request) == EVHTTP_REQ_HEAD)
    {
        // The length that the answer to GET would have.
        auto const announced = length_of(head.m_headers);
        auto const length = announced && parse_number<std::uint64_t>(*announced)
                                ? std::string(*announced)
                                : std::to_string(body.size());
        evhttp_add_header(output, "Content-Length", length.c_str());
    }
    auto const status = head.m_status;
    auto* request = finish();
    evhttp_send_reply(request, status, nullptr, buffer);
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
    m_sends_body = has_body(head.m_status);
    add_headers(head);
    if (length && (m_sends_body ||
                   evhttp_request_get_command(m_request) == EVHTTP_REQ_HEAD))
    {
        evhttp_add_header(evhttp_request_get_output_headers(m_request),
                          "Content-Length", std::to_string(*length).c_str());
    }
    m_unsent = m_sends_body ? length : std::nullopt;
    evhttp_send_reply_start(m_request, head.m_status, nullptr);
}

void http_exchange::write(std::string_view data)
{
    if (m_request == nullptr || data.empty())
    {
        return;
    }
    assert(m_started);
    if (!m_sends_body)
    {
        return;
    }
    if (m_unsent)
    {
        if (data.size() > *m_unsent)
        {
            abort();
            return;
        }
        *m_unsent -= data.size();
    }
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
    assert(m_started);
    if (m_unsent.value_or(0) != 0)
    {
        abort();
        return;
    }
    evhttp_send_reply_end(finish());
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

} // namespace hawthornspur::net
