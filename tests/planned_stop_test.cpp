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

// Guards against a request that is accepted late in a stop and cut at its end.
// Its caller could have sent it to another host.
TEST_CASE("a stopping host accepts only calls that end before the stop")
{
    test_cluster cluster(1, 1);
    cluster.host(0).m_settings.m_stop_bound = std::chrono::seconds(2);
    cluster.document().m_address_lifetime = std::chrono::seconds(10);
    static_cast<void>(cluster.apply_configuration(cluster.document()));
    cluster.wait_for_agreement(2, 1);
    auto const earlier =
        cluster.send(0, "POST", "/x", {{"X-Service-Time-Us", "1200000"}});
    cluster.run_until([&] { return cluster.total_run_count() == 1; });
    serve::begin_stop(cluster.host(0), "test");
    cluster.run_for(std::chrono::milliseconds(1250));
    std::vector<std::shared_ptr<answer>> long_calls;
    std::vector<std::shared_ptr<answer>> short_calls;
    for (auto const* method : {"GET", "POST"})
    {
        long_calls.push_back(cluster.send(0, method, "/x",
                                          {{"Hawthornspur-Deadline-Ms", "1500"},
                                           {"X-Service-Time-Us", "1000000"}}));
        short_calls.push_back(cluster.send(0, method, "/x",
                                           {{"Hawthornspur-Deadline-Ms", "400"},
                                            {"X-Service-Time-Us", "20000"}}));
    }
    for (auto const& call : long_calls)
    {
        cluster.run_until([&] { return call->m_is_done; });
        CHECK(get_result_code(*call) ==
              static_cast<unsigned>(result_code::host_leaving));
        CHECK(get_outcome(*call) == "not-run");
        CHECK(net::find_header(call->m_head.m_headers, "Retry-After"));
        CHECK(net::find_header(call->m_head.m_headers, "Connection") ==
              "close");
    }
    for (auto const& call : short_calls)
    {
        cluster.run_until([&] { return call->m_is_done; });
        CHECK(call->m_head.m_status == 200);
    }
    cluster.run_until([&] { return earlier->m_is_done; });
    CHECK(earlier->m_head.m_status == 200);
    CHECK(cluster.total_run_count() == 3);
}

// Guards against a repeated stop signal that moves the stop deadline.
TEST_CASE("a second stop keeps the deadline of the first")
{
    test_cluster cluster(1, 1);
    auto const slow =
        cluster.send(0, "POST", "/x", {{"X-Service-Time-Us", "600000"}});
    cluster.run_until([&] { return cluster.total_run_count() == 1; });
    serve::begin_stop(cluster.host(0), "first");
    auto const cut = cluster.host(0).m_stop_schedule.m_cut;
    serve::begin_stop(cluster.host(0), "second");
    CHECK(cluster.host(0).m_stop_schedule.m_cut == cut);
    cluster.run_until([&] { return slow->m_is_done; });
    CHECK(slow->m_head.m_status == 200);
}

} // namespace hawthornspur::test
