#ifndef HAWTHORNSPUR_TOOLS_LOAD_GENERATOR_AUDIT_HPP
#define HAWTHORNSPUR_TOOLS_LOAD_GENERATOR_AUDIT_HPP

#include "load_generator/plan.hpp"
#include "load_generator/request_record.hpp"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace hawthornspur::tools
{

/// Runs and counters recorded by the target emulators, summed over all targets.
struct target_record
{
    /// Number of runs by request id.
    std::unordered_map<std::string, std::uint64_t> m_requests;
    /// Number of runs by at-most-once key.
    std::unordered_map<std::string, std::uint64_t> m_keys;
    std::map<std::string, double> m_counters;
    /// Targets that did not answer; their runs are unknown.
    std::vector<std::string> m_unreachable;
};

/// Adds an answer of GET /control/runs.
void add_runs(target_record& record, nlohmann::json const& runs);

/// Adds an answer of GET /control/counters.
void add_counters(target_record& record, nlohmann::json const& counters);

/// Requests sent by one run of the generator and their results.
struct load_run
{
    std::string m_id;
    load_plan m_plan;
    std::vector<arrival> m_arrivals;
    /// One record per arrival, in the same order.
    std::vector<request_record> m_records;
};

/// Comparison of the results reported to callers with the runs on targets.
struct audit
{
    /// Requests of at-most-once kinds and at-most-once keys that ran more than
    /// once.
    std::uint64_t m_duplicates = 0;
    /// Requests that ran although "not run" was reported to the caller.
    std::uint64_t m_false_not_run = 0;
    /// Requests answered with success that no target ran. Not checked if a
    /// target is unreachable.
    std::uint64_t m_answered_without_run = 0;
    /// Idempotent requests that ran more than once.
    std::uint64_t m_repeated_idempotent = 0;
};

audit audit_run(load_run const& run, target_record const& targets);

} // namespace hawthornspur::tools

#endif
