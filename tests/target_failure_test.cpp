#include "test_cluster.hpp"

#include <doctest/doctest.h>

#include <string>

namespace hawthornspur::test
{

// Guards against an answer that is cut short and passed on as whole, through
// the owner and through a host that forwards to it.
TEST_CASE("a truncated answer never looks whole to the caller")
{
    test_cluster cluster(2, 1);
    cluster.set_target_faults(
        0, R"({"truncate_probability":1,"answer_bytes":100000})");
    for (std::size_t i = 0; i < 2; ++i)
    {
        auto const cut = cluster.ask(i, "POST", "/x");
        CAPTURE(i);
        bool const is_refused = outcome_of(cut) == "unknown";
        bool const is_cut = cut.m_outcome != net::exchange_outcome::complete;
        CHECK((is_refused || is_cut));
        CHECK(cut.m_body.size() < 100000);
    }
}

// Guards against pieces of answers that are lost, doubled or mixed up on the
// way through the owner's link.
TEST_CASE("large answers arrive whole through both hosts")
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
        cluster.run_until([&] { return answers[i]->m_done; });
        CHECK(answers[i]->m_outcome == net::exchange_outcome::complete);
        CHECK(answers[i]->m_body.size() == size);
        CHECK(net::find_header(answers[i]->m_head.m_headers, "X-Request-Id") ==
              std::to_string(i));
    }
}

// Guards against request bodies that arrive damaged at the target when they
// pass through a second host.
TEST_CASE("large request bodies arrive whole through both hosts")
{
    test_cluster cluster(2, 1);
    std::string const body(700'000, 'b');
    auto const direct = cluster.ask(cluster.owner(0), "POST", "/x", {}, body);
    auto const forwarded =
        cluster.ask(1 - cluster.owner(0), "POST", "/x", {}, body);
    CHECK(direct.m_head.m_status == 200);
    CHECK(forwarded.m_head.m_status == 200);
    CHECK(net::find_header(direct.m_head.m_headers, "X-Body-Checksum") ==
          net::find_header(forwarded.m_head.m_headers, "X-Body-Checksum"));
}

// Guards against a table of routes that grows with every zone name that a
// caller makes up.
TEST_CASE("an unknown zone is served as the zone of the host")
{
    test_cluster cluster(1, 1);
    for (int i = 0; i < 5; ++i)
    {
        auto const served = cluster.ask(
            0, "GET", "/x",
            {{"Hawthornspur-Zone", "made-up-" + std::to_string(i)}});
        CHECK(served.m_head.m_status == 200);
    }
    CHECK(cluster.host(0).m_routing.m_pool_zones.size() == 1);
}

// Guards against new work for a target that has announced that it is leaving.
TEST_CASE("a draining target gets no work after its announcement")
{
    test_cluster cluster(2, 2);
    cluster.set_target_faults(0, R"({"draining":true})");
    for (int i = 0; i < 20 && cluster.runs_of_target(0) == 0; ++i)
    {
        cluster.ask(0, "GET", "/x");
    }
    REQUIRE(cluster.runs_of_target(0) == 1);
    for (int i = 0; i < 20; ++i)
    {
        CHECK(cluster.ask(static_cast<std::size_t>(i) % 2, "GET", "/x")
                  .m_head.m_status == 200);
    }
    CHECK(cluster.runs_of_target(0) == 1);
}

// Guards against a target taken out of the configuration that still gets work.
TEST_CASE("a target that left the configuration gets no work")
{
    test_cluster cluster(2, 2);
    cluster.ask(0, "GET", "/x");
    auto changed = cluster.document();
    changed.m_generation = 2;
    changed.m_change_id = "change-2";
    changed.m_services[0].m_targets.pop_back();
    cluster.store(changed);
    cluster.wait_for_agreement(2, 2);
    auto const before = cluster.runs_of_target(1);
    for (std::size_t i = 0; i < 10; ++i)
    {
        CHECK(cluster.ask(i % 2, "GET", "/x").m_head.m_status == 200);
    }
    CHECK(cluster.runs_of_target(1) == before);
}

// Guards against a refusal that is false: a target that closes or garbles may
// have run the request.
TEST_CASE("faults after dispatch are never reported as not run")
{
    test_cluster cluster(2, 1);
    cluster.set_target_faults(0, R"({"garbage_probability":1})");
    for (std::size_t i = 0; i < 2; ++i)
    {
        auto const failed = cluster.ask(i, "POST", "/x");
        CHECK(outcome_of(failed) == "unknown");
    }
}

} // namespace hawthornspur::test
