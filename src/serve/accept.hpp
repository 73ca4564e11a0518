#ifndef HAWTHORNSPUR_SERVE_ACCEPT_HPP
#define HAWTHORNSPUR_SERVE_ACCEPT_HPP

#include "base/result.hpp"
#include "serve/call.hpp"

namespace hawthornspur::serve
{

namespace headers
{
inline constexpr std::string_view service = "Hawthornspur-Service";
inline constexpr std::string_view zone = "Hawthornspur-Zone";
inline constexpr std::string_view deadline = "Hawthornspur-Deadline-Ms";
inline constexpr std::string_view key = "Hawthornspur-Key";
inline constexpr std::string_view attempt = "Hawthornspur-Attempt";
inline constexpr std::string_view depth = "Hawthornspur-Depth";
inline constexpr std::string_view code = "Hawthornspur-Code";
inline constexpr std::string_view outcome = "Hawthornspur-Outcome";
inline constexpr std::string_view load = "Hawthornspur-Load";
inline constexpr std::string_view not_run = "Hawthornspur-Not-Run";
inline constexpr std::string_view draining = "Hawthornspur-Draining";
/// Requests per second that a target takes from all hosts together.
inline constexpr std::string_view rate_limit = "Hawthornspur-Rate-Limit";
/// Name of the customer that holds the request's access key.
inline constexpr std::string_view customer = "Hawthornspur-Customer";
/// Access key of the caller's customer: "Bearer KEY".
inline constexpr std::string_view credentials = "Authorization";
} // namespace headers

/// First filter: reads the headers that are addressed to this host and removes
/// hop-by-hop headers. Errors: malformed_request, deadline_invalid.
result<accepted_request> accept_request(net::http_request request);

/// Reads an access key written as "SCHEME KEY". The scheme is compared without
/// regard to case. Empty if the credentials have another form.
std::string read_access_key(std::string_view credentials,
                            std::string_view scheme);

} // namespace hawthornspur::serve

#endif
