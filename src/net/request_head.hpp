#ifndef HAWTHORNSPUR_NET_REQUEST_HEAD_HPP
#define HAWTHORNSPUR_NET_REQUEST_HEAD_HPP

#include "base/result.hpp"
#include "net/http_message.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace hawthornspur::net
{

/// How the body of a request is delimited.
enum class body_framing : std::uint8_t
{
    none,
    length,
    chunked,
};

/// A validated request head with unambiguous framing.
struct request_head
{
    std::string m_method;
    std::string m_request_target;
    /// Without Content-Length and hop-by-hop headers.
    http_headers m_headers;
    body_framing m_framing = body_framing::none;
    /// The announced length of the body in bytes.
    std::uint64_t m_length = 0;
    /// The caller sent "Connection: close".
    bool m_closes_connection = false;
};

struct request_head_limits
{
    std::size_t m_max_request_target_bytes = 8192;
    std::size_t m_max_headers = 128;
    std::uint64_t m_max_body_bytes = std::uint64_t{16} << 20U;
};

/// Parses a head from the request line up to and including the empty line.
/// Stricter than RFC 9112, which lets a recipient repair some faults: a target
/// that repairs them differently would process another request than the one
/// validated here. Errors: malformed_request, ambiguous_framing,
/// method_not_allowed, headers_too_large, body_too_large.
result<request_head> parse_request_head(std::string_view bytes,
                                        request_head_limits const& limits);

/// Serializes the head with a Content-Length, in a form that any parser reads
/// in the same way.
std::string to_bytes(request_head const& head);

/// True if the text is a valid method or header name (RFC 9110, section 5.6.2).
bool is_token(std::string_view text) noexcept;

/// True if the text has no control characters other than tabs.
bool is_header_value(std::string_view text) noexcept;

} // namespace hawthornspur::net

#endif
