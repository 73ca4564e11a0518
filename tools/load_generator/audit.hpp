#ifndef HAWTHORNSPUR_TOOLS_LOAD_GENERATOR_AUDIT_HPP
#define HAWTHORNSPUR_TOOLS_LOAD_GENERATOR_AUDIT_HPP

#include "load_generator/plan.hpp"
#include "load_generator/record.hpp"

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace hawthornspur::tools
{

/// What the target emulators recorded, added up over all of them.
struct target_record
{
    /// Request id or at-most-once key to number of runs.
    std::unordered_map<std::string, std::uint64_t> m_requests;
    std::unordered_map<std::string, std::uint64_t> m_keys;
    std::map<std::string, double> m_counters;
    /// Targets that did not answer, whose runs are unknown.
    std::vector<std::string> m_unreachable;
};

/// Adds the answers of GET /control/runs and GET /control/counters.
void add_runs(target_record& record, nlohmann::json const& runs);
void add_counters(target_record& record, nlohmann::json const& counters);

/// What one run of the generator sent and received.
struct load_run
{
    std::string m_id;
    load_plan m_plan;
    std::vector<arrival> m_arrivals;
    /// One for each arrival.
    std::vector<request_record> m_records;
};

/// Comparison of what callers were told with what targets ran.
struct audit
{
    /// At-most-once requests or keys that ran more than once.
    std::uint64_t m_duplicates = 0;
    /// Requests that ran although the caller was told "not run".
    std::uint64_t m_false_not_run = 0;
    /// Requests answered with success that no target ran. Not checked when a
    /// target could not be asked.
    std::uint64_t m_answered_without_run = 0;
    /// Further runs of idempotent requests, by retries.
    std::uint64_t m_repeated_idempotent = 0;
};

audit compare(load_run const& run, target_record const& targets);

} // namespace hawthornspur::tools

#endif
