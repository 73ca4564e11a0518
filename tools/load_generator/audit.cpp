#include "load_generator/audit.hpp"

#include <nlohmann/json.hpp>

namespace hawthornspur::tools
{

namespace
{

void add_counts(std::unordered_map<std::string, std::uint64_t>& totals,
                nlohmann::json const& counts)
{
    for (auto const& [name, count] : counts.items())
    {
        totals[name] += count.get<std::uint64_t>();
    }
}

} // namespace

void add_runs(target_record& record, nlohmann::json const& runs)
{
    add_counts(record.m_requests, runs.at("requests"));
    add_counts(record.m_keys, runs.at("keys"));
}

void add_counters(target_record& record, nlohmann::json const& counters)
{
    for (auto const& [name, count] : counters.items())
    {
        record.m_counters[name] += count.get<double>();
    }
}

audit audit_run(load_run const& run, target_record const& targets)
{
    audit findings;
    for (std::size_t i = 0; i < run.m_records.size(); ++i)
    {
        auto const& record = run.m_records[i];
        auto const entry =
            targets.m_requests.find(make_request_id(run.m_id, i));
        auto const runs = entry == targets.m_requests.end() ? 0 : entry->second;
        auto const rule = run.m_plan.m_kinds[run.m_arrivals[i].m_kind].m_rule;
        if (runs > 1)
        {
            ++(rule == call_rule::at_most_once
                   ? findings.m_duplicates
                   : findings.m_repeated_idempotent);
        }
        if (record.m_outcome == request_outcome::failed &&
            record.m_execution == execution::not_run && runs > 0)
        {
            ++findings.m_false_not_run;
        }
        if (record.m_outcome == request_outcome::answered && runs == 0 &&
            targets.m_unreachable.empty())
        {
            ++findings.m_answered_without_run;
        }
    }
    // A request may use several keys, but a key must not run more than once.
    for (auto const& [key, runs] : targets.m_keys)
    {
        findings.m_duplicates += runs > 1 ? 1 : 0;
    }
    return findings;
}

} // namespace hawthornspur::tools
