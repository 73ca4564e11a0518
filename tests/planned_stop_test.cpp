#include "serve/stop.hpp"
#include "test_cluster.hpp"

#include <doctest/doctest.h>

namespace hawthornspur::test
{

// Guards against a planned stop that fails requests: callers send to all hosts
// while the owner stops.
TEST_CASE("a planned stop of the owner fails no request")
{
    test_cluster cluster(3, 2);
    auto const owner = cluster.find_owner(0);
    std::vector<std::shared_ptr<answer>> answers;
    auto const send_round = [&](bool with_owner)
    {
        for (std::size_t i = 0; i < 3; ++i)
        {
            if (i != owner || with_owner)
            {
                answers.push_back(cluster.send(
                    i, "POST", "/x", {{"X-Service-Time-Us", "30000"}}));
            }
        }
        cluster.run_for(std::chrono::milliseconds(20));
    };
    send_round(true);
    serve::begin_stop(cluster.host(owner), "test");
    // Callers use an address answer for its lifetime.
    for (int i = 0; i < 8; ++i)
    {
        send_round(true);
    }
    for (int i = 0; i < 20; ++i)
    {
        send_round(false);
    }
    cluster.run_until(
        [&] {
            return cluster.host(owner).m_stop_stage ==
                   serve::stop_stage::finished;
        });
    cluster.kill(owner);
    send_round(false);
    for (auto const& a : answers)
    {
        cluster.run_until([&] { return a->m_is_done; });
        CHECK(a->m_head.m_status == 200);
    }
}

// Guards against address answers that list a leaving host.
TEST_CASE("address answers omit a leaving host")
{
    test_cluster cluster(3, 1);
    auto const owner = cluster.find_owner(0);
    auto const name = cluster.hosts()[owner]->m_name;
    auto const uri = "/.well-known/hawthornspur/addresses?service=map&zone=a";
    CHECK(
        cluster.send_and_wait(0, "GET", uri).m_body.find("\"" + name + "\"") !=
        std::string::npos);
    serve::begin_stop(cluster.host(owner), "test");
    cluster.run_until([&]
                      { return cluster.find_owner((owner + 1) % 3) != owner; });
    for (std::size_t i = 0; i < 3; ++i)
    {
        auto const body = cluster.send_and_wait(i, "GET", uri).m_body;
        if (i != owner)
        {
            CHECK(body.find("\"" + name + "\"") == std::string::npos);
        }
    }
}

// Guards against a leaving host that refuses callers which still use its
// address, although no other host can own the pool.
TEST_CASE("a leaving host without peers serves until address answers expire")
{
    test_cluster cluster(1, 1);
    CHECK(cluster.send_and_wait(0, "GET", "/x").m_head.m_status == 200);
    serve::begin_stop(cluster.host(0), "test");
    auto const served = cluster.send_and_wait(0, "GET", "/x");
    CHECK_MESSAGE(served.m_head.m_status == 200, get_result_code(served));
}

// Guards against a repeated stop signal that moves the stop deadline.
TEST_CASE("a second stop keeps the deadline of the first")
{
    test_cluster cluster(1, 1);
    auto const slow =
        cluster.send(0, "POST", "/x", {{"X-Service-Time-Us", "600000"}});
    cluster.run_until([&] { return cluster.total_run_count() == 1; });
    serve::begin_stop(cluster.host(0), "first");
    auto const deadline = cluster.host(0).m_stop_deadline;
    serve::begin_stop(cluster.host(0), "second");
    CHECK(cluster.host(0).m_stop_deadline == deadline);
    cluster.run_until([&] { return slow->m_is_done; });
    CHECK(slow->m_head.m_status == 200);
}

} // namespace hawthornspur::test
