#include "net/socket_address.hpp"
#include "serve/caller_server.hpp"
#include "serve/readiness.hpp"
#include "test_cluster.hpp"

#include <doctest/doctest.h>
#include <fcntl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <memory>
#include <vector>

namespace hawthornspur::test
{

namespace
{

/// Connections of callers that do not use them.
class idle_callers
{
public:
    idle_callers(std::uint16_t port, std::size_t count)
    {
        auto const address = net::parse_address("127.0.0.1", port);
        for (std::size_t i = 0; i < count; ++i)
        {
            m_sockets.push_back(::socket(AF_INET, SOCK_STREAM, 0));
            REQUIRE(::connect(m_sockets.back(), address->get(),
                              address->m_length) == 0);
        }
    }
    ~idle_callers()
    {
        for (auto const socket : m_sockets)
        {
            ::close(socket);
        }
    }
    idle_callers(idle_callers const&) = delete;
    idle_callers& operator=(idle_callers const&) = delete;

    /// Connections that the host has closed, the oldest first.
    std::vector<std::size_t> closed() const
    {
        std::vector<std::size_t> indices;
        for (std::size_t i = 0; i < m_sockets.size(); ++i)
        {
            char byte = 0;
            if (::recv(m_sockets[i], &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0)
            {
                indices.push_back(i);
            }
        }
        return indices;
    }

private:
    std::vector<int> m_sockets;
};

/// Leaves this process no free descriptor until it is destroyed.
class no_descriptors
{
public:
    no_descriptors()
    {
        REQUIRE(::getrlimit(RLIMIT_NOFILE, &m_limit) == 0);
        constexpr rlim_t enough = 1024;
        rlimit const lower{std::min(enough, m_limit.rlim_max),
                           m_limit.rlim_max};
        REQUIRE(::setrlimit(RLIMIT_NOFILE, &lower) == 0);
        for (int fd = ::dup(0); fd >= 0; fd = ::dup(0))
        {
            m_descriptors.push_back(fd);
        }
    }
    ~no_descriptors()
    {
        for (auto const fd : m_descriptors)
        {
            ::close(fd);
        }
        ::setrlimit(RLIMIT_NOFILE, &m_limit);
    }
    no_descriptors(no_descriptors const&) = delete;
    no_descriptors& operator=(no_descriptors const&) = delete;

private:
    rlimit m_limit{};
    std::vector<int> m_descriptors;
};

/// A caller whose connection waits to be accepted: its socket is opened before
/// descriptors run out, and connects afterwards.
class waiting_caller
{
public:
    waiting_caller()
        : m_socket(::socket(AF_INET, SOCK_STREAM, 0))
    {
        REQUIRE(m_socket >= 0);
    }
    ~waiting_caller()
    {
        ::close(m_socket);
    }
    waiting_caller(waiting_caller const&) = delete;
    waiting_caller& operator=(waiting_caller const&) = delete;

    void connect(std::uint16_t port) const
    {
        auto const address = net::parse_address("127.0.0.1", port);
        REQUIRE(::connect(m_socket, address->get(), address->m_length) == 0);
    }

private:
    int m_socket;
};

} // namespace

// Guards against a host that says ready and accepts no connection (issue 64).
TEST_CASE("a host that cannot accept connections is not ready")
{
    test_cluster cluster(2, 1);
    auto& host = cluster.host(0);
    REQUIRE(serve::is_ready(host));
    waiting_caller const caller;
    {
        no_descriptors const used_up;
        caller.connect(host.m_caller_server->port());
        cluster.run_for(std::chrono::milliseconds(2000));
        CHECK(host.m_caller_server->counters().m_accepts_failed > 0);
        CHECK(!serve::is_ready(host));
        CHECK(serve::to_string(host.m_readiness.m_fault) == "not_accepting");
        auto const listener = host.m_caller_server->listener();
        CHECK(listener.m_failing_since.has_value());
        CHECK(listener.m_waiting == 1);
        // Nobody tried the other one, whose listener has not failed.
        CHECK(serve::is_ready(cluster.host(1)));
    }
    cluster.run_until([&] { return serve::is_ready(host); });
    CHECK(!host.m_caller_server->listener().m_failing_since);
    CHECK(cluster.send_and_wait(0, "POST", "/x").m_head.m_status == 200);
}

// Guards against an owner whose descriptors are all taken by connections that
// callers do not use: it can neither reach its targets nor other hosts.
TEST_CASE("idle callers leave a host the descriptors that it needs")
{
    test_cluster cluster(2, 2);
    auto const owner = cluster.find_owner(0);
    auto& host = cluster.host(owner);
    host.m_settings.m_max_descriptors = 64;
    serve::update_descriptor_limit(host);
    CHECK(host.m_descriptor_limit == 64);
    constexpr std::size_t connections = 40;
    constexpr std::size_t kept = 8;
    idle_callers const callers(host.m_caller_server->port(), connections);
    cluster.run_until(
        [&] { return callers.closed().size() >= connections - kept; });
    for (int i = 0; i < 10; ++i)
    {
        for (std::size_t sender : {owner, 1 - owner})
        {
            CHECK(cluster.send_and_wait(sender, "POST", "/x").m_head.m_status ==
                  200);
        }
    }
    // The longest idle ones were closed, and none without need.
    auto const closed = callers.closed();
    CHECK(closed.size() <= connections - kept + 2);
    for (std::size_t i = 0; i < closed.size(); ++i)
    {
        CHECK(closed[i] == i);
    }
}

// Guards against callers that come back at once, to the same host first,
// because their refusal names no delay.
TEST_CASE("a host at its limit tells a caller when to come back")
{
    test_cluster cluster(1, 1);
    auto& host = cluster.host(0);
    host.m_settings.m_max_connections = 2;
    REQUIRE(has_value(serve::open_caller_server(host)));
    std::vector<std::shared_ptr<answer>> running;
    for (int i = 0; i < 2; ++i)
    {
        running.push_back(
            cluster.send(0, "POST", "/x", {{"X-Service-Time-Us", "300000"}}));
    }
    cluster.run_until([&] { return cluster.total_run_count() == 2; });
    auto const refused = cluster.send_and_wait(0, "POST", "/x");
    CHECK(refused.m_head.m_status == 503);
    CHECK(get_outcome(refused) == "not-run");
    CHECK(net::find_header(refused.m_head.m_headers, "Retry-After"));
    CHECK(cluster.total_run_count() == 2);
}

} // namespace hawthornspur::test
