#include "net/request_framer.hpp"

#include "base/text.hpp"

#include <algorithm>
#include <cassert>
#include <utility>

namespace hawthornspur::net
{

namespace
{

constexpr std::string_view line_end = "\r\n";
/// Limit of a chunk size with its extension.
constexpr std::size_t max_chunk_line_bytes = 256;
/// Hexadecimal digits of a 32-bit size; no accepted body is larger.
constexpr std::size_t max_size_digits = 8;
constexpr int hexadecimal = 16;

} // namespace

request_framer::request_framer(request_head_limits limits,
                               std::size_t max_head_bytes)
    : m_limits(limits)
    , m_max_head_bytes(max_head_bytes)
{
}

void request_framer::add(std::string_view bytes)
{
    m_raw += bytes;
}

std::optional<framed_request> request_framer::take()
{
    assert(!m_refusal);
    while (!m_refusal && step())
    {
    }
    if (m_refusal || !std::exchange(m_is_ready, false))
    {
        return std::nullopt;
    }
    m_head.m_length = m_body.size();
    return framed_request{std::exchange(m_head, {}), std::exchange(m_body, {})};
}

bool request_framer::take_continue() noexcept
{
    return std::exchange(m_expects_continue, false) &&
           m_phase != phase::in_flight;
}

void request_framer::complete()
{
    m_phase = phase::in_flight;
    m_is_ready = true;
}

void request_framer::on_answered()
{
    assert(m_phase == phase::in_flight);
    m_phase = phase::head;
    m_scanned = 0;
    m_trailer_bytes = 0;
    m_has_skipped_line = false;
}

bool request_framer::refuse(result_code code, std::string message)
{
    m_refusal = make_error(code, std::move(message));
    return false;
}

void request_framer::discard(std::size_t count)
{
    m_raw.erase(0, count);
}

bool request_framer::step()
{
    switch (m_phase)
    {
    case phase::head:
        return take_head();
    case phase::sized_body:
        return take_sized_body();
    case phase::chunk_size:
        return take_chunk_size();
    case phase::chunk_data:
        return take_chunk_data();
    case phase::chunk_end:
        return take_chunk_end();
    case phase::trailers:
        return take_trailer();
    case phase::in_flight:
        break;
    }
    return false;
}

bool request_framer::take_head()
{
    if (m_scanned == 0 && m_raw.starts_with(line_end))
    {
        // Some clients send an empty line after a body (RFC 9112, section 2.2).
        discard(line_end.size());
        if (std::exchange(m_has_skipped_line, true))
        {
            return refuse(result_code::malformed_request,
                          "more than one empty line before the request");
        }
        return true;
    }
    // Line feeds are checked as they arrive. A caller that sends no carriage
    // returns is refused at once instead of after a timeout.
    for (auto newline = m_raw.find('\n', m_scanned);
         newline != std::string::npos; newline = m_raw.find('\n', m_scanned))
    {
        m_scanned = newline + 1;
        if (newline == 0 || m_raw[newline - 1] != '\r')
        {
            return refuse(result_code::ambiguous_framing, "bare line feed");
        }
        if (newline >= 3 && m_raw.compare(newline - 3, 4, "\r\n\r\n") == 0)
        {
            break;
        }
    }
    auto const is_complete =
        m_scanned >= 4 && m_raw.compare(m_scanned - 4, 4, "\r\n\r\n") == 0;
    if (!is_complete)
    {
        if (m_raw.size() > m_max_head_bytes)
        {
            return refuse(result_code::headers_too_large,
                          "request head too large");
        }
        return false;
    }
    if (m_scanned > m_max_head_bytes)
    {
        return refuse(result_code::headers_too_large, "request head too large");
    }
    auto head = parse_request_head(std::string_view(m_raw).substr(0, m_scanned),
                                   m_limits);
    if (!has_value(head))
    {
        m_refusal = failure(head);
        return false;
    }
    m_head = hawthornspur::take(std::move(head));
    discard(m_scanned);
    m_scanned = 0;
    m_remaining_bytes = m_head.m_length;
    m_expects_continue = find_header(m_head.m_headers, "Expect").has_value();
    remove_header(m_head.m_headers, "Expect");
    if (m_head.m_framing == body_framing::chunked)
    {
        m_phase = phase::chunk_size;
    }
    else if (m_remaining_bytes > 0)
    {
        m_phase = phase::sized_body;
    }
    else
    {
        complete();
    }
    return true;
}

bool request_framer::take_body()
{
    auto const size = std::min<std::uint64_t>(m_remaining_bytes, m_raw.size());
    m_body.append(m_raw, 0, size);
    discard(size);
    m_remaining_bytes -= size;
    return m_remaining_bytes == 0;
}

bool request_framer::take_sized_body()
{
    if (!take_body())
    {
        return false;
    }
    complete();
    return true;
}

std::string_view request_framer::peek_line(std::size_t limit,
                                           result_code too_long)
{
    auto const end = m_raw.find('\n');
    auto const size = end == std::string::npos ? m_raw.size() : end + 1;
    if (size > limit)
    {
        refuse(too_long, "line too long");
        return {};
    }
    if (end == std::string::npos)
    {
        return {};
    }
    if (end == 0 || m_raw[end - 1] != '\r')
    {
        refuse(result_code::ambiguous_framing, "bare line feed");
        return {};
    }
    return std::string_view(m_raw).substr(0, end + 1);
}

bool request_framer::take_chunk_size()
{
    auto line = peek_line(max_chunk_line_bytes, result_code::ambiguous_framing);
    if (line.empty())
    {
        return false;
    }
    auto const line_bytes = line.size();
    line.remove_suffix(line_end.size());
    auto const digits = line.substr(0, line.find(';'));
    // parse_number rejects base prefixes, signs and spaces, which other parsers
    // interpret differently.
    auto const size = digits.size() <= max_size_digits
                          ? parse_number<std::uint64_t>(digits, hexadecimal)
                          : std::nullopt;
    if (!size || !is_header_value(line))
    {
        return refuse(result_code::ambiguous_framing, "invalid chunk size");
    }
    if (m_body.size() + *size > m_limits.m_max_body_bytes)
    {
        return refuse(result_code::body_too_large, "request body too large");
    }
    discard(line_bytes);
    m_remaining_bytes = *size;
    if (m_remaining_bytes == 0)
    {
        m_phase = phase::trailers;
        return true;
    }
    m_phase = phase::chunk_data;
    return true;
}

bool request_framer::take_chunk_data()
{
    if (!take_body())
    {
        return false;
    }
    m_phase = phase::chunk_end;
    return true;
}

bool request_framer::take_chunk_end()
{
    if (m_raw.size() < line_end.size())
    {
        if (!m_raw.empty() && m_raw[0] != '\r')
        {
            return refuse(result_code::ambiguous_framing,
                          "chunk longer than its size");
        }
        return false;
    }
    if (!m_raw.starts_with(line_end))
    {
        return refuse(result_code::ambiguous_framing,
                      "chunk longer than its size");
    }
    discard(line_end.size());
    m_phase = phase::chunk_size;
    return true;
}

bool request_framer::take_trailer()
{
    auto const line = peek_line(m_max_head_bytes - m_trailer_bytes,
                                result_code::headers_too_large);
    if (line.empty())
    {
        return false;
    }
    m_trailer_bytes += line.size();
    auto const is_end = line == line_end;
    // Trailers are discarded, since other parsers may merge them into the
    // headers.
    discard(line.size());
    if (is_end)
    {
        complete();
    }
    return true;
}

} // namespace hawthornspur::net
