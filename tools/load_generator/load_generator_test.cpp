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
using answer_function =
    std::function<void(std::string const& id, net::http_exchange& exchange)>;

void send_valid_answer(std::string const& id, net::http_exchange& exchange,
                       std::size_t size = 200)
{
    auto const body = make_body(id, size);
    exchange.reply({200,
                    {{std::string(request_id_header), id},
                     {std::string(checksum_header), checksum(body)}}},
                   body);
}

/// Sends a short load directly to a server that uses `answer`, and reports it
/// with a target record in which each request ran `runs` times.
nlohmann::json run_against(answer_function const& answer, std::uint64_t runs)
{
    auto loop = take(net::event_loop::create());
    std::vector<exchange_ptr> open_exchanges;
    auto server = take(net::http_server::create(
        *loop, {.m_address = "127.0.0.1"},
        [&](net::http_request const& request, exchange_ptr const& exchange)
        {
            open_exchanges.push_back(exchange);
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

// Guards against a generator that counts wrong answers as good.
TEST_CASE("answers of faulty servers are counted by their fault")
{
    struct row
    {
        char const* m_name;
        answer_function m_answer;
        std::uint64_t m_runs;
        /// JSON pointer of the counter that must include all requests.
        char const* m_path;
        bool m_is_violation;
    };
    auto const valid = [](std::string const& id, net::http_exchange& exchange)
    {
        send_valid_answer(id, exchange);
    };
    row const rows[] = {
        {"good", valid, 1, "/counts/good", false},
        {"empty answer",
         [](auto const& id, auto& e) { send_valid_answer(id, e, 0); }, 1,
         "/counts/good", false},
        {"another request's answer",
         [](auto const&, auto& e) { send_valid_answer("other", e); }, 1,
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
        {"half a body delivered as a complete answer",
         [](auto const& id, auto& e)
         {
             auto const body = make_body(id, 100);
             e.reply(
                 {200,
                  {{"X-Request-Id", id}, {"X-Body-Checksum", checksum(body)}}},
                 body.substr(0, 50));
         },
         1, "/counts/partial", true},
        {"connection closed", [](auto const&, auto& e) { e.abort(); }, 1,
         "/counts/failed", false},
        {"no answer", [](auto const&, auto&) {}, 1, "/counts/lost", true},
        {"server error",
         [](auto const&, auto& e) {
             e.reply({500, {}}, "");
         },
         1, "/counts/error_status", false},
        {"shed", shed, 0, "/counts/refused", false},
        {"shed although it ran", shed, 1, "/audit/false_not_run", true},
        {"ran twice", valid, 2, "/audit/duplicates", true},
        {"answered without a run", valid, 0, "/audit/answered_without_run",
         true},
    };
    for (auto const& row : rows)
    {
        CAPTURE(row.m_name);
        auto const report = run_against(row.m_answer, row.m_runs);
        auto const offered =
            report.at("counts").at("offered").get<std::uint64_t>();
        CHECK(report.at(nlohmann::json::json_pointer(row.m_path)) == offered);
        CHECK(count_violations(report) == (row.m_is_violation ? offered : 0));
    }
}

// Guards against missing a key that ran twice under different request ids.
TEST_CASE("a key that ran twice is a duplicate")
{
    target_record targets;
    add_runs(targets, {{"requests", {{"a", 1}}}, {"keys", {{"k", 1}}}});
    add_runs(targets, {{"requests", {{"b", 1}}}, {"keys", {{"k", 1}}}});
    CHECK(audit_run(load_run{}, targets).m_duplicates == 1);
}

// Guards against counting good answers as violations when the run records of
// an unreachable target are missing.
TEST_CASE("answers without a run are not counted if a target is unreachable")
{
    load_run run;
    run.m_plan.m_kinds.resize(1);
    run.m_arrivals.resize(1);
    run.m_records = {{.m_outcome = request_outcome::answered}};
    target_record targets;
    CHECK(audit_run(run, targets).m_answered_without_run == 1);
    targets.m_unreachable = {"127.0.0.1:1"};
    CHECK(audit_run(run, targets).m_answered_without_run == 0);
}

} // namespace hawthornspur::tools
