#ifndef HAWTHORNSPUR_CALLER_REQUEST_CODEC_HPP
#define HAWTHORNSPUR_CALLER_REQUEST_CODEC_HPP

#include "caller/retry_rules.hpp"
#include "core/time.hpp"
#include "net/http_client.hpp"
#include "net/http_message.hpp"

#include <optional>
#include <string>

namespace hawthornspur::calling
{

/// Encodes a request for the addresses of a service.
net::http_request make_address_request(std::string const& service,
                                       std::string const& zone);

/// Encodes one attempt of a call. `attempt` counts from 1; an empty key adds no
/// key header. `time_left` is rounded down to milliseconds, but at least 1 is
/// sent.
net::http_request make_attempt_request(call_request const& request,
                                       std::string const& key, int attempt,
                                       core::duration time_left);

/// Reads the refusal from the headers of a complete answer; none when the
/// answer is the service's own.
std::optional<failed_attempt> read_refusal(net::http_headers const& headers);

/// The code and execution state of an exchange that ended without a complete
/// answer. The outcome must not be `complete`.
failed_attempt to_failed_attempt(net::exchange_outcome outcome);

} // namespace hawthornspur::calling

#endif
