#ifndef HAWTHORNSPUR_TOOLS_LOAD_GENERATOR_REPORT_HPP
#define HAWTHORNSPUR_TOOLS_LOAD_GENERATOR_REPORT_HPP

#include "load_generator/audit.hpp"

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace hawthornspur::tools
{

/// A report as JSON; its parts are listed in tools/README.md.
nlohmann::json make_report(load_run const& run, target_record const& targets,
                           core::duration bucket);

/// The report for people.
std::string to_text(nlohmann::json const& report);

/// Violations of the invariants: duplicates, false "not run", answers that
/// are foreign or partial, and requests without any end.
std::uint64_t count_violations(nlohmann::json const& report);

struct named_report
{
    std::string m_name;
    nlohmann::json m_report;
};

/// Figures of each report and their ratios to the first.
std::string compare_reports(std::vector<named_report> const& reports);

} // namespace hawthornspur::tools

#endif
