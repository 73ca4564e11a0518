#include "net/request_head.hpp"

#include "base/text.hpp"

#include <absl/strings/ascii.h>

#include <algorithm>
#include <array>
#include <optional>
#include <utility>
#include <vector>

namespace hawthornspur::net
{

namespace
{

constexpr std::string_view line_end = "\r\n";

error malformed(std::string message)
{
    return make_error(result_code::malformed_request, std::move(message));
}

error ambiguous(std::string message)
{
    return make_error(result_code::ambiguous_framing, std::move(message));
}

bool is_control(char c) noexcept
{
    constexpr unsigned char first_printable = 0x20;
    constexpr unsigned char delete_character = 0x7F;
    auto const byte = static_cast<unsigned char>(c);
    return byte < first_printable || byte == delete_character;
}

bool is_supported_method(std::string_view method)
{
    static constexpr auto supported = std::to_array<std::string_view>(
        {"GET", "HEAD", "POST", "PUT", "DELETE", "OPTIONS", "PATCH"});
    return std::find(supported.begin(), supported.end(), method) !=
           supported.end();
}

/// False for characters that are invalid in a request target or that parsers
/// treat differently.
bool is_request_target_character(char c)
{
    constexpr std::string_view excluded = "\"#<>\\^`{}";
    constexpr unsigned char last_ascii = 0x7E;
    return c > ' ' && static_cast<unsigned char>(c) <= last_ascii &&
           excluded.find(c) == std::string_view::npos;
}

bool has_valid_escapes(std::string_view target)
{
    for (auto position = target.find('%'); position != std::string_view::npos;
         position = target.find('%', position + 1))
    {
        auto const digits = target.substr(position + 1, 2);
        if (digits.size() != 2 ||
            !std::all_of(digits.begin(), digits.end(),
                         [](char c) {
                             return absl::ascii_isxdigit(
                                 static_cast<unsigned char>(c));
                         }))
        {
            return false;
        }
    }
    return true;
}

status check_request_target(std::string_view method, std::string_view target,
                            request_head_limits const& limits)
{
    if (target.size() > limits.m_max_request_target_bytes)
    {
        return make_error(result_code::headers_too_large,
                          "request target too long");
    }
    if (target == "*" && method == "OPTIONS")
    {
        return success();
    }
    // Some parsers interpret a second slash as the start of a host name.
    auto const is_path = target.starts_with('/') && !target.starts_with("//");
    if (!is_path ||
        !std::all_of(target.begin(), target.end(),
                     is_request_target_character) ||
        !has_valid_escapes(target))
    {
        return malformed("the request target is not a valid path");
    }
    return success();
}

status parse_request_line(std::string_view line, request_head& head,
                          request_head_limits const& limits)
{
    auto const first = line.find(' ');
    auto const last = line.rfind(' ');
    if (first == std::string_view::npos || first == last)
    {
        return malformed("the request line does not have three parts");
    }
    auto const method = line.substr(0, first);
    auto const target = line.substr(first + 1, last - first - 1);
    if (!is_token(method))
    {
        return malformed("the method is not a token");
    }
    // HTTP/1.0 has no chunked coding, so a caller could not tell the end of a
    // streamed answer from a broken connection.
    if (line.substr(last + 1) != "HTTP/1.1")
    {
        return malformed("the version is not HTTP/1.1");
    }
    auto check_result = check_request_target(method, target, limits);
    if (!has_value(check_result))
    {
        return check_result;
    }
    if (!is_supported_method(method))
    {
        return make_error(result_code::method_not_allowed, "unknown method");
    }
    head.m_method = method;
    head.m_request_target = target;
    return success();
}

status parse_header_line(std::string_view line, http_headers& headers)
{
    if (line.starts_with(' ') || line.starts_with('\t'))
    {
        return malformed("a header line is folded");
    }
    auto const colon = line.find(':');
    if (colon == std::string_view::npos || !is_token(line.substr(0, colon)))
    {
        return malformed("a header name is not a token");
    }
    auto const text = trim(line.substr(colon + 1));
    if (!is_header_value(text))
    {
        return malformed("control character in a header");
    }
    headers.emplace_back(std::string(line.substr(0, colon)), std::string(text));
    return success();
}

std::vector<std::string_view> find_header_values(http_headers const& headers,
                                                 std::string_view name)
{
    std::vector<std::string_view> values;
    for (auto const& [key, text] : headers)
    {
        if (equals_ignore_case(key, name))
        {
            values.push_back(text);
        }
    }
    return values;
}

status find_framing(request_head& head, request_head_limits const& limits)
{
    auto const lengths = find_header_values(head.m_headers, "Content-Length");
    auto const codings =
        find_header_values(head.m_headers, "Transfer-Encoding");
    if (lengths.size() + codings.size() > 1)
    {
        return ambiguous("more than one header defines the body length");
    }
    if (!codings.empty())
    {
        if (!equals_ignore_case(codings[0], "chunked"))
        {
            return ambiguous("the transfer coding is not chunked");
        }
        head.m_framing = body_framing::chunked;
        return success();
    }
    if (lengths.empty())
    {
        return success();
    }
    auto const length = parse_number<std::uint64_t>(lengths[0]);
    if (!length)
    {
        return ambiguous("Content-Length is not a number");
    }
    if (*length > limits.m_max_body_bytes)
    {
        return make_error(result_code::body_too_large,
                          "request body too large");
    }
    head.m_framing = body_framing::length;
    head.m_length = *length;
    return success();
}

/// Connection may list only hop-by-hop headers. Listing an end-to-end header
/// would make the balancer remove a header that it must pass on.
status check_connection(request_head& head)
{
    static constexpr auto end_to_end = std::to_array<std::string_view>(
        {"Host", "Content-Length", "Transfer-Encoding", "Content-Type",
         "Content-Encoding", "Authorization", "Cookie", "Expect"});
    for (auto const listed : find_header_values(head.m_headers, "Connection"))
    {
        for (auto remaining = listed; !remaining.empty();)
        {
            auto const name = take_list_item(remaining);
            if (!name.empty() && !is_token(name))
            {
                return malformed("Connection lists an invalid header name");
            }
            auto const prefix = std::string_view("hawthornspur-");
            auto const is_end_to_end =
                std::any_of(end_to_end.begin(), end_to_end.end(),
                            [&](std::string_view other)
                            { return equals_ignore_case(name, other); }) ||
                equals_ignore_case(name.substr(0, prefix.size()), prefix);
            if (is_end_to_end)
            {
                return malformed("Connection lists an end-to-end header");
            }
            head.m_closes_connection =
                head.m_closes_connection || equals_ignore_case(name, "close");
        }
    }
    return success();
}

status check_host_and_expect(request_head const& head)
{
    auto const hosts = find_header_values(head.m_headers, "Host");
    constexpr std::string_view excluded = " \t,/@\\?#\"<>";
    if (hosts.size() != 1 ||
        hosts[0].find_first_of(excluded) != std::string_view::npos)
    {
        return malformed("the request must have one valid Host header");
    }
    auto const expected = find_header_values(head.m_headers, "Expect");
    if (expected.size() > 1 ||
        (!expected.empty() && !equals_ignore_case(expected[0], "100-continue")))
    {
        return malformed("unsupported Expect header");
    }
    return success();
}

} // namespace

bool is_token(std::string_view text) noexcept
{
    constexpr std::string_view punctuation = "!#$%&'*+-.^_`|~";
    return !text.empty() &&
           std::all_of(text.begin(), text.end(),
                       [&](char c)
                       {
                           return absl::ascii_isalnum(
                                      static_cast<unsigned char>(c)) ||
                                  punctuation.find(c) != std::string_view::npos;
                       });
}

bool is_header_value(std::string_view text) noexcept
{
    return std::none_of(text.begin(), text.end(),
                        [](char c) { return c != '\t' && is_control(c); });
}

result<request_head> parse_request_head(std::string_view bytes,
                                        request_head_limits const& limits)
{
    request_head head;
    bool is_first = true;
    while (!bytes.starts_with(line_end))
    {
        auto const end = bytes.find(line_end);
        if (end == std::string_view::npos)
        {
            return malformed("the head has no end");
        }
        auto const line = bytes.substr(0, end);
        bytes.remove_prefix(end + line_end.size());
        auto const parse_result = is_first
                                      ? parse_request_line(line, head, limits)
                                      : parse_header_line(line, head.m_headers);
        is_first = false;
        if (!has_value(parse_result))
        {
            return failure(parse_result);
        }
        if (head.m_headers.size() > limits.m_max_headers)
        {
            return make_error(result_code::headers_too_large,
                              "too many headers");
        }
    }
    if (is_first || bytes != line_end)
    {
        return malformed("the head has no request line or no end");
    }
    // If several checks fail, the framing error is the one reported.
    for (auto const& check_result :
         {find_framing(head, limits), check_connection(head),
          check_host_and_expect(head)})
    {
        if (!has_value(check_result))
        {
            return failure(check_result);
        }
    }
    remove_hop_by_hop_headers(head.m_headers);
    remove_header(head.m_headers, "Content-Length");
    return head;
}

std::string to_bytes(request_head const& head)
{
    std::string out;
    out += head.m_method;
    out += ' ';
    out += head.m_request_target;
    out += " HTTP/1.1\r\n";
    auto const add = [&](std::string_view name, std::string_view text)
    {
        out += name;
        out += ": ";
        out += text;
        out += line_end;
    };
    for (auto const& [name, text] : head.m_headers)
    {
        add(name, text);
    }
    // Sent for requests without a body too: otherwise evhttp may read until the
    // connection closes.
    add("Content-Length", std::to_string(head.m_length));
    if (head.m_closes_connection)
    {
        add("Connection", "close");
    }
    out += line_end;
    return out;
}

} // namespace hawthornspur::net
