#ifndef HAWTHORNSPUR_TOOLS_LOAD_GENERATOR_TIMELINE_HPP
#define HAWTHORNSPUR_TOOLS_LOAD_GENERATOR_TIMELINE_HPP

#include "load_generator/audit.hpp"

#include <nlohmann/json_fwd.hpp>

namespace hawthornspur::tools
{

/// Events by time in buckets: `{bucket_ms, offered, good, refused, failed,
/// p50_ms, p99_ms}` with one number for each bucket. Requests are counted
/// where they arrived, good answers also where they ended as `goodput`.
nlohmann::json make_timeline(load_run const& run, core::duration bucket);

} // namespace hawthornspur::tools

#endif
