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

/// Prints one JSON line to standard output, by which scripts learn the ports
/// that the kernel chose, and runs the loop until SIGTERM or SIGINT.
status announce_and_run(net::event_loop& loop, nlohmann::json const& line);

/// Prints the error to standard error; the exit status of a failed program.
int report_failure(error const& problem);

} // namespace hawthornspur::tools

#endif
