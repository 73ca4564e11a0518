#ifndef HAWTHORNSPUR_TOOLS_LOAD_GENERATOR_PLOT_HPP
#define HAWTHORNSPUR_TOOLS_LOAD_GENERATOR_PLOT_HPP

#include "load_generator/report.hpp"

#include <string>
#include <vector>

namespace hawthornspur::tools
{

/// Returns an SVG image with two panels: latency percentiles, and offered load,
/// goodput and refusals over time. Each report has its own colour.
std::string plot_reports(std::vector<named_report> const& reports);

} // namespace hawthornspur::tools

#endif
