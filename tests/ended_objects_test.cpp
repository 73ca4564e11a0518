#include "serve/account.hpp"
#include "serve/pipeline.hpp"
#include "test_cluster.hpp"

#include <doctest/doctest.h>

namespace hawthornspur::test
{

// Guards against functions that end a call and destroy it under a caller of
// theirs that goes on with it.
TEST_CASE("a call that has ended stays valid until the event loop goes on")
{
    test_cluster cluster(1, 1);
    auto& host = cluster.host(0);
    auto const request =
        cluster.send(0, "GET", "/x", {{"X-Service-Time-Us", "100000"}});
    cluster.run_until([&] { return cluster.total_run_count() == 1; });
    REQUIRE(host.m_calls.size() == 1);
    auto& call = *host.m_calls.begin()->second;
    auto const id = call.m_id;
    serve::fail_call(host, call, result_code::peer_link_lost);
    CHECK(serve::find_call(host, id) == nullptr);
    CHECK(call.m_id == id);
    serve::end_call(host, call, result_code::ok);
    CHECK(host.m_ended_calls.size() == 1);
    cluster.run_until([&] { return request->m_is_done; });
    CHECK(request->m_head.m_status == 502);
    CHECK(host.m_ended_calls.empty());
    CHECK(cluster.send_and_wait(0, "GET", "/x").m_head.m_status == 200);
}

// Guards against a target that loses a slot for good each time that a request
// which may run only once ends at its deadline while the target works on it.
TEST_CASE("an attempt that outlasts its call frees its slot")
{
    test_cluster cluster(1, 1);
    auto& host = cluster.host(0);
    auto const late =
        cluster.send(0, "POST", "/x", {{"X-Service-Time-Us", "100000"}});
    cluster.run_until([&] { return cluster.total_run_count() == 1; });
    REQUIRE(host.m_calls.size() == 1);
    serve::fail_call(host, *host.m_calls.begin()->second,
                     result_code::deadline_passed_after_dispatch);
    cluster.run_until([&] { return late->m_is_done; });
    auto& pool = *host.m_pools.begin()->second->m_core_pool;
    CHECK(core::in_flight(pool) == 1);
    cluster.run_for(std::chrono::milliseconds(500));
    CHECK(core::in_flight(pool) == 0);
}

// Guards against "not run" for a request that a target is running, whichever
// place decides to refuse it.
TEST_CASE("a request in flight is not refused as not run")
{
    test_cluster cluster(2, 1);
    auto const owner = cluster.find_owner(0);
    for (std::size_t const taker : {owner, 1 - owner})
    {
        CAPTURE(taker == owner);
        auto& host = cluster.host(taker);
        auto const runs = cluster.total_run_count();
        auto const running = cluster.send(taker, "POST", "/x",
                                          {{"X-Service-Time-Us", "100000"}});
        cluster.run_until([&] { return cluster.total_run_count() > runs; });
        REQUIRE(host.m_calls.size() == 1);
        serve::fail_call(host, *host.m_calls.begin()->second,
                         result_code::host_leaving);
        cluster.run_until([&] { return running->m_is_done; });
        CHECK(get_outcome(*running) == "unknown");
        CHECK(running->m_head.m_status != 503);
    }
}

} // namespace hawthornspur::test
