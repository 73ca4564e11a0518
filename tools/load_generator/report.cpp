#include "load_generator/report.hpp"

#include "load_generator/histogram.hpp"
#include "load_generator/timeline.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <map>

namespace hawthornspur::tools
{

namespace
{

struct result_totals
{
    std::map<std::string, std::uint64_t> m_counts;
    std::map<std::string, std::uint64_t> m_codes;
    latency_histogram m_latency;
    latency_histogram m_excess;
    latency_histogram m_refusals;
};

char const* outcome_name(request_record const& record)
{
    switch (record.m_outcome)
    {
    case request_outcome::lost:
        return "lost";
    case request_outcome::answered:
        return "answered";
    case request_outcome::error_status:
        return "error_status";
    case request_outcome::partial:
        return "partial";
    case request_outcome::foreign:
        return "foreign";
    case request_outcome::failed:
        break;
    }
    return record.m_execution == execution::not_run ? "refused" : "failed";
}

result_totals make_totals()
{
    result_totals totals;
    for (auto const* name :
         {"offered", "answered", "good", "late", "error_status", "refused",
          "failed", "partial", "foreign", "lost", "attempts"})
    {
        totals.m_counts[name] = 0;
    }
    return totals;
}

void add(result_totals& totals, arrival const& planned, load_kind const& kind,
         request_record const& record)
{
    ++totals.m_counts["offered"];
    ++totals.m_counts[outcome_name(record)];
    totals.m_counts["attempts"] += record.m_attempts;
    if (record.m_code != 0)
    {
        ++totals.m_codes[std::to_string(record.m_code)];
    }
    if (record.m_outcome == request_outcome::answered)
    {
        ++totals
              .m_counts[record.m_latency <= kind.m_deadline ? "good" : "late"];
        totals.m_latency.add(record.m_latency);
        totals.m_excess.add(record.m_latency - planned.m_service_time);
    }
    if (record.m_outcome == request_outcome::failed &&
        record.m_execution == execution::not_run)
    {
        totals.m_refusals.add(record.m_latency);
    }
}

nlohmann::json to_json(result_totals const& totals)
{
    return {{"counts", totals.m_counts},
            {"codes", totals.m_codes},
            {"latency_ms", summarize(totals.m_latency)},
            {"excess_ms", summarize(totals.m_excess)},
            {"refusal_ms", summarize(totals.m_refusals)}};
}

} // namespace

nlohmann::json make_report(load_run const& run, target_record const& targets,
                           core::duration bucket)
{
    auto all_totals = make_totals();
    std::map<std::string, result_totals> kinds;
    core::duration max_send_lag{0};
    for (std::size_t i = 0; i < run.m_records.size(); ++i)
    {
        auto const& planned = run.m_arrivals[i];
        auto const& kind = run.m_plan.m_kinds[planned.m_kind];
        auto const& record = run.m_records[i];
        add(all_totals, planned, kind, record);
        auto const kind_totals = kinds.find(kind.m_name);
        add(kind_totals == kinds.end()
                ? kinds.emplace(kind.m_name, make_totals()).first->second
                : kind_totals->second,
            planned, kind, record);
        max_send_lag = std::max(max_send_lag, record.m_send_lag);
    }
    auto const findings = audit_run(run, targets);
    auto report = to_json(all_totals);
    report["run"] = run.m_id;
    report["plan"] = to_json(run.m_plan);
    report["audit"] = {
        {"duplicates", findings.m_duplicates},
        {"false_not_run", findings.m_false_not_run},
        {"answered_without_run", findings.m_answered_without_run},
        {"repeated_idempotent", findings.m_repeated_idempotent},
        {"unreachable_targets", targets.m_unreachable}};
    report["targets"] = targets.m_counters;
    auto& by_kind = report["kinds"] = nlohmann::json::object();
    for (auto const& [name, totals] : kinds)
    {
        by_kind[name] = to_json(totals);
    }
    report["curve"] = percentile_curve(all_totals.m_latency);
    report["timeline"] = make_timeline(run, bucket);
    report["generator"] = {
        {"max_lag_ms",
         std::chrono::duration<double, std::milli>(max_send_lag).count()}};
    return report;
}

std::uint64_t count_violations(nlohmann::json const& report)
{
    auto const& counts = report.at("counts");
    auto const& findings = report.at("audit");
    std::uint64_t sum = 0;
    for (auto const* name : {"partial", "foreign", "lost"})
    {
        sum += counts.at(name).get<std::uint64_t>();
    }
    for (auto const* name :
         {"duplicates", "false_not_run", "answered_without_run"})
    {
        sum += findings.at(name).get<std::uint64_t>();
    }
    return sum;
}

} // namespace hawthornspur::tools
