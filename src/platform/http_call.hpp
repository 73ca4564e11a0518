#ifndef HAWTHORNSPUR_PLATFORM_HTTP_CALL_HPP
#define HAWTHORNSPUR_PLATFORM_HTTP_CALL_HPP

#include "core/time.hpp"
#include "net/http_client.hpp"
#include "platform/platform_calls.hpp"

#include <cstddef>
#include <string>
#include <string_view>

namespace hawthornspur::platform
{

/// An HTTP request to the platform.
struct http_call
{
    std::string m_method;
    std::string m_uri;
    /// JSON, or empty for a request without body.
    std::string m_body;
    core::duration m_timeout = std::chrono::seconds(2);
    std::size_t m_max_answer_bytes = std::size_t{8} << 20U;
};

struct http_answer
{
    int m_status = 0;
    net::http_headers m_headers;
    std::string m_body;
};

/// Sends the request and invokes `done` once from the event loop. The client
/// must outlive the call. Errors: store_unavailable if no complete answer
/// arrives, store_answer_malformed if the answer is not HTTP or too large.
void send_call(net::http_client& client, net::endpoint const& server,
               http_call call, callback<http_answer> done);

/// Percent-encodes all bytes except the unreserved characters of RFC 3986 and
/// the slash, which separates the parts of a key.
std::string escape_key(std::string_view text);

} // namespace hawthornspur::platform

#endif
