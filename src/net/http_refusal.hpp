#ifndef HAWTHORNSPUR_NET_HTTP_REFUSAL_HPP
#define HAWTHORNSPUR_NET_HTTP_REFUSAL_HPP

#include "net/http_message.hpp"
#include <hawthornspur/result_code.hpp>

#include <string>

namespace hawthornspur::net
{

/// The answer that reports a result code to a caller.
struct http_refusal
{
    http_response_head m_head;
    std::string m_body;
};

/// Makes an answer with the headers Hawthornspur-Code and Hawthornspur-Outcome
/// and a JSON body. Precondition: the code has an HTTP status.
http_refusal make_refusal(result_code code);

/// Serializes the answer with Connection: close.
std::string to_bytes(http_refusal const& refusal);

} // namespace hawthornspur::net

#endif
