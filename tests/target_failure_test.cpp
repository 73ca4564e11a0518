#include "test_cluster.hpp"

#include <doctest/doctest.h>

#include <string>

namespace hawthornspur::test
{

// Guards against a truncated answer that reaches the caller as complete, at
// the owner and at a host that forwards to it.
TEST_CASE("a truncated answer is never complete for the caller")
{
    test_cluster cluster(2, 1);
    cluster.set_target_faults(
        0, R"({"truncate_probability":1,"answer_bytes":100000})");
    for (std::size_t i = 0; i < 2; ++i)
    {
        auto const truncated = cluster.send_and_wait(i, "POST", "/x");
        CAPTURE(i);
        bool const is_refused = get_outcome(truncated) == "unknown";
        bool const is_incomplete =
            truncated.m_outcome != net::exchange_outcome::complete;
        CHECK((is_refused || is_incomplete));
        CHECK(truncated.m_body.size() < 100000);
    }
}

// Guards against answer chunks that are lost, duplicated or delivered to the
// wrong request on the link to the owner.
TEST_CASE("large answers arrive complete through both hosts")
{
    test_cluster cluster(2, 2);
    constexpr std::size_t size = 4U << 20U;
    for (std::size_t i = 0; i < 2; ++i)
    {
        cluster.set_target_faults(i, R"({"answer_bytes":4194304})");
    }
    std::vector<std::shared_ptr<answer>> answers;
    for (std::size_t i = 0; i < 6; ++i)
    {
        answers.push_back(cluster.send(i % 2, "GET", "/big",
                                       {{"X-Request-Id", std::to_string(i)}}));
    }
    for (std::size_t i = 0; i < 6; ++i)
    {
        cluster.run_until([&] { return answers[i]->m_is_done; });
        CHECK(answers[i]->m_outcome == net::exchange_outcome::complete);
        CHECK(answers[i]->m_body.size() == size);
        CHECK(net::find_header(answers[i]->m_head.m_headers, "X-Request-Id") ==
              std::to_string(i));
    }
}

// Guards against request bodies that are corrupted when a second host forwards
// them.
TEST_CASE("large request bodies arrive intact through both hosts")
{
    test_cluster cluster(2, 1);
    std::string const body(700'000, 'b');
    auto const direct =
        cluster.send_and_wait(cluster.find_owner(0), "POST", "/x", {}, body);
    auto const forwarded = cluster.send_and_wait(1 - cluster.find_owner(0),
                                                 "POST", "/x", {}, body);
    CHECK(direct.m_head.m_status == 200);
    CHECK(forwarded.m_head.m_status == 200);
    CHECK(net::find_header(direct.m_head.m_headers, "X-Body-Checksum") ==
          net::find_header(forwarded.m_head.m_headers, "X-Body-Checksum"));
}

// Guards against a routing table that grows with each zone name that a caller
// invents.
TEST_CASE("an unknown zone is served as the zone of the host")
{
    test_cluster cluster(1, 1);
    for (int i = 0; i < 5; ++i)
    {
        auto const served = cluster.send_and_wait(
            0, "GET", "/x",
            {{"Hawthornspur-Zone", "made-up-" + std::to_string(i)}});
        CHECK(served.m_head.m_status == 200);
    }
    CHECK(cluster.host(0).m_routing.m_pool_zones.size() == 1);
}

// Guards against requests to a target that has announced its stop.
TEST_CASE("a draining target gets no requests after its announcement")
{
    test_cluster cluster(2, 2);
    cluster.set_target_faults(0, R"({"draining":true})");
    for (int i = 0; i < 20 && cluster.target_run_count(0) == 0; ++i)
    {
        cluster.send_and_wait(0, "GET", "/x");
    }
    REQUIRE(cluster.target_run_count(0) == 1);
    for (int i = 0; i < 20; ++i)
    {
        CHECK(
            cluster.send_and_wait(static_cast<std::size_t>(i) % 2, "GET", "/x")
                .m_head.m_status == 200);
    }
    CHECK(cluster.target_run_count(0) == 1);
}

// Guards against requests to a target that was removed from the configuration.
TEST_CASE("a target removed from the configuration gets no requests")
{
    test_cluster cluster(2, 2);
    cluster.send_and_wait(0, "GET", "/x");
    auto changed = cluster.document();
    changed.m_generation = 2;
    changed.m_change_id = "change-2";
    changed.m_services[0].m_targets.pop_back();
    cluster.store_configuration(changed);
    cluster.wait_for_agreement(2, 2);
    auto const before = cluster.target_run_count(1);
    for (std::size_t i = 0; i < 10; ++i)
    {
        CHECK(cluster.send_and_wait(i % 2, "GET", "/x").m_head.m_status == 200);
    }
    CHECK(cluster.target_run_count(1) == before);
}

// Guards against a false "not run": a target that sends a malformed answer may
// have run the request.
TEST_CASE("faults after dispatch are never reported as not run")
{
    test_cluster cluster(2, 1);
    cluster.set_target_faults(0, R"({"garbage_probability":1})");
    for (std::size_t i = 0; i < 2; ++i)
    {
        auto const failed = cluster.send_and_wait(i, "POST", "/x");
        CHECK(get_outcome(failed) == "unknown");
    }
}

} // namespace hawthornspur::test
