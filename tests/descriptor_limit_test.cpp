#include "net/socket_address.hpp"
#include "serve/caller_server.hpp"
#include "test_cluster.hpp"

#include <doctest/doctest.h>
#include <sys/socket.h>
#include <unistd.h>

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

} // namespace

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
