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

/// Sends the requests of the plan at their planned times, regardless of
/// outstanding answers (open loop). Runs the event loop until all requests have
/// ended or `patience` has passed since the last arrival.
result<load_run> run_load(net::event_loop& loop, load_plan const& plan,
                          std::string const& run_id, sender const& send,
                          core::duration patience);

/// Requests the recorded runs and counters from the targets; runs the event
/// loop until all have answered or timed out.
result<target_record>
fetch_target_records(net::event_loop& loop,
                     std::vector<net::endpoint> const& targets);

} // namespace hawthornspur::tools

#endif
