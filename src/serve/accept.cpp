#include "serve/accept.hpp"

#include "base/text.hpp"

#include <algorithm>
#include <utility>

namespace hawthornspur::serve
{

namespace
{

/// Longest deadline that a caller may name.
constexpr std::uint64_t max_deadline_ms = 86'400'000;

std::string first_label(std::string_view host)
{
    return std::string(host.substr(0, host.find_first_of(".:")));
}

/// A header with a small number that counts up along a chain of calls.
result<int> read_count(net::http_headers const& list, std::string_view name)
{
    auto const text = net::find_header(list, name);
    if (!text)
    {
        return 0;
    }
    auto const number = parse_number<std::uint16_t>(*text);
    if (!number)
    {
        return make_error(result_code::malformed_request,
                          std::string(name) + " is not a small whole number");
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

result<accepted_request> accept_request(net::http_request request)
{
    accepted_request accepted;
    accepted.m_request = std::move(request);
    auto& list = accepted.m_request.m_headers;
    if (accepted.m_request.m_uri.empty() ||
        accepted.m_request.m_uri.front() != '/')
    {
        return make_error(result_code::malformed_request,
                          "the request target must be a path");
    }
    net::remove_hop_by_hop_headers(list);
    if (auto const id = net::find_header(list, "X-Request-Id"))
    {
        accepted.m_request_id = *id;
    }
    if (auto const name = net::find_header(list, headers::service))
    {
        accepted.m_service = *name;
    }
    else if (auto const host = net::find_header(list, "Host"))
    {
        accepted.m_service = first_label(*host);
    }
    if (auto const zone = net::find_header(list, headers::zone))
    {
        accepted.m_zone = *zone;
    }
    if (auto const key = net::find_header(list, headers::key))
    {
        accepted.m_once_key = std::string(*key);
    }
    if (auto const read = read_deadline(accepted); !has_value(read))
    {
        return failure(read);
    }
    auto const attempts = read_count(list, headers::attempt);
    auto const depth = read_count(list, headers::depth);
    for (auto const* count : {&attempts, &depth})
    {
        if (!has_value(*count))
        {
            return failure(*count);
        }
    }
    accepted.m_earlier_attempts = std::max(0, value(attempts) - 1);
    accepted.m_depth = value(depth);
    // evhttp writes the length of the body itself.
    net::remove_header(list, "Content-Length");
    net::remove_header(list, "Expect");
    return accepted;
}

} // namespace hawthornspur::serve
