#ifndef HAWTHORNSPUR_TOOLS_LOAD_GENERATOR_PLOT_HPP
#define HAWTHORNSPUR_TOOLS_LOAD_GENERATOR_PLOT_HPP

#include "load_generator/report.hpp"

#include <string>
#include <vector>

namespace hawthornspur::tools
{

/// An SVG with two panels: latency percentiles, and goodput over time beside
/// the offered load. Each report is one series.
std::string plot_reports(std::vector<named_report> const& reports);

} // namespace hawthornspur::tools

#endif
