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

/// A request head that can be read in one way only.
struct request_head
{
    std::string m_method;
    std::string m_target;
    /// Without Content-Length and the headers of one connection.
    http_headers m_headers;
    body_framing m_framing = body_framing::none;
    std::uint64_t m_length = 0;
    bool m_closes = false;
};

struct request_head_limits
{
    std::size_t m_max_target_bytes = 8192;
    std::size_t m_max_headers = 128;
    std::uint64_t m_max_body_bytes = std::uint64_t{16} << 20U;
};

/// Parses a head from the request line up to and including the empty line.
/// Stricter than RFC 9112, which lets a recipient repair some faults: a
/// target may repair them in another way, and would then see another request
/// than the one that was checked here. Errors: malformed_request,
/// ambiguous_framing, method_not_allowed, headers_too_large, body_too_large.
result<request_head> parse_request_head(std::string_view bytes,
                                        request_head_limits const& limits);

/// Writes the head with a Content-Length, in the one form that evhttp parses
/// without doubt.
std::string to_bytes(request_head const& head);

/// True for the characters of method and header names (RFC 9110, 5.6.2).
bool is_token(std::string_view text) noexcept;

/// True when a header value has no control character but tabs.
bool is_header_value(std::string_view text) noexcept;

} // namespace hawthornspur::net

#endif
