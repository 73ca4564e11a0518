#ifndef HAWTHORNSPUR_NET_HTTP_MESSAGE_HPP
#define HAWTHORNSPUR_NET_HTTP_MESSAGE_HPP

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace hawthornspur::net
{

using http_header = std::pair<std::string, std::string>;
using http_headers = std::vector<http_header>;

/// A request with its whole body.
struct http_request
{
    std::string m_method;
    /// Path and query as sent.
    std::string m_uri;
    http_headers m_headers;
    std::string m_body;
};

struct http_response_head
{
    int m_status = 0;
    http_headers m_headers;
};

/// Returns the value of the first header with this name, ignoring case. The
/// view refers to `headers`.
std::optional<std::string_view> find_header(http_headers const& headers,
                                            std::string_view name);

/// Removes every header with this name, ignoring case.
void remove_header(http_headers& headers, std::string_view name);

/// Replaces every header with this name by one with this value.
void set_header(http_headers& headers, std::string_view name,
                std::string value);

/// Removes the first item of a list with commas, such as the options of a
/// Connection header, and returns it without spaces around it.
std::string_view take_list_item(std::string_view& list) noexcept;

/// Removes Connection, the headers listed in it, and the other headers that
/// apply to a single connection (RFC 9110, section 7.6.1).
void remove_hop_by_hop_headers(http_headers& headers);

} // namespace hawthornspur::net

#endif
