#include "net/answer_validator.hpp"

#include "base/text.hpp"
#include "net/http_message.hpp"
#include "net/request_head.hpp"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <cstdint>
#include <optional>
#include <utility>

namespace hawthornspur::net
{

namespace
{

constexpr std::string_view line_end = "\r\n";
constexpr std::string_view head_end = "\r\n\r\n";
constexpr int first_final_status = 200;
constexpr int last_status = 599;
constexpr int first_status = 100;
constexpr int switching_protocols = 101;
/// A message between hosts holds 8,192 headers at most; one with more would
/// break the link to the host that forwarded the request.
constexpr int max_headers = 4096;

error malformed(std::string message)
{
    return make_error(result_code::target_answer_malformed, std::move(message));
}

/// Returns 200 for "HTTP/1.1 200 OK".
std::optional<int> parse_status(std::string_view line)
{
    constexpr std::string_view prefix = "HTTP/1.";
    constexpr std::size_t status_offset = 9;
    constexpr std::size_t status_digits = 3;
    auto const is_version =
        line.starts_with(prefix) &&
        line.size() >= status_offset + status_digits &&
        (line[prefix.size()] == '0' || line[prefix.size()] == '1') &&
        line[status_offset - 1] == ' ';
    if (!is_version || !is_header_value(line))
    {
        return std::nullopt;
    }
    auto const rest = line.substr(status_offset + status_digits);
    auto const status =
        parse_number<int>(line.substr(status_offset, status_digits));
    // A target that breaks off and starts again would lend the status of the
    // first answer to the second one.
    auto const is_single = rest.find(prefix) == std::string_view::npos;
    auto const is_valid = status && *status >= first_status &&
                          *status <= last_status && is_single &&
                          (rest.empty() || rest[0] == ' ');
    return is_valid ? status : std::nullopt;
}

/// Whether a Connection header names the option.
bool names_option(std::string_view options, std::string_view option)
{
    while (!options.empty())
    {
        if (equals_ignore_case(take_list_item(options), option))
        {
            return true;
        }
    }
    return false;
}

/// The head with one Connection header, "close", if it has the option, and
/// without any otherwise. `first_line` is the size of the status line.
std::string simplify_connection(std::string_view head, std::size_t first_line)
{
    std::string out(head.substr(0, first_line));
    bool is_closed = false;
    for (auto rest = head.substr(first_line); !rest.starts_with(line_end);)
    {
        auto const size = rest.find(line_end) + line_end.size();
        auto const line = rest.substr(0, size);
        auto const colon = line.find(':');
        if (equals_ignore_case(line.substr(0, colon), "Connection"))
        {
            is_closed =
                is_closed || names_option(line.substr(colon + 1), "close");
        }
        else
        {
            out += line;
        }
        rest.remove_prefix(size);
    }
    out += is_closed ? "Connection: close\r\n\r\n" : "\r\n";
    return out;
}

status check_headers(std::string_view head, bool& is_chunked, bool& has_length)
{
    int framing_headers = 0;
    int headers = 0;
    while (!head.starts_with(line_end))
    {
        if (++headers > max_headers)
        {
            return malformed("too many headers");
        }
        auto const end = head.find(line_end);
        auto const line = head.substr(0, end);
        head.remove_prefix(end + line_end.size());
        auto const colon = line.find(':');
        if (colon == std::string_view::npos || !is_token(line.substr(0, colon)))
        {
            return malformed("a header name is not a token");
        }
        auto const name = line.substr(0, colon);
        auto const text = trim(line.substr(colon + 1));
        if (!is_header_value(text))
        {
            return malformed("control character in a header");
        }
        if (contains_status_line(text))
        {
            return malformed("a second answer starts in a header");
        }
        if (equals_ignore_case(name, "Content-Length"))
        {
            ++framing_headers;
            if (!parse_number<std::uint64_t>(text))
            {
                return malformed("Content-Length is not a number");
            }
        }
        if (equals_ignore_case(name, "Transfer-Encoding"))
        {
            ++framing_headers;
            if (!equals_ignore_case(text, "chunked"))
            {
                return malformed("the transfer coding is not chunked");
            }
            is_chunked = true;
        }
    }
    if (framing_headers > 1)
    {
        return malformed("more than one header defines the body length");
    }
    has_length = framing_headers == 1;
    return success();
}

} // namespace

bool contains_status_line(std::string_view text)
{
    constexpr std::string_view prefix = "HTTP/1.";
    constexpr std::size_t size = std::string_view("HTTP/1.1 200").size();
    constexpr std::size_t status_offset = size - 3;
    for (auto at = text.find(prefix); at != std::string_view::npos;
         at = text.find(prefix, at + 1))
    {
        auto const start = text.substr(at, size);
        if (start.size() == size && start[status_offset - 1] == ' ' &&
            parse_number<unsigned>(start.substr(status_offset)))
        {
            return true;
        }
    }
    return false;
}

answer_validator::answer_validator(std::size_t max_head_bytes)
    : m_max_head_bytes(max_head_bytes)
{
}

void answer_validator::reset()
{
    m_raw.clear();
    m_is_head_complete = false;
    m_is_chunked = false;
    m_phase = chunk_phase::size;
    m_line.clear();
}

bool answer_validator::process_line()
{
    if (!m_line.ends_with('\r'))
    {
        return false;
    }
    m_line.pop_back();
    auto const line = std::exchange(m_line, {});
    switch (m_phase)
    {
    case chunk_phase::size:
    {
        constexpr int hexadecimal = 16;
        auto const size = parse_number<std::uint64_t>(
            std::string_view(line).substr(0, line.find(';')), hexadecimal);
        m_remaining_bytes = size.value_or(0);
        m_phase =
            m_remaining_bytes == 0 ? chunk_phase::trailers : chunk_phase::data;
        return size.has_value();
    }
    case chunk_phase::data_end:
        m_phase = chunk_phase::size;
        return line.empty();
    case chunk_phase::trailers:
        m_phase = line.empty() ? chunk_phase::done : chunk_phase::trailers;
        return true;
    case chunk_phase::data:
    case chunk_phase::done:
        break;
    }
    return true;
}

result<std::string> answer_validator::divide_chunks(std::string_view bytes)
{
    bool const was_done = m_phase == chunk_phase::done;
    // One chunk: evhttp reports each one by itself.
    std::string data;
    while (!bytes.empty() && m_phase != chunk_phase::done)
    {
        if (m_phase == chunk_phase::data)
        {
            auto const size =
                std::min<std::uint64_t>(m_remaining_bytes, bytes.size());
            data += bytes.substr(0, size);
            bytes.remove_prefix(size);
            m_remaining_bytes -= size;
            m_phase = m_remaining_bytes == 0 ? chunk_phase::data_end
                                             : chunk_phase::data;
            continue;
        }
        auto const end = bytes.find('\n');
        m_line += bytes.substr(0, end);
        if (m_line.size() > m_max_head_bytes)
        {
            return malformed("a line between two chunks is too long");
        }
        if (end == std::string_view::npos)
        {
            break;
        }
        bytes.remove_prefix(end + 1);
        if (!process_line())
        {
            return malformed("invalid chunk");
        }
    }
    std::string out;
    if (!data.empty())
    {
        out = absl::StrCat(absl::Hex(data.size()));
        out += line_end;
        out += data;
        out += line_end;
    }
    if (m_phase != chunk_phase::done)
    {
        return out;
    }
    if (!was_done)
    {
        out += "0\r\n\r\n";
    }
    out += bytes;
    return out;
}

result<std::string> answer_validator::filter(std::string_view bytes)
{
    m_raw += bytes;
    while (!m_is_head_complete)
    {
        auto const end = m_raw.find(head_end);
        auto const size =
            end == std::string::npos ? m_raw.size() : end + head_end.size();
        auto const head = std::string_view(m_raw).substr(0, size);
        for (auto newline = head.find('\n'); newline != std::string_view::npos;
             newline = head.find('\n', newline + 1))
        {
            if (newline == 0 || head[newline - 1] != '\r')
            {
                return malformed("bare line feed");
            }
        }
        constexpr std::string_view start = "HTTP/1.";
        auto const prefix_size = std::min(start.size(), head.size());
        if (size > m_max_head_bytes ||
            head.substr(0, prefix_size) != start.substr(0, prefix_size))
        {
            return malformed("not a valid answer head");
        }
        if (end == std::string::npos)
        {
            return std::string();
        }
        auto const first_line = head.find(line_end);
        auto const status = parse_status(head.substr(0, first_line));
        if (!status || *status == switching_protocols)
        {
            return malformed("not a valid status line");
        }
        bool has_length = false;
        auto const check_result =
            check_headers(head.substr(first_line + line_end.size()),
                          m_is_chunked, has_length);
        if (!has_value(check_result))
        {
            return failure(check_result);
        }
        if (*status < first_final_status)
        {
            m_raw.erase(0, size);
            m_is_chunked = false;
        }
        else
        {
            m_is_head_complete = true;
            if (m_is_chunked)
            {
                auto const body =
                    divide_chunks(std::string_view(m_raw).substr(size));
                if (!has_value(body))
                {
                    return failure(body);
                }
                m_raw.resize(size);
                m_raw += value(body);
            }
            else if (!has_length)
            {
                // The body ends with the connection. evhttp takes it for empty
                // if a Connection header is not exactly "close".
                m_raw =
                    simplify_connection(head, first_line + line_end.size()) +
                    m_raw.substr(size);
            }
        }
    }
    return std::exchange(m_raw, {});
}

} // namespace hawthornspur::net
