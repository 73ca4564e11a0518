#ifndef HAWTHORNSPUR_NET_NET_TEST_SUPPORT_HPP
#define HAWTHORNSPUR_NET_NET_TEST_SUPPORT_HPP

#include "net/event_loop.hpp"
#include "net/socket_address.hpp"
#include "net/socket_options.hpp"

#include <doctest/doctest.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <fcntl.h>
#include <linux/sockios.h>
#include <sys/ioctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace hawthornspur::net
{

/// Ends a test that hangs. No test result depends on how long a test takes.
inline constexpr core::duration test_timeout = std::chrono::seconds(20);

/// Runs the loop until the condition holds. False after test_timeout.
inline bool run_until(event_loop& loop, std::function<bool()> const& condition)
{
    auto const end = event_loop::now() + test_timeout;
    // Wakes the loop, so that the timeout also applies without other events.
    auto wake = take(timer::create(loop, [] {}));
    while (!condition())
    {
        if (event_loop::now() > end)
        {
            return false;
        }
        wake->start(std::chrono::milliseconds(20));
        event_base_loop(loop.base(), EVLOOP_ONCE);
    }
    return true;
}

/// Leaves the process `free` descriptors until the end of the scope.
class descriptor_limit
{
public:
    explicit descriptor_limit(int free)
    {
        REQUIRE(::getrlimit(RLIMIT_NOFILE, &m_previous) == 0);
        while (m_fillers.size() < static_cast<std::size_t>(free))
        {
            m_fillers.push_back(::fcntl(STDERR_FILENO, F_DUPFD_CLOEXEC, 0));
        }
        // Descriptors are given out from the lowest free one.
        auto const next = ::fcntl(STDERR_FILENO, F_DUPFD_CLOEXEC, 0);
        REQUIRE(next >= 0);
        ::close(next);
        for (auto const filler : m_fillers)
        {
            ::close(filler);
        }
        rlimit const lowered{static_cast<rlim_t>(next), m_previous.rlim_max};
        REQUIRE(::setrlimit(RLIMIT_NOFILE, &lowered) == 0);
    }
    ~descriptor_limit()
    {
        ::setrlimit(RLIMIT_NOFILE, &m_previous);
    }
    descriptor_limit(descriptor_limit const&) = delete;
    descriptor_limit& operator=(descriptor_limit const&) = delete;

private:
    rlimit m_previous{};
    std::vector<int> m_fillers;
};

/// Has an event ready in each iteration of the loop, as a busy host has.
class busy_loop
{
public:
    /// `action` is called in each iteration, before timers that are due.
    busy_loop(event_loop& loop, std::function<void()> action)
        : m_action(std::move(action))
    {
        REQUIRE(::socketpair(AF_UNIX, SOCK_STREAM, 0, m_sockets) == 0);
        m_event = event_new(loop.base(), m_sockets[0], EV_WRITE | EV_PERSIST,
                            on_ready, this);
        m_base = loop.base();
        event_add(m_event, nullptr);
    }
    ~busy_loop()
    {
        event_free(m_event);
        ::close(m_sockets[0]);
        ::close(m_sockets[1]);
    }
    busy_loop(busy_loop const&) = delete;
    busy_loop& operator=(busy_loop const&) = delete;

    void run_iterations(int count) const
    {
        for (int i = 0; i < count; ++i)
        {
            event_base_loop(m_base, EVLOOP_ONCE);
        }
    }

private:
    static void on_ready(int /*fd*/, short /*what*/, void* self)
    {
        static_cast<busy_loop*>(self)->m_action();
    }

    std::function<void()> m_action;
    int m_sockets[2] = {-1, -1};
    event* m_event = nullptr;
    event_base* m_base = nullptr;
};

/// A TCP connection that sends arbitrary bytes and stores what it receives.
class raw_connection
{
public:
    /// Connects to a loopback port.
    raw_connection(event_loop& loop, std::uint16_t port)
        : raw_connection(loop, -1, true)
    {
        auto const address = parse_address("127.0.0.1", port);
        bufferevent_socket_connect(m_transport, address->get(),
                                   static_cast<int>(address->m_length));
    }
    /// Takes over an accepted connection.
    raw_connection(event_loop& loop, int fd, bool /*unused*/)
        : m_transport(
              bufferevent_socket_new(loop.base(), fd, BEV_OPT_CLOSE_ON_FREE))
    {
        bufferevent_setcb(m_transport, on_readable, nullptr, on_event, this);
        bufferevent_enable(m_transport, EV_READ | EV_WRITE);
    }
    ~raw_connection()
    {
        bufferevent_free(m_transport);
    }
    raw_connection(raw_connection const&) = delete;
    raw_connection& operator=(raw_connection const&) = delete;

    void send(std::string_view bytes)
    {
        bufferevent_write(m_transport, bytes.data(), bytes.size());
    }
    /// Sends before the event loop runs again. Must be called when unsent() is
    /// 0.
    void send_at_once(std::string_view bytes)
    {
        auto const sent = ::send(bufferevent_getfd(m_transport), bytes.data(),
                                 bytes.size(), MSG_NOSIGNAL);
        REQUIRE(sent == static_cast<ssize_t>(bytes.size()));
    }
    /// Bytes that are sent separately arrive separately.
    void set_no_delay()
    {
        net::set_no_delay(bufferevent_getfd(m_transport));
    }
    /// Blocks until the other side's operating system has all bytes sent.
    void wait_until_acknowledged()
    {
        int pending = 1;
        while (pending != 0)
        {
            REQUIRE(::ioctl(bufferevent_getfd(m_transport), SIOCOUTQ,
                            &pending) == 0);
        }
    }
    /// Closes the sending direction. Must be called after unsent() has become
    /// 0.
    void shut_down()
    {
        ::shutdown(bufferevent_getfd(m_transport), SHUT_WR);
    }
    /// Closes the connection with a reset.
    void reset()
    {
        linger const no_linger{1, 0};
        ::setsockopt(bufferevent_getfd(m_transport), SOL_SOCKET, SO_LINGER,
                     &no_linger, sizeof(no_linger));
        bufferevent_disable(m_transport, EV_READ | EV_WRITE);
        ::shutdown(bufferevent_getfd(m_transport), SHUT_RDWR);
    }
    /// Closes the socket with a reset after the bytes sent so far have been
    /// received by the other side.
    void close_with_reset()
    {
        wait_until_acknowledged();
        linger const no_linger{1, 0};
        ::setsockopt(bufferevent_getfd(m_transport), SOL_SOCKET, SO_LINGER,
                     &no_linger, sizeof(no_linger));
        ::close(bufferevent_getfd(m_transport));
        bufferevent_setfd(m_transport, -1);
    }
    void set_reading(bool enabled)
    {
        enabled ? bufferevent_enable(m_transport, EV_READ)
                : bufferevent_disable(m_transport, EV_READ);
    }
    std::size_t unsent() const
    {
        return evbuffer_get_length(bufferevent_get_output(m_transport));
    }

    std::string m_received;
    bool m_closed = false;
    std::function<void()> m_on_data;

private:
    static void on_readable(bufferevent* transport, void* self)
    {
        auto* connection = static_cast<raw_connection*>(self);
        auto* input = bufferevent_get_input(transport);
        auto const size = evbuffer_get_length(input);
        auto const* bytes = evbuffer_pullup(input, -1);
        connection->m_received.append(reinterpret_cast<char const*>(bytes),
                                      size);
        evbuffer_drain(input, size);
        if (connection->m_on_data)
        {
            connection->m_on_data();
        }
    }
    static void on_event(bufferevent* /*transport*/, short what, void* self)
    {
        if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0)
        {
            static_cast<raw_connection*>(self)->m_closed = true;
        }
    }

    bufferevent* m_transport;
};

/// A TCP listener that stores the connections it accepts.
class raw_listener
{
public:
    explicit raw_listener(event_loop& loop)
        : m_loop(loop)
    {
        auto const address = parse_address("127.0.0.1", 0);
        m_listener = evconnlistener_new_bind(
            loop.base(), on_accept, this, LEV_OPT_CLOSE_ON_FREE, -1,
            address->get(), static_cast<int>(address->m_length));
        m_port = get_port(*local_address(evconnlistener_get_fd(m_listener)));
    }
    ~raw_listener()
    {
        evconnlistener_free(m_listener);
    }
    raw_listener(raw_listener const&) = delete;
    raw_listener& operator=(raw_listener const&) = delete;

    std::uint16_t m_port = 0;
    std::vector<std::unique_ptr<raw_connection>> m_connections;
    std::function<void(raw_connection&)> m_on_connection;

private:
    static void on_accept(evconnlistener* /*listener*/, evutil_socket_t fd,
                          sockaddr* /*from*/, int /*length*/, void* self)
    {
        auto* listener = static_cast<raw_listener*>(self);
        listener->m_connections.push_back(
            std::make_unique<raw_connection>(listener->m_loop, fd, true));
        if (listener->m_on_connection)
        {
            listener->m_on_connection(*listener->m_connections.back());
        }
    }

    event_loop& m_loop;
    evconnlistener* m_listener = nullptr;
};

} // namespace hawthornspur::net

#endif
