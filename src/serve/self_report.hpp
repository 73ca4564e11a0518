#ifndef HAWTHORNSPUR_SERVE_SELF_REPORT_HPP
#define HAWTHORNSPUR_SERVE_SELF_REPORT_HPP

#include "serve/metrics.hpp"

#include <nlohmann/json_fwd.hpp>

#include <vector>

namespace hawthornspur::serve
{

struct entry_host;

/// What each listener of the host has done with new connections, for
/// `GET /status`.
nlohmann::json describe_listeners(entry_host const& host);

/// How late the event loop runs and which activities took longest, for
/// `GET /status`. Times in milliseconds.
nlohmann::json describe_loop_delay(entry_host const& host);

/// The same as samples of the metrics page.
void add_self_report_samples(entry_host const& host,
                             std::vector<metrics::sample>& samples);

} // namespace hawthornspur::serve

#endif
