#ifndef HAWTHORNSPUR_TOOLS_LOAD_GENERATOR_REPORT_HPP
#define HAWTHORNSPUR_TOOLS_LOAD_GENERATOR_REPORT_HPP

#include "load_generator/audit.hpp"

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace hawthornspur::tools
{

/// Creates a report as JSON; tools/README.md lists its parts.
nlohmann::json make_report(load_run const& run, target_record const& targets,
                           core::duration bucket);

/// Formats the report as text.
std::string to_text(nlohmann::json const& report);

/// Counts violations of the invariants: duplicates, requests that ran although
/// reported as not run, successful answers without a run, foreign or partial
/// answers, and lost requests.
std::uint64_t count_violations(nlohmann::json const& report);

struct named_report
{
    std::string m_name;
    nlohmann::json m_report;
};

/// Formats a table of the main figures of each report and their ratios to the
/// first report. `reports` must not be empty.
std::string compare_reports(std::vector<named_report> const& reports);

} // namespace hawthornspur::tools

#endif
