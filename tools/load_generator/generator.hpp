#ifndef HAWTHORNSPUR_TOOLS_LOAD_GENERATOR_GENERATOR_HPP
#define HAWTHORNSPUR_TOOLS_LOAD_GENERATOR_GENERATOR_HPP

#include "base/result.hpp"
#include "load_generator/audit.hpp"
#include "load_generator/sender.hpp"

#include <string>
#include <vector>

namespace hawthornspur::net
{
class event_loop;
} // namespace hawthornspur::net

namespace hawthornspur::tools
{

/// Sends the plan's requests at their times, whether or not earlier ones have
/// been answered, and runs the loop until all have ended or `patience` has
/// passed since the last arrival.
result<load_run> run_load(net::event_loop& loop, load_plan const& plan,
                          std::string const& run_id, sender const& send,
                          core::duration patience);

/// Asks the targets for their runs and counters; runs the loop meanwhile.
result<target_record> ask_targets(net::event_loop& loop,
                                  std::vector<net::endpoint> const& targets);

} // namespace hawthornspur::tools

#endif
