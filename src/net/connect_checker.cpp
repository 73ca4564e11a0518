#include "net/connect_checker.hpp"

#include "net/event_loop.hpp"
#include "net/socket_address.hpp"

#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/util.h>

#include <cerrno>
#include <utility>

namespace hawthornspur::net
{

namespace
{

/// The listener of a server that ends may close a little later than its
/// connections, and a connection accepted in between is closed with it.
constexpr timeval settling_time{0, 50'000};

} // namespace

struct connect_checker::pending
{
    connect_checker* m_checker = nullptr;
    bufferevent* m_transport = nullptr;
    bool m_is_connected = false;
    std::function<void(connect_result)> m_done;

    pending() = default;
    ~pending()
    {
        if (m_transport != nullptr)
        {
            bufferevent_free(m_transport);
        }
    }
    pending(pending const&) = delete;
    pending& operator=(pending const&) = delete;
};

connect_checker::connect_checker(event_loop& loop)
    : m_loop(loop)
{
}

connect_checker::~connect_checker() = default;

void connect_checker::finish(pending& entry, connect_result result)
{
    auto const done = std::move(entry.m_done);
    m_pending.erase(&entry);
    done(result);
}

void connect_checker::finish_later(pending& entry)
{
    m_loop.post(
        [this, pointer = &entry, lifetime = std::weak_ptr(m_lifetime)]
        {
            if (!lifetime.expired())
            {
                finish(*pointer, connect_result::unknown);
            }
        });
}

void connect_checker::on_event(bufferevent* transport, short events, void* self)
{
    auto const error = EVUTIL_SOCKET_ERROR();
    auto& entry = *static_cast<pending*>(self);
    if ((events & BEV_EVENT_CONNECTED) != 0)
    {
        entry.m_is_connected = true;
        bufferevent_set_timeouts(transport, &settling_time, nullptr);
        bufferevent_enable(transport, EV_READ);
        return;
    }
    bool const is_timeout = (events & BEV_EVENT_TIMEOUT) != 0;
    auto result = connect_result::unknown;
    if (entry.m_is_connected)
    {
        result =
            is_timeout ? connect_result::accepted : connect_result::refused;
    }
    else if (!is_timeout && error == ECONNREFUSED)
    {
        result = connect_result::refused;
    }
    entry.m_checker->finish(entry, result);
}

void connect_checker::check(endpoint const& server, core::duration timeout,
                            std::function<void(connect_result)> done)
{
    auto owned = std::make_unique<pending>();
    auto& entry = *owned;
    entry.m_checker = this;
    entry.m_done = std::move(done);
    m_pending.emplace(&entry, std::move(owned));
    auto const address = parse_address(server.m_address, server.m_port);
    entry.m_transport =
        address ? bufferevent_socket_new(m_loop.base(), -1,
                                         BEV_OPT_CLOSE_ON_FREE |
                                             BEV_OPT_DEFER_CALLBACKS)
                : nullptr;
    if (entry.m_transport == nullptr)
    {
        finish_later(entry);
        return;
    }
    bufferevent_setcb(entry.m_transport, nullptr, nullptr, on_event, &entry);
    auto const microseconds =
        std::chrono::duration_cast<std::chrono::microseconds>(timeout).count();
    constexpr std::int64_t per_second = 1'000'000;
    timeval const limit{microseconds / per_second, microseconds % per_second};
    bufferevent_set_timeouts(entry.m_transport, nullptr, &limit);
    if (bufferevent_socket_connect(entry.m_transport, address->get(),
                                   static_cast<int>(address->m_length)) != 0)
    {
        bufferevent_setcb(entry.m_transport, nullptr, nullptr, nullptr,
                          nullptr);
        finish_later(entry);
    }
}

} // namespace hawthornspur::net
