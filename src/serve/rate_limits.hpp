#ifndef HAWTHORNSPUR_SERVE_RATE_LIMITS_HPP
#define HAWTHORNSPUR_SERVE_RATE_LIMITS_HPP

#include "core/ids.hpp"

#include <optional>

namespace hawthornspur::serve
{

struct entry_host;

/// Reports to the pool the rate limit that the head of a target's answer
/// advertises. `is_run` tells that the target ran the request without a server
/// error; other answers may come without the limit although it holds.
void report_rate_limit(entry_host& host, core::pool_id const& pool_id,
                       core::target_id target,
                       std::optional<double> requests_per_second, bool is_run);

/// Logs what this host sent to targets that advertise a rate limit since the
/// last call.
void log_rate_usage(entry_host& host);

} // namespace hawthornspur::serve

#endif
