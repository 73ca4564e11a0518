#include "test_cluster.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <memory>
#include <string>
#include <vector>

namespace hawthornspur::test
{

namespace
{

/// Number of targets that a request may crash before it is refused.
constexpr std::size_t max_crashes = 3;

constexpr char const* deadly_path = "/deadly";

/// Lets requests to deadly_path crash any target, which is back after 3 s.
void make_deadly(test_cluster& cluster)
{
    for (std::size_t i = 0; i < cluster.target_count(); ++i)
    {
        cluster.set_target_faults(
            i, R"({"deadly_path":"/deadly","crash_time_ms":3000})");
    }
}

answer send_deadly(test_cluster& cluster, std::size_t host)
{
    return cluster.send_and_wait(host, "GET", deadly_path);
}

bool is_served(test_cluster& cluster, std::size_t host, std::string const& path)
{
    return cluster.send_and_wait(host, "GET", path).m_head.m_status == 200;
}

/// Waits until no target is down and all running hosts reach one again.
void wait_until_targets_are_back(test_cluster& cluster)
{
    cluster.run_until(
        [&]
        {
            for (std::size_t i = 0; i < cluster.target_count(); ++i)
            {
                if (cluster.target(i).is_down())
                {
                    return false;
                }
            }
            return true;
        });
    for (std::size_t i = 0; i < cluster.hosts().size(); ++i)
    {
        for (int attempts = 0;
             cluster.is_running(i) && !is_served(cluster, i, "/harmless") &&
             attempts < 100;
             ++attempts)
        {
            cluster.run_for(std::chrono::milliseconds(20));
        }
    }
}

/// Sends copies of the deadly request at all hosts in turn, each after the
/// answer to the one before.
void send_copies(test_cluster& cluster, std::size_t hosts)
{
    for (std::size_t i = 0; i < 3 * hosts; ++i)
    {
        send_deadly(cluster, i % hosts);
    }
    CHECK(cluster.crash_count() <= max_crashes);
    wait_until_targets_are_back(cluster);
}

/// Checks that a copy is refused at this host, without reaching a target.
void check_refused(test_cluster& cluster, std::size_t host,
                   char const* method = "GET")
{
    CAPTURE(host);
    REQUIRE(is_served(cluster, host, "/harmless"));
    auto const before = cluster.deadly_run_count();
    auto const refused = cluster.send_and_wait(host, method, deadly_path);
    CHECK(get_outcome(refused) == "not-run");
    CHECK(net::find_header(refused.m_head.m_headers, "Retry-After"));
    CHECK(cluster.deadly_run_count() == before);
}

} // namespace

// Guards against a request that comes again at every host and crashes target
// after target.
TEST_CASE("a request that crashes targets is refused at all hosts")
{
    test_cluster cluster(3, 6);
    make_deadly(cluster);
    send_copies(cluster, 3);
    for (std::size_t i = 0; i < 6; ++i)
    {
        check_refused(cluster, i % 3);
    }
    CHECK(cluster.crash_count() <= max_crashes);
}

// Guards against an at-most-once request that crashes a target with each copy,
// although no copy is retried.
TEST_CASE("an at-most-once request that crashes targets is refused")
{
    test_cluster cluster(3, 6);
    make_deadly(cluster);
    for (std::size_t i = 0; i < 9; ++i)
    {
        cluster.send_and_wait(i % 3, "POST", deadly_path);
    }
    wait_until_targets_are_back(cluster);
    for (std::size_t i = 0; i < 3; ++i)
    {
        check_refused(cluster, i, "POST");
    }
    CHECK(cluster.crash_count() <= max_crashes);
}

// Guards against hosts that share what they know of crashes through the store.
TEST_CASE("a request that crashes targets is refused while the store is down")
{
    test_cluster cluster(3, 6);
    make_deadly(cluster);
    cluster.set_platform_faults(R"({"outage":true})");
    send_copies(cluster, 3);
    for (std::size_t i = 0; i < 3; ++i)
    {
        check_refused(cluster, i);
    }
    CHECK(cluster.crash_count() <= max_crashes);
}

// Guards against knowledge of crashes that ends with the owner of the pool.
TEST_CASE("the next owner refuses a request that crashed targets")
{
    test_cluster cluster(3, 6);
    make_deadly(cluster);
    auto const owner = cluster.find_owner(0);
    auto const other = (owner + 1) % 3;
    send_copies(cluster, 3);
    cluster.kill(owner);
    cluster.run_until([&] { return cluster.find_owner(other) != owner; });
    cluster.wait_for_agreement(1, 2);
    check_refused(cluster, other);
    check_refused(cluster, (owner + 2) % 3);
    CHECK(cluster.crash_count() <= max_crashes);
}

// Guards against a host that lets a request crash targets again because it
// started after the crashes.
TEST_CASE("a host started after the crashes refuses the request")
{
    test_cluster cluster(2, 6);
    make_deadly(cluster);
    send_copies(cluster, 2);
    cluster.start_host("entry-late");
    cluster.wait_for_agreement(1, 3);
    check_refused(cluster, 2);
    cluster.kill(0);
    cluster.kill(1);
    cluster.run_until([&] { return cluster.find_owner(2) == 2; });
    check_refused(cluster, 2);
    CHECK(cluster.crash_count() <= max_crashes);
}

// Guards against an outage of a whole pool that one request causes.
TEST_CASE("other requests are served while a request crashes targets")
{
    test_cluster cluster(3, 6);
    make_deadly(cluster);
    for (std::size_t i = 0; i < 9; ++i)
    {
        auto const deadly = cluster.send(i % 3, "GET", deadly_path);
        for (std::size_t host = 0; host < 3; ++host)
        {
            CHECK(is_served(cluster, host, "/x" + std::to_string(i)));
        }
        cluster.run_until([&] { return deadly->m_is_done; });
    }
}

// Guards against requests that are lost, or suspected, because they ran next to
// the one that crashed their target.
TEST_CASE("the neighbours of a request that crashes targets are answered")
{
    constexpr std::size_t neighbours = 12;
    test_cluster cluster(3, 6);
    make_deadly(cluster);
    auto const path = [](std::size_t i)
    {
        return "/neighbour-" + std::to_string(i);
    };
    // Successful requests fill the retry budget, without which no lost request
    // is sent again.
    for (std::size_t i = 0; i < 60; ++i)
    {
        CHECK(is_served(cluster, i % 3, "/harmless"));
    }
    std::vector<std::shared_ptr<answer>> answers;
    for (std::size_t i = 0; i < neighbours; ++i)
    {
        answers.push_back(cluster.send(i % 3, "GET", path(i),
                                       {{"X-Service-Time-Us", "300000"}}));
    }
    cluster.run_until([&] { return cluster.total_run_count() >= neighbours; });
    send_deadly(cluster, 0);
    CHECK(cluster.crash_count() <= max_crashes);
    for (auto const& a : answers)
    {
        cluster.run_until([&] { return a->m_is_done; });
        CHECK(a->m_head.m_status == 200);
    }
    for (std::size_t i = 0; i < neighbours; ++i)
    {
        CHECK(is_served(cluster, (i + 1) % 3, path(i)));
    }
}

// Guards against frequent requests that are suspected because all targets run
// them at the moment of an outage.
TEST_CASE("a frequent request is served after many targets ended at once")
{
    test_cluster cluster(3, 4);
    make_deadly(cluster);
    for (int outage = 0; outage < 2; ++outage)
    {
        for (std::size_t i = 0; i < 3; ++i)
        {
            CHECK(is_served(cluster, i, "/frequent"));
        }
        auto const before = cluster.total_run_count();
        std::vector<std::shared_ptr<answer>> answers;
        for (std::size_t i = 0; i < 8; ++i)
        {
            answers.push_back(cluster.send(i % 3, "GET", "/frequent",
                                           {{"X-Service-Time-Us", "500000"}}));
        }
        cluster.run_until([&]
                          { return cluster.total_run_count() >= before + 8; });
        for (std::size_t i = 0; i < cluster.target_count(); ++i)
        {
            cluster.target(i).crash();
        }
        wait_until_targets_are_back(cluster);
        for (std::size_t i = 0; i < 3; ++i)
        {
            CHECK(is_served(cluster, i, "/frequent"));
        }
        for (auto const& a : answers)
        {
            cluster.run_until([&] { return a->m_is_done; });
        }
    }
}

// Guards against requests that are suspected although their targets have not
// ended.
TEST_CASE("a target that closes connections and accepts others accuses nobody")
{
    test_cluster cluster(3, 4);
    for (std::size_t i = 0; i < 4; ++i)
    {
        cluster.set_target_faults(i, R"({"reset_probability":1})");
    }
    for (std::size_t i = 0; i < 12; ++i)
    {
        cluster.send_and_wait(i % 3, "GET", "/unlucky");
    }
    for (std::size_t i = 0; i < 4; ++i)
    {
        cluster.set_target_faults(i, R"({"reset_probability":0})");
    }
    wait_until_targets_are_back(cluster);
    for (std::size_t i = 0; i < 3; ++i)
    {
        CHECK(is_served(cluster, i, "/unlucky"));
    }
}

} // namespace hawthornspur::test
