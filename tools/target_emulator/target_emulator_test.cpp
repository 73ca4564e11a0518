#include "common/answer_check.hpp"
#include "common/test_client.hpp"
#include "target_emulator/target_emulator.hpp"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

namespace hawthornspur::tools
{

namespace
{

using namespace std::chrono_literals;

struct fixture
{
    std::unique_ptr<net::event_loop> m_loop = take(net::event_loop::create());
    std::unique_ptr<target_emulator> m_target =
        take(target_emulator::create(*m_loop, {}));
    test_client m_client{*m_loop, m_target->port()};

    explicit fixture(char const* faults = "{}")
    {
        CHECK(has_value(m_target->change_faults(faults)));
    }

    net::http_headers headers(char const* id, char const* service_time = "0")
    {
        return {{"X-Request-Id", id}, {"X-Service-Time-Us", service_time}};
    }

    test_answer call(char const* id = "r", core::duration timeout = 20s)
    {
        return m_client.send("GET", "/", {}, headers(id), timeout);
    }

    double counter(char const* name)
    {
        auto const all = nlohmann::json::parse(
            m_client.send("GET", "/control/counters").m_body);
        return all.value(name, 0.0);
    }
};

std::string header(test_answer const& answer, char const* name)
{
    return std::string(
        net::find_header(answer.m_head.m_headers, name).value_or(""));
}

/// Service time of a request that keeps running until the test ends.
constexpr auto one_hour_us = "3600000000";

} // namespace

// Guards against answers that the load generator cannot verify.
TEST_CASE("an answer has the request id, a checksum and the load")
{
    fixture f(R"({"answer_bytes":100})");
    auto const answer = f.call("id-1");
    CHECK(answer.m_head.m_status == 200);
    CHECK(answer.m_body == make_body("id-1", 100));
    CHECK(header(answer, "X-Request-Id") == "id-1");
    CHECK(header(answer, "X-Body-Checksum") == checksum(answer.m_body));
    CHECK(header(answer, "Hawthornspur-Load") == "0/3");
    auto const sized =
        f.m_client.send("GET", "/", {}, {{"X-Answer-Bytes", "4194304"}});
    CHECK(sized.m_body.size() == 4194304);
}

// Guards against fault settings that have no effect.
TEST_CASE("each fault takes effect in the answer")
{
    struct row
    {
        char const* m_faults;
        net::exchange_outcome m_outcome;
        int m_status;
        char const* m_header;
        char const* m_value;
    };
    using net::exchange_outcome;
    row const rows[] = {
        {R"({"shed_probability":1})", exchange_outcome::complete, 503,
         "Hawthornspur-Not-Run", "1"},
        {R"({"slots":0})", exchange_outcome::complete, 503,
         "Hawthornspur-Not-Run", "1"},
        {R"({"draining":true})", exchange_outcome::complete, 200,
         "Hawthornspur-Draining", "1"},
        {R"({"draining":true,"refuse_when_draining":true})",
         exchange_outcome::complete, 503, "Hawthornspur-Not-Run", "1"},
        {R"({"fail_probability":1})", exchange_outcome::complete, 500,
         "Hawthornspur-Not-Run", ""},
        {R"({"load":"full"})", exchange_outcome::complete, 200,
         "Hawthornspur-Load", "3/3"},
        {R"({"load":"none"})", exchange_outcome::complete, 200,
         "Hawthornspur-Load", ""},
        {R"({"truncate_probability":1})", exchange_outcome::truncated, 200, "",
         ""},
        {R"({"garbage_probability":1})", exchange_outcome::malformed, 0, "",
         ""},
        {R"({"reset_probability":1})", exchange_outcome::closed, 0, "", ""},
        {R"({"silent_probability":1})", exchange_outcome::silent, 0, "", ""},
    };
    for (auto const& row : rows)
    {
        CAPTURE(row.m_faults);
        fixture f(row.m_faults);
        auto const answer =
            f.call("r", row.m_outcome == exchange_outcome::silent
                            ? core::duration(100ms)
                            : core::duration(20s));
        CHECK(answer.m_outcome == row.m_outcome);
        CHECK(answer.m_head.m_status == row.m_status);
        CHECK(header(answer, row.m_header) == row.m_value);
    }
    fixture f;
    for (auto const* bad : {"", "[]", R"({"no_such":1})", R"({"slots":"x"})",
                            R"({"fail_probability":2})", R"({"health":"?"})",
                            R"({"service_times":1})"})
    {
        CAPTURE(bad);
        CHECK_FALSE(has_value(f.m_target->change_faults(bad)));
    }
}

// Guards against slots that are never freed, and against running more requests
// than there are slots.
TEST_CASE(
    "requests beyond the slots are shed; closing a connection frees its slot")
{
    fixture f(R"({"slots":1})");
    std::unique_ptr<test_client> running(
        new test_client{*f.m_loop, f.m_target->port()});
    running->start("GET", "/", {}, f.headers("a", one_hour_us));
    while (f.counter("running") == 0)
    {
    }
    auto const shed = f.call("b");
    CHECK(shed.m_head.m_status == 503);
    CHECK(header(shed, "Hawthornspur-Load") == "1/1");
    running.reset();
    while (f.counter("running") == 1)
    {
    }
    CHECK(f.call("c").m_head.m_status == 200);
    CHECK(f.counter("cancelled") == 1);
    // A cancelled request counts as run, a shed request does not.
    auto const& runs = f.m_target->runs().m_requests;
    CHECK(runs.contains("a"));
    CHECK_FALSE(runs.contains("b"));
}

// Guards against requests that hold a slot beyond their deadline.
TEST_CASE("a request ends at its deadline")
{
    fixture f;
    auto headers = f.headers("a", one_hour_us);
    headers.emplace_back("Hawthornspur-Deadline-Ms", "5");
    CHECK(f.m_client.send("GET", "/", {}, headers).m_head.m_status == 504);
    CHECK(f.counter("running") == 0);
}

// Guards against duplicate runs that the emulator does not report.
TEST_CASE("runs are recorded by key and by request id")
{
    fixture f;
    auto headers = f.headers("a");
    headers.emplace_back("Hawthornspur-Key", "k1");
    f.m_client.send("POST", "/", "x", headers);
    f.m_client.send("POST", "/", "x", headers);
    f.call("b");
    auto const runs =
        nlohmann::json::parse(f.m_client.send("GET", "/control/runs").m_body);
    CHECK(runs.at("runs") == 3);
    CHECK(runs.at("keys") == nlohmann::json{{"k1", 2}});
    CHECK(runs.at("duplicate_requests") == nlohmann::json{{"a", 2}});
    f.m_client.send("DELETE", "/control/runs");
    CHECK(f.m_target->runs().m_runs == 0);
}

// Guards against probes and connections without a cost.
TEST_CASE("probes and new connections add standstill to the target")
{
    fixture f;
    f.call();
    CHECK(f.counter("standstill_ms") == 1);
    CHECK(f.m_client.send("GET", "/health").m_head.m_status == 200);
    CHECK(f.counter("standstill_ms") == 7);
    CHECK(f.counter("probes") == 1);
}

// Guards against health faults that have no effect.
TEST_CASE("the health endpoint answers truthfully, wrongly or with a lag")
{
    struct row
    {
        char const* m_faults;
        int m_status;
    };
    for (auto const& row :
         {row{R"({"draining":true})", 503},
          row{R"({"draining":true,"health":"healthy"})", 200},
          row{R"({"draining":true,"health_lag_ms":600000})", 200},
          // Exceeds the uptime of any machine (about three years).
          row{R"({"draining":true,"health_lag_ms":100000000000})", 200},
          row{R"({"health":"unhealthy"})", 503}})
    {
        CAPTURE(row.m_faults);
        fixture f(row.m_faults);
        CHECK(f.m_client.send("GET", "/health").m_head.m_status ==
              row.m_status);
    }
}

// Guards against a crash that a caller can tell from the end of a process, and
// against counts that are lost with it.
TEST_CASE("a deadly request closes all connections and the listener")
{
    for (auto const* faults :
         {R"({"deadly_path":"/deadly","crash_time_ms":3600000})",
          R"({"deadly_path":"/deadly","crash_time_ms":3600000,
              "deadly_after_ms":5})"})
    {
        CAPTURE(faults);
        fixture f(faults);
        test_client neighbour{*f.m_loop, f.m_target->port()};
        auto const lost =
            neighbour.start("GET", "/", {}, f.headers("n", one_hour_us));
        while (f.counter("running") == 0)
        {
        }
        auto const deadly =
            f.m_client.send("GET", "/deadly/x", {}, f.headers("d"));
        CHECK(deadly.m_outcome == net::exchange_outcome::closed);
        CHECK(neighbour.wait(lost).m_outcome == net::exchange_outcome::closed);
        CHECK(f.call().m_outcome == net::exchange_outcome::connect_failed);
        test_client control{*f.m_loop, f.m_target->control_port()};
        auto const counters = nlohmann::json::parse(
            control.send("GET", "/control/counters").m_body);
        CHECK(counters.at("crashes") == 1);
        CHECK(counters.at("deadly_runs") == 1);
        CHECK(counters.at("runs") == 2);
        CHECK(counters.at("running") == 0);
        CHECK_FALSE(counters.contains("cancelled"));
        CHECK(f.m_target->runs().m_requests.contains("d"));
        CHECK(control.send("GET", "/").m_head.m_status == 404);
    }
}

// Guards against a crashed target that stays down.
TEST_CASE("a crashed target serves again on the same port")
{
    fixture f(R"({"deadly_path":"/deadly","crash_time_ms":1})");
    for (std::size_t crashes = 1; crashes <= 3; ++crashes)
    {
        CHECK(f.m_client.send("GET", "/deadly").m_outcome ==
              net::exchange_outcome::closed);
        while (f.call().m_outcome == net::exchange_outcome::connect_failed)
        {
        }
        CHECK(f.call().m_head.m_status == 200);
        CHECK(f.m_target->crashes().m_crashes.size() == crashes);
        CHECK(f.m_target->crashes().m_deadly_runs.size() == crashes);
    }
}

// Guards against a request that crashes a target although it did not run.
TEST_CASE("a deadly request that is shed does not crash the target")
{
    fixture f(R"({"deadly_path":"/deadly","slots":0})");
    CHECK(f.m_client.send("GET", "/deadly").m_head.m_status == 503);
    CHECK(f.m_target->crashes().m_deadly_runs.empty());
    CHECK(f.m_client.send("GET", "/health").m_head.m_status == 200);
}

// Guards against a silence fault that also affects new connections.
TEST_CASE("open connections are silenced and new connections work")
{
    fixture f;
    f.call();
    CHECK(f.m_client.send("PUT", "/control/silence_connections")
              .m_head.m_status == 200);
    CHECK(f.call("a", 100ms).m_outcome == net::exchange_outcome::silent);
    CHECK(f.call("b").m_head.m_status == 200);
}

} // namespace hawthornspur::tools
