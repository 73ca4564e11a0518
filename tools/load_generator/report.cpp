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

struct tally
{
    std::map<std::string, std::uint64_t> m_counts;
    std::map<std::string, std::uint64_t> m_codes;
    latency_histogram m_latency;
    latency_histogram m_excess;
    latency_histogram m_refusals;
};

char const* name_of(request_record const& record)
{
    switch (record.m_end)
    {
    case request_end::lost:
        return "lost";
    case request_end::answered:
        return "answered";
    case request_end::error_status:
        return "error_status";
    case request_end::partial:
        return "partial";
    case request_end::foreign:
        return "foreign";
    case request_end::failed:
        break;
    }
    return record.m_execution == execution::not_run ? "refused" : "failed";
}

tally make_tally()
{
    tally t;
    for (auto const* name :
         {"offered", "answered", "good", "late", "error_status", "refused",
          "failed", "partial", "foreign", "lost", "attempts"})
    {
        t.m_counts[name] = 0;
    }
    return t;
}

void add(tally& t, arrival const& a, load_kind const& kind,
         request_record const& record)
{
    ++t.m_counts["offered"];
    ++t.m_counts[name_of(record)];
    t.m_counts["attempts"] += record.m_attempts;
    if (record.m_code != 0)
    {
        ++t.m_codes[std::to_string(record.m_code)];
    }
    if (record.m_end == request_end::answered)
    {
        ++t.m_counts[record.m_latency <= kind.m_deadline ? "good" : "late"];
        t.m_latency.add(record.m_latency);
        t.m_excess.add(record.m_latency - a.m_service_time);
    }
    if (record.m_end == request_end::failed &&
        record.m_execution == execution::not_run)
    {
        t.m_refusals.add(record.m_latency);
    }
}

nlohmann::json to_json(tally const& t)
{
    return {{"counts", t.m_counts},
            {"codes", t.m_codes},
            {"latency_ms", summarize(t.m_latency)},
            {"excess_ms", summarize(t.m_excess)},
            {"refusal_ms", summarize(t.m_refusals)}};
}

} // namespace

nlohmann::json make_report(load_run const& run, target_record const& targets,
                           core::duration bucket)
{
    auto total = make_tally();
    std::map<std::string, tally> kinds;
    core::duration lag{0};
    for (std::size_t i = 0; i < run.m_records.size(); ++i)
    {
        auto const& a = run.m_arrivals[i];
        auto const& kind = run.m_plan.m_kinds[a.m_kind];
        auto const& record = run.m_records[i];
        add(total, a, kind, record);
        auto const entry = kinds.find(kind.m_name);
        add(entry == kinds.end()
                ? kinds.emplace(kind.m_name, make_tally()).first->second
                : entry->second,
            a, kind, record);
        lag = std::max(lag, record.m_lag);
    }
    auto const audited = compare(run, targets);
    auto report = to_json(total);
    report["run"] = run.m_id;
    report["plan"] = to_json(run.m_plan);
    report["audit"] = {{"duplicates", audited.m_duplicates},
                       {"false_not_run", audited.m_false_not_run},
                       {"answered_without_run", audited.m_answered_without_run},
                       {"repeated_idempotent", audited.m_repeated_idempotent},
                       {"unreachable_targets", targets.m_unreachable}};
    report["targets"] = targets.m_counters;
    auto& by_kind = report["kinds"] = nlohmann::json::object();
    for (auto const& [name, t] : kinds)
    {
        by_kind[name] = to_json(t);
    }
    report["curve"] = percentile_curve(total.m_latency);
    report["timeline"] = make_timeline(run, bucket);
    report["generator"] = {
        {"max_lag_ms", std::chrono::duration<double, std::milli>(lag).count()}};
    return report;
}

std::uint64_t count_violations(nlohmann::json const& report)
{
    auto const& counts = report.at("counts");
    auto const& audited = report.at("audit");
    std::uint64_t sum = 0;
    for (auto const* name : {"partial", "foreign", "lost"})
    {
        sum += counts.at(name).get<std::uint64_t>();
    }
    for (auto const* name :
         {"duplicates", "false_not_run", "answered_without_run"})
    {
        sum += audited.at(name).get<std::uint64_t>();
    }
    return sum;
}

} // namespace hawthornspur::tools
