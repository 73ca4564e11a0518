#ifndef HAWTHORNSPUR_SERVE_RATE_LIMITS_HPP
#define HAWTHORNSPUR_SERVE_RATE_LIMITS_HPP

#include "core/advertised_rate.hpp"
#include "core/ids.hpp"

namespace hawthornspur::serve
{

struct entry_host;

/// Reports to the pool what an answer of a target says about its rate limit.
void report_rate_limit(entry_host& host, core::pool_id const& pool_id,
                       core::rate_report const& report);

/// Logs what this host sent to targets that advertise a rate limit since the
/// last call.
void log_rate_usage(entry_host& host);

} // namespace hawthornspur::serve

#endif
