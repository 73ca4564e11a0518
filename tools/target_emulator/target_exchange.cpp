#include "target_emulator/target_exchange.hpp"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <nlohmann/json.hpp>

#include <cassert>
#include <utility>

namespace hawthornspur::tools
{

namespace
{

void add_headers(evhttp_request* request, net::http_headers const& headers)
{
    auto* output = evhttp_request_get_output_headers(request);
    for (auto const& [name, value] : headers)
    {
        evhttp_add_header(output, name.c_str(), value.c_str());
    }
}

} // namespace

/// Detects that the caller closes the connection while its request is being
/// processed. evhttp does not, because it reads nothing until the answer is
/// sent.
struct target_exchange::close_watch
{
    event* m_close_event = nullptr;
    ~close_watch()
    {
        if (m_close_event != nullptr)
        {
            event_free(m_close_event);
        }
    }
};

struct target_exchange_access
{
    static void on_connection_closed(evhttp_connection* /*connection*/,
                                     void* self)
    {
        handle_close(static_cast<target_exchange*>(self));
    }

    static void on_caller_closed(int /*fd*/, short /*what*/, void* self)
    {
        auto* exchange = static_cast<target_exchange*>(self);
        if (exchange->m_request != nullptr)
        {
            // Frees the request and calls on_connection_closed.
            evhttp_connection_free(
                evhttp_request_get_connection(exchange->m_request));
        }
    }

    static void on_written(evhttp_connection* /*connection*/, void* self)
    {
        auto* exchange = static_cast<target_exchange*>(self);
        if (exchange->m_request != nullptr && exchange->m_on_drained)
        {
            exchange->m_on_drained();
        }
    }

    static void handle_close(target_exchange* exchange)
    {
        exchange->m_request = nullptr;
        exchange->m_close_watch.reset();
        exchange->m_on_drained = nullptr;
        if (auto action = std::exchange(exchange->m_on_closed, nullptr))
        {
            action();
        }
    }
};

target_exchange::target_exchange(evhttp_request* request)
    : m_request(request)
    , m_close_watch(std::make_unique<close_watch>())
{
    auto* connection = evhttp_request_get_connection(request);
    evhttp_connection_set_closecb(
        connection, &target_exchange_access::on_connection_closed, this);
    auto const fd =
        bufferevent_getfd(evhttp_connection_get_bufferevent(connection));
    m_close_watch->m_close_event =
        event_new(evhttp_connection_get_base(connection), fd, EV_CLOSED,
                  &target_exchange_access::on_caller_closed, this);
    if (m_close_watch->m_close_event != nullptr)
    {
        event_add(m_close_watch->m_close_event, nullptr);
    }
}

target_exchange::~target_exchange()
{
    m_on_closed = nullptr;
    // Closes the connection if the exchange is destroyed without an answer, so
    // that the caller does not wait until its timeout.
    abort();
}

void target_exchange::finish()
{
    evhttp_connection_set_closecb(evhttp_request_get_connection(m_request),
                                  nullptr, nullptr);
    m_close_watch.reset();
    m_request = nullptr;
    m_on_closed = nullptr;
    m_on_drained = nullptr;
}

void target_exchange::reply(net::http_response_head const& head,
                            std::string_view body)
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

void target_exchange::start(net::http_response_head const& head,
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

void target_exchange::write(std::string_view data)
{
    if (m_request == nullptr || data.empty())
    {
        return;
    }
    assert(m_started);
    auto* buffer = evbuffer_new();
    evbuffer_add(buffer, data.data(), data.size());
    evhttp_send_reply_chunk_with_cb(m_request, buffer,
                                    &target_exchange_access::on_written, this);
    evbuffer_free(buffer);
}

void target_exchange::end()
{
    if (m_request == nullptr)
    {
        return;
    }
    auto* request = m_request;
    finish();
    evhttp_send_reply_end(request);
}

void target_exchange::abort()
{
    if (m_request == nullptr)
    {
        return;
    }
    auto* connection = evhttp_request_get_connection(m_request);
    finish();
    evhttp_connection_free(connection);
}

std::size_t target_exchange::buffered_bytes() const
{
    if (m_request == nullptr)
    {
        return 0;
    }
    auto* connection = evhttp_request_get_connection(m_request);
    auto* transport = evhttp_connection_get_bufferevent(connection);
    return evbuffer_get_length(bufferevent_get_output(transport));
}

void target_exchange::set_on_closed(std::function<void()> action)
{
    m_on_closed = std::move(action);
}

void target_exchange::set_on_drained(std::function<void()> action)
{
    m_on_drained = std::move(action);
}

void reply_json(target_exchange& exchange, int status,
                nlohmann::json const& body)
{
    exchange.reply({status, {{"Content-Type", "application/json"}}},
                   body.dump());
}

void reply_error(target_exchange& exchange, error const& problem)
{
    reply_json(exchange, 400,
               {{"code", static_cast<unsigned>(problem.m_code)},
                {"message", problem.m_message}});
}

} // namespace hawthornspur::tools
