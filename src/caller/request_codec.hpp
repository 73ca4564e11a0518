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

/// The request for addresses.
net::http_request make_address_request(std::string const& service,
                                       std::string const& zone);

/// One attempt as it is sent. `attempt` counts from 1; an empty key is left
/// out.
net::http_request make_attempt_request(call_request const& request,
                                       std::string const& key, int attempt,
                                       core::duration time_left);

/// The refusal in a whole answer; none when the answer is the service's own.
std::optional<failed_attempt> read_refusal(net::http_headers const& headers);

/// What is known after an exchange that ended without a whole answer.
failed_attempt to_failed_attempt(net::exchange_outcome outcome);

} // namespace hawthornspur::calling

#endif
