#include "serve/accept.hpp"

#include "base/text.hpp"

#include <algorithm>
#include <utility>

namespace hawthornspur::serve
{

namespace
{

/// Longest deadline that a caller may request.
constexpr std::uint64_t max_deadline_ms = 86'400'000;

std::string first_label(std::string_view host_name)
{
    return std::string(host_name.substr(0, host_name.find_first_of(".:")));
}

/// Parses a header with a counter, such as the depth in a chain of calls. 0 if
/// the header is missing.
result<int> read_count(net::http_headers const& request_headers,
                       std::string_view name)
{
    auto const text = net::find_header(request_headers, name);
    if (!text)
    {
        return 0;
    }
    auto const number = parse_number<std::uint16_t>(*text);
    if (!number)
    {
        return make_error(result_code::malformed_request,
                          std::string(name) +
                              " must be a whole number up to 65535");
    }
    return static_cast<int>(*number);
}

status read_deadline(accepted_request& accepted)
{
    auto const text =
        net::find_header(accepted.m_request.m_headers, headers::deadline);
    if (!text)
    {
        return success();
    }
    auto const ms = parse_number<std::uint64_t>(*text);
    if (!ms || *ms == 0 || *ms > max_deadline_ms)
    {
        return make_error(result_code::deadline_invalid,
                          "Hawthornspur-Deadline-Ms must be 1 to 86400000");
    }
    accepted.m_time_left = std::chrono::milliseconds(*ms);
    return success();
}

} // namespace

std::string read_access_key(std::string_view credentials,
                            std::string_view scheme)
{
    auto const space = credentials.find(' ');
    if (space == std::string_view::npos ||
        !equals_ignore_case(credentials.substr(0, space), scheme))
    {
        return {};
    }
    return std::string(trim(credentials.substr(space)));
}

result<accepted_request> accept_request(net::http_request request)
{
    accepted_request accepted;
    accepted.m_request = std::move(request);
    auto& request_headers = accepted.m_request.m_headers;
    if (accepted.m_request.m_uri.empty() ||
        accepted.m_request.m_uri.front() != '/')
    {
        return make_error(result_code::malformed_request,
                          "the request target must be a path");
    }
    net::remove_hop_by_hop_headers(request_headers);
    if (auto const id = net::find_header(request_headers, "X-Request-Id"))
    {
        accepted.m_request_id = *id;
    }
    if (auto const name = net::find_header(request_headers, headers::service))
    {
        accepted.m_service = *name;
    }
    else if (auto const host = net::find_header(request_headers, "Host"))
    {
        accepted.m_service = first_label(*host);
    }
    if (auto const zone = net::find_header(request_headers, headers::zone))
    {
        accepted.m_zone = *zone;
    }
    if (auto const key = net::find_header(request_headers, headers::key))
    {
        accepted.m_once_key = std::string(*key);
    }
    if (auto const parsed = read_deadline(accepted); !has_value(parsed))
    {
        return failure(parsed);
    }
    accepted.m_access_key = read_access_key(
        net::find_header(request_headers, headers::credentials).value_or(""),
        "Bearer");
    auto const attempts = read_count(request_headers, headers::attempt);
    auto const depth = read_count(request_headers, headers::depth);
    for (auto const* count : {&attempts, &depth})
    {
        if (!has_value(*count))
        {
            return failure(*count);
        }
    }
    accepted.m_earlier_attempts = std::max(0, value(attempts) - 1);
    accepted.m_depth = value(depth);
    // evhttp sets the length of the body itself.
    net::remove_header(request_headers, "Content-Length");
    net::remove_header(request_headers, "Expect");
    return accepted;
}

} // namespace hawthornspur::serve
