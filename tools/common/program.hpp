#ifndef HAWTHORNSPUR_TOOLS_COMMON_PROGRAM_HPP
#define HAWTHORNSPUR_TOOLS_COMMON_PROGRAM_HPP

#include "base/result.hpp"

#include <nlohmann/json_fwd.hpp>

namespace hawthornspur::net
{
class event_loop;
} // namespace hawthornspur::net

namespace hawthornspur::tools
{

/// Prints `line` as one line of JSON to standard output and runs the loop until
/// SIGTERM or SIGINT. Scripts read the ports chosen by the kernel from the
/// line.
status announce_and_run(net::event_loop& loop, nlohmann::json const& line);

/// Prints the error to standard error and returns EXIT_FAILURE.
int report_failure(error const& problem);

} // namespace hawthornspur::tools

#endif
