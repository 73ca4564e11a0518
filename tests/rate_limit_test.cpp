#include "serve/stop.hpp"
#include "test_cluster.hpp"

#include <doctest/doctest.h>

#include <chrono>
#include <memory>
#include <vector>

namespace hawthornspur::test
{

namespace
{

/// Sends one request and reports whether it was answered by a target.
bool is_served(test_cluster& cluster, std::size_t host)
{
    return cluster.send_and_wait(host, "GET", "/x").m_head.m_status == 200;
}

/// Sends a request that no target can take in time and checks that it is
/// refused at once, not at its deadline.
void check_refused(test_cluster& cluster, std::size_t host)
{
    auto const refused = cluster.send_and_wait(host, "GET", "/x");
    CHECK(get_outcome(refused) == "not-run");
    CHECK(get_result_code(refused) !=
          static_cast<unsigned>(result_code::deadline_passed_in_queue));
}

/// Lets the target advertise the limit and waits until the owner of its pool
/// has informed all hosts.
void advertise(test_cluster& cluster, std::size_t sender,
               std::string const& faults, std::size_t hosts)
{
    cluster.set_target_faults(0, faults);
    REQUIRE(is_served(cluster, sender));
    cluster.run_until(
        [&]
        {
            std::size_t informed = 0;
            for (std::size_t i = 0; i < hosts; ++i)
            {
                informed +=
                    cluster.host(i).m_received_rate_limits.empty() ? 0U : 1U;
            }
            return informed + 1 == hosts;
        });
}

constexpr char const* takes_none =
    R"({"advertise_rate_limit":true,"rate_limit":0})";

} // namespace

// Guards against hosts that each send what a target takes from all of them.
TEST_CASE("all hosts together stay within a target's rate limit")
{
    constexpr double limit = 5;
    test_cluster cluster(3, 2);
    advertise(cluster, 0, R"({"advertise_rate_limit":true,"rate_limit":5})", 3);
    auto const before = cluster.target_run_count(0);
    auto const start = net::event_loop::now();
    std::vector<std::shared_ptr<answer>> answers;
    for (std::size_t i = 0; i < 120; ++i)
    {
        answers.push_back(cluster.send(i % 3, "GET", "/x"));
        cluster.run_for(std::chrono::milliseconds(10));
    }
    for (auto const& a : answers)
    {
        cluster.run_until([&] { return a->m_is_done; });
        CHECK(a->m_head.m_status == 200);
    }
    std::chrono::duration<double> const elapsed =
        net::event_loop::now() - start;
    CHECK(static_cast<double>(cluster.target_run_count(0) - before) <=
          limit * (elapsed.count() + 0.25) + 1);
}

// Guards against a successor that sends to a target in need until the target
// has told it the limit.
TEST_CASE("the successor of a killed owner keeps the rate limits")
{
    test_cluster cluster(3, 1);
    auto const owner = cluster.find_owner(0);
    auto const other = (owner + 1) % 3;
    advertise(cluster, other, takes_none, 3);
    auto const before = cluster.target_run_count(0);
    cluster.kill(owner);
    for (int i = 0; i < 5; ++i)
    {
        check_refused(cluster, other);
    }
    cluster.run_until([&] { return cluster.find_owner(other) != owner; });
    check_refused(cluster, other);
    CHECK(cluster.target_run_count(0) == before);
}

// Guards against messages about limits that grow with the fleet: only hosts
// that may own the pool soon need them.
TEST_CASE("only the next owners of a pool are told the rate limits")
{
    test_cluster cluster(6, 1);
    cluster.set_target_faults(0, takes_none);
    REQUIRE(is_served(cluster, 0));
    cluster.run_for(std::chrono::milliseconds(1'500));
    std::size_t informed = 0;
    for (std::size_t i = 0; i < 6; ++i)
    {
        informed += cluster.host(i).m_received_rate_limits.empty() ? 0U : 1U;
    }
    CHECK(informed == 3);
}

// Guards against a limit that is lost with a planned change of the owner.
TEST_CASE("the next owner after a planned stop keeps the rate limits")
{
    test_cluster cluster(3, 1);
    auto const owner = cluster.find_owner(0);
    auto const other = (owner + 1) % 3;
    advertise(cluster, other, takes_none, 3);
    auto const before = cluster.target_run_count(0);
    serve::begin_stop(cluster.host(owner), "test");
    cluster.run_until([&] { return cluster.find_owner(other) != owner; });
    for (std::size_t i = 0; i < 3; ++i)
    {
        check_refused(cluster, i);
    }
    CHECK(cluster.target_run_count(0) == before);
}

} // namespace hawthornspur::test
