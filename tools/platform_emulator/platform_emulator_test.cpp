#include "common/test_client.hpp"
#include "platform_emulator/platform_emulator.hpp"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <thread>

namespace hawthornspur::tools
{

namespace
{

struct fixture
{
    std::unique_ptr<net::event_loop> m_loop = take(net::event_loop::create());
    std::unique_ptr<platform_emulator> m_platform =
        take(platform_emulator::create(*m_loop, {}));
    test_client m_client{*m_loop, m_platform->port()};

    void set_faults(char const* text)
    {
        CHECK(m_client.send("PUT", "/control/faults", text).m_head.m_status ==
              200);
    }

    nlohmann::json counters()
    {
        return nlohmann::json::parse(
            m_client.send("GET", "/control/counters").m_body);
    }
};

struct expected_exchange
{
    char const* m_method;
    char const* m_uri;
    std::string m_body;
    int m_status;
    /// Text that the answer must contain.
    char const* m_answer_part;
};

void check_exchanges(fixture& f,
                     std::vector<expected_exchange> const& exchanges)
{
    for (auto const& expected : exchanges)
    {
        CAPTURE(expected.m_method);
        CAPTURE(expected.m_uri);
        auto const answer =
            f.m_client.send(expected.m_method, expected.m_uri, expected.m_body);
        CHECK(answer.m_head.m_status == expected.m_status);
        CHECK(answer.m_body.find(expected.m_answer_part) != std::string::npos);
    }
}

} // namespace

// Guards against an emulator that deviates from the platform's protocol
// (docs/design.md, section 4), which the tests of the platform adapter would
// not detect.
TEST_CASE("the store, leases and host list follow the protocol")
{
    fixture f;
    check_exchanges(
        f,
        {{"GET", "/v1/kv/a/b", "", 404, ""},
         {"PUT", "/v1/kv/a/b", "x", 400, "revision"},
         {"PUT", "/v1/kv/a/b?revision=1", "x", 409, ""},
         {"PUT", "/v1/kv/a/b?revision=0", R"({"value":"first"})", 200,
          R"("revision":1)"},
         {"PUT", "/v1/kv/a/b?revision=0", "x", 409, ""},
         {"GET", "/v1/kv/a%2Fb", "", 200,
          R"({"epoch":1,"revision":1,"value":"first"})"},
         {"PUT", "/v1/kv/a/b?revision=1", R"({"value":"1","other":2})", 200,
          R"("revision":2)"},
         {"GET", "/v1/kv/a/b", "", 200, R"("{\"value\":\"1\",\"other\":2}")"},
         {"GET", "/v1/watch/a/b?after=1&wait_ms=60000", "", 200,
          R"("revision":2)"},
         {"GET", "/v1/watch/a/b?after=2&wait_ms=1", "", 204, ""},
         {"GET", "/v1/watch/none?after=0&wait_ms=1", "", 204, ""},
         {"PUT", "/v1/kv/big?revision=0", std::string(1 << 20, 'v'), 200, ""},
         {"PUT", "/v1/kv/big?revision=3", std::string((1 << 20) + 1, 'v'), 413,
          ""},
         {"POST", "/v1/leases", R"({"lifetime_ms":60000})", 200, "lease-1"},
         {"PUT", "/v1/leases/lease-1", "", 200, ""},
         {"PUT", "/v1/leases/lease-2", "", 404, ""},
         {"PUT", "/v1/kv/c?revision=0&lease=lease-2", "x", 404, ""},
         {"GET", "/v1/hosts", "", 200, R"({"hosts":[]})"},
         {"PUT", "/control/hosts", R"({"hosts":[{"name":"a"}]})", 400, "role"},
         {"PUT", "/control/hosts",
          R"({"hosts":[{"name":"a","role":"target","zone":"z","address":"b",)"
          R"("port":1,"state":"gone"}]})",
          400, "live or leaving"},
         {"PUT", "/control/hosts",
          R"({"hosts":[{"name":"a","role":"target","zone":"z","address":"b",)"
          R"("port":1,"state":"leaving"}]})",
          200, ""},
         {"GET", "/v1/hosts", "", 200, R"("state":"leaving")"},
         {"PUT", "/control/faults", R"({"outages":true})", 400, "outages"},
         {"PUT", "/control/faults", R"({"outage":1})", 400, "outage"}});
}

// Guards against watches that miss a write, and against a waiting watch that is
// counted more than once.
TEST_CASE("a watch is answered on the next write and counted as one call")
{
    fixture f;
    auto const watch = f.m_client.start("GET", "/v1/watch/k?after=0");
    while (f.counters().at("waiting_watches") == 0)
    {
    }
    f.m_client.send("PUT", "/v1/kv/k?revision=0", "v");
    CHECK(f.m_client.wait(watch).m_body ==
          R"({"epoch":1,"revision":1,"value":"v"})");
    CHECK(f.counters().at("watch") == 1);
    CHECK(f.counters().at("total") == 2);
    CHECK(f.counters().at("waiting_watches") == 0);
}

// Guards against experiments that run without the faults they have set.
TEST_CASE("faults take effect and can be cleared")
{
    fixture f;
    f.m_client.send("PUT", "/v1/kv/k?revision=0", "old");
    f.set_faults(R"({"outage":true})");
    check_exchanges(f, {{"GET", "/v1/kv/k", "", 503, ""},
                        {"PUT", "/v1/kv/k?revision=1", "x", 503, ""},
                        {"GET", "/v1/hosts", "", 503, ""}});
    f.set_faults(R"({"outage":false,"lost_answers":1})");
    CHECK(f.m_client.send("PUT", "/v1/kv/k?revision=1", "new").m_outcome ==
          net::exchange_outcome::closed);
    f.set_faults(R"({"lost_answers":0})");
    check_exchanges(f, {{"GET", "/v1/kv/k", "", 200, "new"}});
    f.set_faults(R"({"stale_reads_ms":600000})");
    check_exchanges(f, {{"GET", "/v1/kv/k", "", 404, ""}});
    f.set_faults(R"({"stale_reads_ms":0,"reads_per_second":0.001})");
    check_exchanges(f, {{"GET", "/v1/kv/k", "", 200, ""},
                        {"GET", "/v1/kv/k", "", 429, ""}});
    f.set_faults(R"({"reads_per_second":1000,"silent":true})");
    using namespace std::chrono_literals;
    CHECK(f.m_client.send("GET", "/v1/kv/k", {}, {}, 50ms).m_outcome ==
          net::exchange_outcome::silent);
    f.m_client.send("DELETE", "/control/faults");
    check_exchanges(f, {{"GET", "/v1/kv/k", "", 200, "new"}});
}

// Guards against changes of the host list that are visible before the lag has
// passed.
TEST_CASE("changes of the host list are visible after the configured lag")
{
    fixture f;
    f.set_faults(R"({"list_lag_ms":600000})");
    check_exchanges(f, {{"PUT", "/control/hosts",
                         R"({"hosts":[{"name":"a","role":"entry","zone":"z",)"
                         R"("address":"b","port":1,"state":"live"}]})",
                         200, ""},
                        {"GET", "/v1/hosts", "", 200, R"({"hosts":[]})"}});
}

// Guards against silent watches that are answered after the fault is cleared.
TEST_CASE("a silenced watch stays silent while a new watch is answered")
{
    fixture f;
    using namespace std::chrono_literals;
    auto const silent =
        f.m_client.start("GET", "/v1/watch/k?after=0&wait_ms=1", {}, {}, 200ms);
    f.set_faults(R"({"silent_watches":true})");
    f.set_faults(R"({"silent_watches":false})");
    f.m_client.send("PUT", "/v1/kv/k?revision=0", "v");
    check_exchanges(f, {{"GET", "/v1/watch/k?after=0", "", 200, ""}});
    auto const outcome = f.m_client.wait(silent).m_outcome;
    // The watch is answered if its wait of 1 ms ends before the fault is set.
    bool const answered = outcome == net::exchange_outcome::complete;
    CHECK((answered || outcome == net::exchange_outcome::silent));
}

// Guards against an emulated restore that keeps later writes, or that does not
// give out their revisions and leases again.
TEST_CASE("a restored store has lost later writes, revisions and leases")
{
    fixture f;
    check_exchanges(f, {{"PUT", "/v1/kv/a?revision=0", "old", 200, "1"}});
    auto const first_written = net::event_loop::now();
    constexpr auto gap = std::chrono::milliseconds(500);
    std::this_thread::sleep_for(gap);
    check_exchanges(f, {{"POST", "/v1/leases", "", 200, "lease-1"},
                        {"PUT", "/v1/kv/a?revision=1", "new", 200, "2"},
                        {"PUT", "/v1/kv/b?revision=0", "x", 200, "3"}});
    auto const age = std::chrono::duration_cast<std::chrono::milliseconds>(
        net::event_loop::now() - first_written - gap / 2);
    check_exchanges(f,
                    {{"PUT", "/control/restore",
                      nlohmann::json{{"age_ms", age.count()}}.dump(), 200, ""},
                     {"GET", "/v1/kv/a", "", 200, R"("epoch":2)"},
                     {"GET", "/v1/kv/a", "", 200, "old"},
                     {"GET", "/v1/kv/b", "", 404, ""},
                     {"PUT", "/v1/leases/lease-1", "", 404, ""},
                     {"POST", "/v1/leases", "", 200, "lease-1"},
                     {"PUT", "/v1/kv/b?revision=0&epoch=1", "y", 409, ""},
                     {"PUT", "/v1/kv/b?revision=0&epoch=2", "y", 200, "2"}});
}

// Guards against watches that stay open in a restored store, whose revisions
// are below the one that they wait for.
TEST_CASE("a restore cuts waiting watches")
{
    fixture f;
    check_exchanges(f, {{"PUT", "/v1/kv/a?revision=0", "old", 200, "1"}});
    auto const watch =
        f.m_client.start("GET", "/v1/watch/a?after=1&wait_ms=20000");
    while (f.counters()["waiting_watches"] == 0)
    {
    }
    check_exchanges(f,
                    {{"PUT", "/control/restore", R"({"age_ms":0})", 200, ""}});
    CHECK(f.counters()["waiting_watches"] == 0);
    CHECK(f.m_client.wait(watch).m_outcome != net::exchange_outcome::complete);
}

} // namespace hawthornspur::tools
