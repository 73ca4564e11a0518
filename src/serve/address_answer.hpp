#ifndef HAWTHORNSPUR_SERVE_ADDRESS_ANSWER_HPP
#define HAWTHORNSPUR_SERVE_ADDRESS_ANSWER_HPP

#include "net/http_message.hpp"
#include "net/http_server.hpp"

#include <string_view>

namespace hawthornspur::serve
{

struct entry_host;

inline constexpr std::string_view address_path =
    "/.well-known/hawthornspur/addresses";

/// Answers a caller's request for the entry hosts of a service: the owner of
/// the pool first, then its successors, with a lifetime and a session whose
/// home is the first host. docs/callers.md describes the protocol.
void answer_addresses(entry_host& host, net::http_request const& request,
                      net::http_exchange& exchange);

} // namespace hawthornspur::serve

#endif
