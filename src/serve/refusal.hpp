#ifndef HAWTHORNSPUR_SERVE_REFUSAL_HPP
#define HAWTHORNSPUR_SERVE_REFUSAL_HPP

#include "net/http_message.hpp"
#include <hawthornspur/result_code.hpp>

#include <string>
#include <utility>

namespace hawthornspur::serve
{

/// The answer that tells a caller about a refusal or failure: status, the
/// Hawthornspur-Code and Hawthornspur-Outcome headers and a JSON body.
std::pair<net::http_response_head, std::string>
make_refusal(result_code code, std::string const& detail);

} // namespace hawthornspur::serve

#endif
