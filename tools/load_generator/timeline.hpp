#ifndef HAWTHORNSPUR_TOOLS_LOAD_GENERATOR_TIMELINE_HPP
#define HAWTHORNSPUR_TOOLS_LOAD_GENERATOR_TIMELINE_HPP

#include "load_generator/audit.hpp"

#include <nlohmann/json_fwd.hpp>

namespace hawthornspur::tools
{

/// Returns counts and latencies in time buckets: `{bucket_ms, offered, good,
/// goodput, refused, failed, p50_ms, p99_ms}` with one number per bucket in
/// each array. `goodput` counts good answers in the bucket in which they ended;
/// the other arrays refer to the bucket of the planned arrival.
nlohmann::json make_timeline(load_run const& run, core::duration bucket);

} // namespace hawthornspur::tools

#endif
