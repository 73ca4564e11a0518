#include "test_cluster.hpp"

#include <doctest/doctest.h>

#include <algorithm>

namespace hawthornspur::test
{

namespace
{

bool are_all_done(std::vector<std::shared_ptr<answer>> const& answers)
{
    return std::all_of(answers.begin(), answers.end(),
                       [](auto const& a) { return a->m_is_done; });
}

} // namespace

// Guards against lost reads when the owner of their pool is killed: the entry
// host must retry them at the new owner.
TEST_CASE("reads in flight at a killed owner are answered by its successor")
{
    test_cluster cluster(3, 2);
    auto const owner = cluster.find_owner(0);
    auto const other = (owner + 1) % 3;
    // Successful requests fill the retry budget.
    for (int i = 0; i < 10; ++i)
    {
        CHECK(cluster.send_and_wait(other, "GET", "/x").m_head.m_status == 200);
    }
    std::vector<std::shared_ptr<answer>> answers;
    for (int i = 0; i < 4; ++i)
    {
        answers.push_back(cluster.send(other, "GET", "/x",
                                       {{"X-Service-Time-Us", "100000"}}));
    }
    cluster.run_until([&] { return cluster.total_run_count() >= 14; });
    cluster.kill(owner);
    cluster.run_until([&] { return are_all_done(answers); });
    for (auto const& a : answers)
    {
        CHECK(a->m_head.m_status == 200);
    }
    // The link is lost at once; membership declares the host dead only after
    // the suspicion time.
    cluster.run_until([&] { return cluster.find_owner(other) != owner; });
}

// Guards against a read that is reported as not run although it ran at the
// owner that was lost, when it cannot be sent a second time.
TEST_CASE("a read that ran at a killed owner is never reported as not run")
{
    test_cluster cluster(3, 1);
    auto const owner = cluster.find_owner(0);
    auto const other = (owner + 1) % 3;
    for (int i = 0; i < 10; ++i)
    {
        CHECK(cluster.send_and_wait(other, "GET", "/x").m_head.m_status == 200);
    }
    auto const read = cluster.send(other, "GET", "/x",
                                   {{"Hawthornspur-Deadline-Ms", "3000"},
                                    {"X-Service-Time-Us", "60000000"}});
    cluster.run_until([&] { return cluster.total_run_count() == 11; });
    // Nothing is left to run it again.
    cluster.document().m_services.front().m_targets.clear();
    cluster.wait_for_agreement(cluster.apply_configuration(cluster.document()),
                               3);
    cluster.kill(owner);
    cluster.run_until([&] { return read->m_is_done; });
    CHECK(read->m_head.m_status >= 500);
    CHECK(get_outcome(*read) != "not-run");
    CHECK(cluster.total_run_count() == 11);
}

// Guards against a request that is refused as unknown because its owner was
// lost after its route had moved and its former service had been removed, and
// against one that runs twice because the new document forbids repeating it.
TEST_CASE("a request whose owner is lost follows a route that has moved")
{
    test_cluster cluster(3, 2);
    auto execution = core::execution_rule::idempotent;
    auto code = result_code::ok;
    SUBCASE("the request may still be repeated") {}
    SUBCASE("the request must not be repeated any more")
    {
        execution = core::execution_rule::at_most_once;
        code = result_code::peer_link_lost;
    }
    auto const move_route = [&](std::string const& service)
    {
        auto& document = cluster.document();
        document.m_services.front().m_name = service;
        document.m_routes = {{"read", "", "/", {{service, 1}}}};
        return cluster.apply_configuration(document);
    };
    cluster.wait_for_agreement(move_route("map"), 3);
    auto const owner = cluster.find_owner(0);
    auto const other = (owner + 1) % 3;
    net::http_headers const by_route{{"Hawthornspur-Service", ""}};
    // Successful requests fill the retry budget.
    for (int i = 0; i < 10; ++i)
    {
        CHECK(cluster.send_and_wait(other, "GET", "/x", by_route)
                  .m_head.m_status == 200);
    }
    cluster.pause(owner);
    auto const request = cluster.send(other, "GET", "/x", by_route);
    auto& host = cluster.host(other);
    cluster.run_until([&] { return !host.m_forwarded_calls.empty(); });
    cluster.document().m_services.front().m_kinds.front().m_execution =
        execution;
    auto const moved = move_route("photos");
    cluster.run_until(
        [&] { return host.m_configuration.m_in_force->m_generation == moved; });
    CHECK(!host.m_forwarded_calls.empty());
    cluster.kill(owner);
    cluster.run_until([&] { return request->m_is_done; });
    CHECK(get_result_code(*request) == static_cast<unsigned>(code));
    CHECK((request->m_head.m_status == 200) == (code == result_code::ok));
    CHECK(cluster.total_run_count() == (code == result_code::ok ? 11 : 10));
}

// Guards against a paused host that acts as owner after it resumes although
// its peers have assigned its pools to other hosts.
TEST_CASE("a paused owner is replaced and rejoins")
{
    test_cluster cluster(3, 2);
    auto const owner = cluster.find_owner(0);
    auto const other = (owner + 1) % 3;
    cluster.pause(owner);
    cluster.run_until([&] { return cluster.find_owner(other) != owner; });
    CHECK(cluster.send_and_wait(other, "GET", "/x").m_head.m_status == 200);
    cluster.resume(owner);
    cluster.wait_for_agreement(1, 3);
    CHECK(!cluster.host(owner).m_is_isolated);
    CHECK(cluster.send_and_wait(owner, "GET", "/x").m_head.m_status == 200);
}

// Guards against requests that are given up because a busy host sends nothing
// for a while. Their answers may still come, and they cannot be sent again.
TEST_CASE("requests outlast the silence of their owner")
{
    auto method = "POST";
    SUBCASE("requests that run once") {}
    SUBCASE("reads without a budget to repeat them")
    {
        method = "GET";
    }
    test_cluster cluster(3, 2);
    auto& budget = cluster.document().m_services.front().m_retry_budget;
    budget.m_ratio = 0;
    budget.m_burst = 0;
    cluster.wait_for_agreement(cluster.apply_configuration(cluster.document()),
                               3);
    auto const owner = cluster.find_owner(0);
    auto const other = (owner + 1) % 3;
    auto const request =
        cluster.send(other, method, "/x", {{"X-Service-Time-Us", "100000"}});
    cluster.run_until([&] { return cluster.total_run_count() == 1; });
    cluster.pause(owner);
    cluster.run_for(std::chrono::milliseconds(1500));
    cluster.resume(owner);
    cluster.run_until([&] { return request->m_is_done; });
    CHECK_MESSAGE(request->m_head.m_status == 200, get_result_code(*request));
    CHECK(cluster.total_run_count() == 1);
}

// Guards against reads that wait for a silent host although another one could
// answer them.
TEST_CASE("a read at a silent owner is answered by another host")
{
    test_cluster cluster(3, 2);
    auto const owner = cluster.find_owner(0);
    auto const other = (owner + 1) % 3;
    // Successful requests fill the retry budget.
    for (int i = 0; i < 10; ++i)
    {
        CHECK(cluster.send_and_wait(other, "GET", "/x").m_head.m_status == 200);
    }
    cluster.pause(owner);
    auto const read = cluster.send_and_wait(other, "GET", "/x");
    CHECK_MESSAGE(read.m_head.m_status == 200, get_result_code(read));
}

// Guards against hosts that need the store for more than configuration
// changes: during an outage they must serve, and a new host must get the
// configuration from its peers.
TEST_CASE("hosts serve and new hosts join while the store is down")
{
    test_cluster cluster(2, 2);
    cluster.set_platform_faults(R"({"outage":true})");
    CHECK(cluster.send_and_wait(0, "GET", "/x").m_head.m_status == 200);
    cluster.set_platform_faults(R"({"outage":false})");
    cluster.start_host("entry-late");
    // The outage begins once the new host has read the host list.
    cluster.run_until(
        [&] { return !core::hosts(*cluster.host(2).m_membership).empty(); });
    cluster.set_platform_faults(R"({"outage":true})");
    cluster.wait_for_agreement(1, 3);
    CHECK(cluster.send_and_wait(2, "GET", "/x").m_head.m_status == 200);
}

// Guards against a host that accepts requests without a configuration.
TEST_CASE("a host without a configuration refuses requests as not run")
{
    test_cluster cluster(0, 0);
    cluster.set_platform_faults(R"({"outage":true})");
    cluster.start_host("entry-0");
    auto const refused = cluster.send_and_wait(0, "GET", "/x");
    CHECK(get_result_code(refused) == 2007);
    CHECK(get_outcome(refused) == "not-run");
}

// Guards against a starting host that serves under an outdated configuration
// after a peer has announced a newer generation.
TEST_CASE("a host is not ready while a newer generation is announced")
{
    test_cluster cluster(1, 1);
    cluster.host(0).m_readiness = {};
    cluster.host(0).m_configuration.m_newest_generation = 2;
    auto const refused = cluster.send_and_wait(0, "GET", "/x");
    CHECK(get_result_code(refused) == 2007);
    CHECK(get_outcome(refused) == "not-run");
}

// Guards against a configuration that reverts after a stale read from the
// store, and against changes that do not reach every host.
TEST_CASE("a change reaches all hosts and an older document is rejected")
{
    test_cluster cluster(3, 1);
    auto changed = cluster.document();
    changed.m_generation = 2;
    changed.m_change_id = "change-2";
    changed.m_services[0].m_max_queue = 7;
    cluster.store_configuration(changed);
    cluster.wait_for_agreement(2, 3);
    cluster.store_configuration(cluster.document());
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

// Guards against hosts that wait for a revision above the one they know, after
// the store came back from an earlier state with a lower one.
TEST_CASE("a change after a restore of the store takes effect on all hosts")
{
    test_cluster cluster(2, 1);
    auto changed = cluster.document();
    auto const apply = [&](std::uint64_t generation)
    {
        changed.m_generation = generation;
        changed.m_change_id = "change-" + std::to_string(generation);
        cluster.store_configuration(changed);
    };
    constexpr auto gap = std::chrono::milliseconds(400);
    cluster.run_for(gap);
    auto const start = net::event_loop::now();
    for (std::uint64_t generation = 2; generation <= 6; ++generation)
    {
        apply(generation);
    }
    cluster.wait_for_agreement(6, 2);
    cluster.restore_store(std::chrono::duration_cast<std::chrono::milliseconds>(
        net::event_loop::now() - start + gap / 2));
    apply(7);
    cluster.wait_for_agreement(7, 2);
    CHECK(cluster.send_and_wait(0, "GET", "/x").m_head.m_status == 200);
}

// Guards against a change that the store confirms after it has lost earlier
// ones, and that hosts discard since they have these in force.
TEST_CASE("a change based on a restored generation takes effect on all hosts")
{
    test_cluster cluster(2, 1);
    constexpr auto gap = std::chrono::milliseconds(400);
    auto changed = cluster.document();
    cluster.run_for(gap);
    auto const start = net::event_loop::now();
    for (std::uint64_t generation = 2; generation <= 4; ++generation)
    {
        changed.m_change_id = "lost-" + std::to_string(generation);
        CHECK(cluster.apply_configuration(changed) == generation);
    }
    cluster.wait_for_agreement(4, 2);
    cluster.restore_store(std::chrono::duration_cast<std::chrono::milliseconds>(
        net::event_loop::now() - start + gap / 2));
    changed.m_change_id = "confirmed";
    cluster.wait_for_agreement(cluster.apply_configuration(changed), 2);
    for (auto const& entry : cluster.hosts())
    {
        CHECK(entry->m_host->m_configuration.m_in_force->m_change_id ==
              "confirmed");
    }
}

} // namespace hawthornspur::test
