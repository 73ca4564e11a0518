#ifndef HAWTHORNSPUR_CLI_HTTP_QUERY_HPP
#define HAWTHORNSPUR_CLI_HTTP_QUERY_HPP

#include "base/result.hpp"
#include "net/http_client.hpp"
#include "net/http_message.hpp"

#include <string>

namespace hawthornspur::cli
{

/// The answer of a host.
struct http_answer
{
    int m_status = 0;
    std::string m_body;
};

/// Sends one request and blocks until the answer is complete. Errors:
/// system_failure, address_unavailable when the host does not answer.
result<http_answer> query(net::endpoint const& server,
                          net::http_request const& request);

} // namespace hawthornspur::cli

#endif
