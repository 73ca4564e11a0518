#include "load_generator/histogram.hpp"
#include "load_generator/plot.hpp"
#include "load_generator/report.hpp"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <cmath>

namespace hawthornspur::tools
{

namespace
{

using namespace std::chrono_literals;

/// Returns a run of 1000 answered requests that arrive 1 ms apart and have
/// latencies of 1, 2, ... 1000 ms.
load_run make_run()
{
    load_run run;
    run.m_id = std::string("t");
    load_kind kind;
    kind.m_deadline = 900ms;
    run.m_plan.m_kinds = {kind};
    run.m_plan.m_schedule = {{1s, 1000, 1000}};
    for (int i = 0; i < 1000; ++i)
    {
        run.m_arrivals.push_back({i * 1ms, 0, 1ms});
        run.m_records.push_back({.m_outcome = request_outcome::answered,
                                 .m_execution = execution::ran,
                                 .m_attempts = 1,
                                 .m_latency = (i + 1) * 1ms});
    }
    return run;
}

} // namespace

// Guards against plans that are parsed wrongly and arrivals that do not match
// the plan.
TEST_CASE("a plan is parsed and written, and its arrivals match it")
{
    std::string const text = R"({"seed":7,"kinds":[
        {"name":"a","weight":3,"rule":"at_most_once","deadline_ms":50},
        {"name":"b","weight":1,"service_time":{"median_ms":2,"sigma":0,
         "tail_probability":0}}],
        "schedule":[{"duration_ms":10000,"rate":500},
        {"duration_ms":10000,"rate":500,"to_rate":1500}]})";
    auto const plan = take(read_plan(text));
    CHECK(plan.m_kinds.at(0).m_rule == call_rule::at_most_once);
    CHECK(plan.m_kinds.at(0).m_deadline == 50ms);
    CHECK(to_json(take(read_plan(to_json(plan).dump()))) == to_json(plan));
    auto const arrivals = draw_arrivals(plan);
    // Expected: 15,000; five standard deviations are 612.
    CHECK(std::abs(static_cast<double>(arrivals.size()) - 15000) < 612);
    auto const first_step_count =
        std::count_if(arrivals.begin(), arrivals.end(),
                      [](arrival const& a) { return a.m_time < 10s; });
    CHECK(std::abs(static_cast<double>(first_step_count) - 5000) < 354);
    auto const second_kind_count =
        std::count_if(arrivals.begin(), arrivals.end(),
                      [](arrival const& a) { return a.m_kind == 1; });
    CHECK(static_cast<double>(second_kind_count) /
              static_cast<double>(arrivals.size()) ==
          doctest::Approx(0.25).epsilon(0.1));
    CHECK(std::is_sorted(arrivals.begin(), arrivals.end(),
                         [](auto const& a, auto const& b)
                         { return a.m_time < b.m_time; }));
    auto const again = draw_arrivals(plan);
    CHECK(again.size() == arrivals.size());
    CHECK(again.back().m_time == arrivals.back().m_time);
    for (auto const* bad :
         {"", "{}", R"({"kinds":[],"schedule":[]})",
          R"({"kinds":[{}],"schedule":[{}]})",
          R"({"kinds":[{"rule":"maybe"}],"schedule":[{"rate":1}]})",
          R"({"kinds":[{"weight":0}],"schedule":[{"rate":1}]})",
          R"({"kinds":[{"x":0}],"schedule":[{"rate":1}]})",
          R"({"kinds":[{}],"schedule":[{"rate":1}],"x":1})"})
    {
        CAPTURE(bad);
        CHECK_FALSE(has_value(read_plan(bad)));
    }
}

// Guards against percentiles that are off by more than the width of a bin.
TEST_CASE("a report has the percentiles and counts of known latencies")
{
    auto const report = make_report(make_run(), {}, 100ms);
    auto const& latency = report.at("latency_ms");
    CHECK(latency.at("p50").get<double>() ==
          doctest::Approx(500).epsilon(0.01));
    CHECK(latency.at("p90").get<double>() ==
          doctest::Approx(900).epsilon(0.01));
    CHECK(latency.at("p99").get<double>() ==
          doctest::Approx(990).epsilon(0.01));
    CHECK(latency.at("max") == 1000.0);
    CHECK(latency.at("mean").get<double>() == doctest::Approx(500.5));
    CHECK(report.at("excess_ms").at("p50").get<double>() ==
          doctest::Approx(499).epsilon(0.01));
    CHECK(report.at("counts").at("good") == 900);
    CHECK(report.at("counts").at("late") == 100);
    auto const& timeline = report.at("timeline");
    CHECK(timeline.at("offered").at(0) == 100);
    CHECK(timeline.at("good").at(9) == 0);
    // Request i ends at 2i + 1 ms, so 50 requests end in the first 100 ms.
    CHECK(timeline.at("goodput").at(0) == 50);
    CHECK(to_text(report).find("good                               900") !=
          std::string::npos);
}

// Guards against ratios with numerator and denominator swapped.
TEST_CASE("reports are compared as ratios to the first")
{
    auto const base = make_report(make_run(), {}, 100ms);
    auto slow = make_run();
    for (auto& record : slow.m_records)
    {
        record.m_latency *= 2;
    }
    auto const table = compare_reports(
        {{"base", base}, {"slow", make_report(slow, {}, 100ms)}});
    auto const row = table.find("latency p50 ms");
    REQUIRE(row != std::string::npos);
    auto const line = table.substr(row, table.find('\n', row) - row);
    auto const ratio = std::stod(line.substr(line.rfind(' ')));
    CHECK(ratio == doctest::Approx(2).epsilon(0.02));
}

// Guards against plots without series, axes or legend, and against unescaped
// report names, which make the SVG file invalid.
TEST_CASE("a plot contains each series with its name")
{
    auto const report = make_report(make_run(), {}, 100ms);
    auto const svg = plot_reports({{"one <&>", report}, {"two", report}});
    for (auto const* part :
         {"one &lt;&amp;>: goodput", "two: offered", "p99.9", "time, s",
          "latency, ms (log)", "calls per second", "</svg>"})
    {
        CAPTURE(part);
        CHECK(svg.find(part) != std::string::npos);
    }
    CHECK(svg.find("nan") == std::string::npos);
    CHECK(svg.find("inf") == std::string::npos);
}

} // namespace hawthornspur::tools
