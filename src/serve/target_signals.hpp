#ifndef HAWTHORNSPUR_SERVE_TARGET_SIGNALS_HPP
#define HAWTHORNSPUR_SERVE_TARGET_SIGNALS_HPP

#include "core/configuration.hpp"
#include "core/pool.hpp"
#include "net/http_message.hpp"

#include <optional>
#include <string_view>

namespace hawthornspur::serve
{

/// Whether the target reports that it refused the request without running it.
bool is_not_run(net::http_response_head const& head,
                core::kind_config const& kind);

/// Whether the target announces that it is leaving.
bool is_draining(net::http_response_head const& head);

/// Reads the load that the target reports as "in-flight/slots". Nothing if the
/// header is missing or malformed.
std::optional<core::reported_load>
read_load(net::http_response_head const& head);

/// Reads a rate limit in requests per second from the header with this name.
/// Nothing if the header is missing or is not a finite number of at least 0.
std::optional<double> read_rate_limit(net::http_headers const& headers,
                                      std::string_view name);

/// Reads how much longer a target is cold, in milliseconds, from the header
/// with this name. Nothing if the header is missing or is not a time of at most
/// one day.
std::optional<core::duration> read_cold_time(net::http_headers const& headers,
                                             std::string_view name);

} // namespace hawthornspur::serve

#endif
