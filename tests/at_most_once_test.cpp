#include "serve/pipeline.hpp"
#include "test_cluster.hpp"

#include <doctest/doctest.h>

namespace hawthornspur::test
{

namespace
{

net::http_headers key_headers(std::string const& key,
                              char const* service_time_us)
{
    return {{"Hawthornspur-Key", key}, {"X-Service-Time-Us", service_time_us}};
}

} // namespace

// Guards against a claim that runs twice because a caller repeated it through
// another host while the first copy was in flight.
TEST_CASE("copies of a keyed request sent to all hosts run once")
{
    test_cluster cluster(3, 2);
    for (std::size_t home = 0; home < 3; ++home)
    {
        auto const key = cluster.make_session(home) + ".1";
        std::vector<std::shared_ptr<answer>> copies;
        for (std::size_t i = 0; i < 6; ++i)
        {
            copies.push_back(cluster.send(i % 3, "POST", "/claim",
                                          key_headers(key, "20000"),
                                          "square 7"));
        }
        cluster.run_until(
            [&]
            {
                return std::all_of(copies.begin(), copies.end(),
                                   [](auto const& c) { return c->m_is_done; });
            });
        for (auto const& copy : copies)
        {
            CHECK(copy->m_head.m_status == 200);
            CHECK(copy->m_body == copies.front()->m_body);
        }
        CHECK(cluster.key_run_count(key) == 1);
        auto const late =
            cluster.send_and_wait((home + 1) % 3, "POST", "/claim",
                                  key_headers(key, "20000"), "square 7");
        CHECK(late.m_head.m_status == 200);
        CHECK(late.m_body == copies.front()->m_body);
        CHECK(cluster.key_run_count(key) == 1);
    }
}

// Guards against a second run, and a false "not run", after the loss of the
// home, the only host that stores the key.
TEST_CASE("a key whose home was killed is never run again")
{
    test_cluster cluster(3, 2);
    auto const home = cluster.find_owner(0);
    auto const other = (home + 1) % 3;
    auto const key = cluster.make_session(home) + ".1";
    auto const first = cluster.send(other, "POST", "/claim",
                                    key_headers(key, "200000"), "square 7");
    cluster.run_until([&] { return cluster.key_run_count(key) == 1; });
    cluster.kill(home);
    cluster.run_until([&] { return first->m_is_done; });
    CHECK(get_outcome(*first) == "unknown");
    CHECK(get_result_code(*first) == 3004);
    for (std::size_t i = 0; i < 3; ++i)
    {
        if (i != home)
        {
            auto const copy = cluster.send_and_wait(
                i, "POST", "/claim", key_headers(key, "0"), "square 7");
            CHECK(get_outcome(copy) == "unknown");
        }
    }
    CHECK(cluster.key_run_count(key) == 1);
}

// Guards against a restarted host that accepts keys of its earlier
// incarnation, whose requests may have run.
TEST_CASE("a key of an earlier incarnation is refused")
{
    test_cluster cluster(2, 2);
    auto const key = cluster.make_session(0) + ".1";
    cluster.send_and_wait(0, "POST", "/claim", key_headers(key, "0"),
                          "square 7");
    CHECK(cluster.key_run_count(key) == 1);
    auto const name = cluster.hosts()[0]->m_name;
    cluster.kill(0);
    cluster.start_host(name);
    cluster.wait_for_agreement(1, 2);
    for (std::size_t i = 1; i < 3; ++i)
    {
        auto const copy = cluster.send_and_wait(
            i, "POST", "/claim", key_headers(key, "0"), "square 7");
        CHECK(get_result_code(copy) == 1010);
        CHECK(get_outcome(copy) == "unknown");
    }
    CHECK(cluster.key_run_count(key) == 1);
}

// Guards against an at-most-once request that runs again after its target sent
// a malformed answer or none.
TEST_CASE("a keyed request that failed after dispatch keeps its outcome")
{
    struct row
    {
        char const* m_faults;
        char const* m_expected_outcome;
    };
    for (auto const& [faults, expected] :
         {row{R"({"garbage_probability":1})", "unknown"},
          row{R"({"silent_probability":1})", "unknown"}})
    {
        test_cluster cluster(2, 1);
        cluster.set_target_faults(0, faults);
        auto const key = cluster.make_session(0) + ".1";
        auto headers = key_headers(key, "0");
        headers.emplace_back("Hawthornspur-Deadline-Ms", "500");
        auto const first =
            cluster.send_and_wait(0, "POST", "/claim", headers, "x");
        CHECK(get_outcome(first) == expected);
        cluster.set_target_faults(
            0, R"({"garbage_probability":0,"silent_probability":0})");
        auto const copy =
            cluster.send_and_wait(1, "POST", "/claim", headers, "x");
        CHECK(get_outcome(copy) == expected);
        CHECK(cluster.key_run_count(key) <= 1);
    }
}

// Guards against a key that stays in use after a refusal: a request that was
// refused as not run may be retried with the same key.
TEST_CASE("a shed request can be retried with the same key")
{
    test_cluster cluster(2, 1);
    cluster.set_target_faults(0, R"({"shed_probability":1})");
    auto const key = cluster.make_session(0) + ".1";
    auto const shed =
        cluster.send_and_wait(1, "POST", "/claim", key_headers(key, "0"), "x");
    CHECK(get_outcome(shed) == "not-run");
    CHECK(cluster.key_run_count(key) == 0);
    cluster.set_target_faults(0, R"({"shed_probability":0})");
    // The pool may skip a target that shed requests for a while.
    cluster.run_until(
        [&]
        {
            return cluster
                       .send_and_wait(0, "POST", "/claim",
                                      key_headers(key, "0"), "x")
                       .m_head.m_status == 200;
        });
    CHECK(cluster.key_run_count(key) == 1);
}

// Guards against a copy that is told "not run" while the request of the same
// key, which it has joined, runs.
TEST_CASE("a copy of a running request is not refused as not run")
{
    test_cluster cluster(1, 1);
    auto& host = cluster.host(0);
    auto const key = cluster.make_session(0) + ".1";
    auto const first = cluster.send(0, "POST", "/claim",
                                    key_headers(key, "200000"), "square 7");
    cluster.run_until([&] { return cluster.key_run_count(key) == 1; });
    auto const copy = cluster.send(0, "POST", "/claim",
                                   key_headers(key, "200000"), "square 7");
    cluster.run_until([&] { return host.m_calls.size() == 2; });
    for (auto const& [id, call] : host.m_calls)
    {
        if (call->m_is_joined_copy)
        {
            serve::fail_call(host, *call, result_code::host_leaving);
            break;
        }
    }
    cluster.run_until([&] { return copy->m_is_done && first->m_is_done; });
    CHECK(get_outcome(*copy) == "unknown");
    CHECK(first->m_head.m_status == 200);
}

} // namespace hawthornspur::test
