#include "common/answer_check.hpp"
#include "load_generator/generator.hpp"
#include "load_generator/report.hpp"
#include "net/event_loop.hpp"
#include "net/http_server.hpp"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

namespace hawthornspur::tools
{

namespace
{

using exchange_ptr = std::shared_ptr<net::http_exchange>;
using answerer =
    std::function<void(std::string const& id, net::http_exchange& exchange)>;

void answer_well(std::string const& id, net::http_exchange& exchange,
                 std::size_t size = 200)
{
    auto const body = make_body(id, size);
    exchange.reply({200,
                    {{std::string(request_id_header), id},
                     {std::string(checksum_header), checksum(body)}}},
                   body);
}

/// Sends a short load directly to a faulty server; the targets' record says
/// that each request ran `runs` times.
nlohmann::json report_of(answerer const& answer, std::uint64_t runs)
{
    auto loop = take(net::event_loop::create());
    std::vector<exchange_ptr> kept;
    auto server = take(net::http_server::create(
        *loop, {.m_address = "127.0.0.1"},
        [&](net::http_request const& request, exchange_ptr const& exchange)
        {
            kept.push_back(exchange);
            answer(std::string(
                       net::find_header(request.m_headers, request_id_header)
                           .value_or("")),
                   *exchange);
        }));
    auto plan = take(read_plan(R"({"kinds":[{"rule":"at_most_once",
        "deadline_ms":20000}],"schedule":[{"duration_ms":50,"rate":400}]})"));
    auto const send = take(make_direct_sender(
        *loop, {{"127.0.0.1", server->port()}}, direct_policy::random, 1));
    auto const run =
        take(run_load(*loop, plan, "t", send, std::chrono::milliseconds(500)));
    target_record targets;
    for (std::size_t i = 0; i < run.m_records.size() && runs > 0; ++i)
    {
        targets.m_requests[make_request_id("t", i)] = runs;
    }
    REQUIRE(!run.m_records.empty());
    return make_report(run, targets, std::chrono::milliseconds(10));
}

void shed(std::string const&, net::http_exchange& exchange)
{
    exchange.reply({503, {{"Hawthornspur-Not-Run", "1"}}}, "");
}

} // namespace

// Guards against a generator that counts wrong answers as good ones.
TEST_CASE("faulty servers are found out")
{
    struct row
    {
        char const* m_what;
        answerer m_answer;
        std::uint64_t m_runs;
        /// Where all requests of the load must be counted.
        char const* m_path;
        bool m_is_violation;
    };
    auto const well = [](std::string const& id, net::http_exchange& exchange)
    {
        answer_well(id, exchange);
    };
    row const rows[] = {
        {"good", well, 1, "/counts/good", false},
        {"empty answer", [](auto const& id, auto& e) { answer_well(id, e, 0); },
         1, "/counts/good", false},
        {"another request's answer",
         [](auto const&, auto& e) { answer_well("other", e); }, 1,
         "/counts/foreign", true},
        {"another request's body under the right id",
         [](auto const& id, auto& e)
         {
             auto const body = make_body("t-1000000", 100);
             e.reply(
                 {200,
                  {{"X-Request-Id", id}, {"X-Body-Checksum", checksum(body)}}},
                 body);
         },
         1, "/counts/foreign", true},
        {"no id",
         [](auto const&, auto& e) {
             e.reply({200, {}}, "x");
         },
         1, "/counts/foreign", true},
        {"half a body delivered as whole",
         [](auto const& id, auto& e)
         {
             auto const body = make_body(id, 100);
             e.reply(
                 {200,
                  {{"X-Request-Id", id}, {"X-Body-Checksum", checksum(body)}}},
                 body.substr(0, 50));
         },
         1, "/counts/partial", true},
        {"broken off", [](auto const&, auto& e) { e.abort(); }, 1,
         "/counts/failed", false},
        {"no answer", [](auto const&, auto&) {}, 1, "/counts/lost", true},
        {"server error",
         [](auto const&, auto& e) {
             e.reply({500, {}}, "");
         },
         1, "/counts/error_status", false},
        {"shed", shed, 0, "/counts/refused", false},
        {"shed although it ran", shed, 1, "/audit/false_not_run", true},
        {"ran twice", well, 2, "/audit/duplicates", true},
        {"answered without a run", well, 0, "/audit/answered_without_run",
         true},
    };
    for (auto const& row : rows)
    {
        CAPTURE(row.m_what);
        auto const report = report_of(row.m_answer, row.m_runs);
        auto const offered =
            report.at("counts").at("offered").get<std::uint64_t>();
        CHECK(report.at(nlohmann::json::json_pointer(row.m_path)) == offered);
        CHECK(count_violations(report) == (row.m_is_violation ? offered : 0));
    }
}

// Guards against a key that ran twice under two request ids.
TEST_CASE("a key that ran twice is a duplicate")
{
    target_record targets;
    add_runs(targets, {{"requests", {{"a", 1}}}, {"keys", {{"k", 1}}}});
    add_runs(targets, {{"requests", {{"b", 1}}}, {"keys", {{"k", 1}}}});
    CHECK(compare(load_run{}, targets).m_duplicates == 1);
}

// Guards against a target whose lost record makes good answers look wrong.
TEST_CASE("runs are not missed when a target cannot be asked")
{
    load_run run;
    run.m_plan.m_kinds.resize(1);
    run.m_arrivals.resize(1);
    run.m_records = {{.m_end = request_end::answered}};
    target_record targets;
    CHECK(compare(run, targets).m_answered_without_run == 1);
    targets.m_unreachable = {"127.0.0.1:1"};
    CHECK(compare(run, targets).m_answered_without_run == 0);
}

} // namespace hawthornspur::tools
