#include "test_cluster.hpp"

#include <doctest/doctest.h>

#include <algorithm>

namespace hawthornspur::test
{

namespace
{

bool all_done(std::vector<std::shared_ptr<answer>> const& answers)
{
    return std::all_of(answers.begin(), answers.end(),
                       [](auto const& a) { return a->m_done; });
}

} // namespace

// Guards against requests that are lost when the owner of their pool dies:
// reads are repeated through its successor.
TEST_CASE("reads in flight at a killed owner are answered by its successor")
{
    test_cluster cluster(3, 2);
    auto const owner = cluster.owner(0);
    auto const other = (owner + 1) % 3;
    // Retries come from a budget that successes earn.
    for (int i = 0; i < 10; ++i)
    {
        CHECK(cluster.ask(other, "GET", "/x").m_head.m_status == 200);
    }
    std::vector<std::shared_ptr<answer>> answers;
    for (int i = 0; i < 4; ++i)
    {
        answers.push_back(cluster.send(other, "GET", "/x",
                                       {{"X-Service-Time-Us", "100000"}}));
    }
    cluster.run_until([&] { return cluster.total_runs() >= 14; });
    cluster.kill(owner);
    cluster.run_until([&] { return all_done(answers); });
    for (auto const& a : answers)
    {
        CHECK(a->m_head.m_status == 200);
    }
    // The link is lost at once, membership follows after the suspicion time.
    cluster.run_until([&] { return cluster.owner(other) != owner; });
}

// Guards against a host that was paused and goes on as owner although its
// peers have given its pools to others.
TEST_CASE("a paused owner is replaced and rejoins")
{
    test_cluster cluster(3, 2);
    auto const owner = cluster.owner(0);
    auto const other = (owner + 1) % 3;
    cluster.pause(owner);
    cluster.run_until([&] { return cluster.owner(other) != owner; });
    CHECK(cluster.ask(other, "GET", "/x").m_head.m_status == 200);
    cluster.resume(owner);
    cluster.wait_for_agreement(1, 3);
    CHECK(!cluster.host(owner).m_is_isolated);
    CHECK(cluster.ask(owner, "GET", "/x").m_head.m_status == 200);
}

// Guards against hosts that depend on the store for anything but changes.
TEST_CASE("hosts serve and new ones join while the store is down")
{
    test_cluster cluster(2, 2);
    cluster.set_platform_faults(R"({"outage":true})");
    CHECK(cluster.ask(0, "GET", "/x").m_head.m_status == 200);
    cluster.set_platform_faults(R"({"outage":false})");
    cluster.start_host("entry-late");
    // The new host reads the list of hosts once, then the store is gone.
    cluster.run_until(
        [&] { return !core::hosts(*cluster.host(2).m_membership).empty(); });
    cluster.set_platform_faults(R"({"outage":true})");
    cluster.wait_for_agreement(1, 3);
    CHECK(cluster.ask(2, "GET", "/x").m_head.m_status == 200);
}

// Guards against a host that answers before it knows what to do.
TEST_CASE("a host without a configuration refuses as not run")
{
    test_cluster cluster(0, 0);
    cluster.set_platform_faults(R"({"outage":true})");
    cluster.start_host("entry-0");
    auto const refused = cluster.ask(0, "GET", "/x");
    CHECK(code_of(refused) == 2007);
    CHECK(outcome_of(refused) == "not-run");
}

// Guards against a host that starts to serve under a configuration that it
// knows to be outdated.
TEST_CASE("a host that has heard of a newer configuration is not ready")
{
    test_cluster cluster(1, 1);
    cluster.host(0).m_is_ready = false;
    cluster.host(0).m_configuration.m_newest_generation = 2;
    auto const refused = cluster.ask(0, "GET", "/x");
    CHECK(code_of(refused) == 2007);
    CHECK(outcome_of(refused) == "not-run");
}

// Guards against a configuration that reverts when the store answers with old
// data, and against changes that do not reach every host.
TEST_CASE("a change reaches all hosts and an older document is not taken")
{
    test_cluster cluster(3, 1);
    auto changed = cluster.document();
    changed.m_generation = 2;
    changed.m_change_id = "change-2";
    changed.m_services[0].m_max_queue = 7;
    cluster.store(changed);
    cluster.wait_for_agreement(2, 3);
    cluster.store(cluster.document());
    cluster.run_until(
        [&]
        {
            return std::any_of(
                cluster.hosts().begin(), cluster.hosts().end(),
                [](auto const& entry)
                { return entry->m_host->m_configuration.m_stale_offers > 0; });
        });
    for (std::size_t i = 0; i < 3; ++i)
    {
        auto const& in_force = cluster.host(i).m_configuration.m_in_force;
        CHECK(in_force->m_generation == 2);
        CHECK(in_force->m_services[0].m_max_queue == 7);
    }
}

} // namespace hawthornspur::test
