#include "net/surplus_answers.hpp"

#include "base/text.hpp"
#include "net/http_message.hpp"

#include <algorithm>
#include <optional>
#include <utility>

namespace hawthornspur::net
{

namespace
{

constexpr int max_surplus_answers = 4;
constexpr std::uint64_t max_surplus_bytes = std::uint64_t{64} << 10U;
constexpr std::string_view line_end = "\r\n";
constexpr std::string_view head_end = "\r\n\r\n";
constexpr int status_no_content = 204;
constexpr int status_not_modified = 304;

error malformed(std::string message)
{
    return make_error(result_code::target_answer_malformed, std::move(message));
}

/// Reads a head that the validator has passed.
http_response_head read_head(std::string_view text)
{
    constexpr std::size_t status_offset = 9;
    constexpr std::size_t status_digits = 3;
    http_response_head head;
    head.m_status = parse_number<int>(text.substr(status_offset, status_digits))
                        .value_or(0);
    text.remove_prefix(text.find(line_end) + line_end.size());
    while (!text.starts_with(line_end))
    {
        auto const line = text.substr(0, text.find(line_end));
        text.remove_prefix(line.size() + line_end.size());
        auto const colon = line.find(':');
        head.m_headers.emplace_back(line.substr(0, colon),
                                    trim(line.substr(colon + 1)));
    }
    return head;
}

/// The id in the only header with this name.
std::optional<std::string_view> find_id(http_headers const& headers,
                                        std::string_view name)
{
    auto const is_id = [name](http_header const& header)
    {
        return equals_ignore_case(header.first, name);
    };
    return std::count_if(headers.begin(), headers.end(), is_id) == 1
               ? find_header(headers, name)
               : std::nullopt;
}

/// The length of the body of an answer without a transfer coding, as far as its
/// head defines it.
std::optional<std::uint64_t> body_length(http_response_head const& head)
{
    if (head.m_status == status_no_content ||
        head.m_status == status_not_modified)
    {
        return 0;
    }
    auto const text = find_header(head.m_headers, "Content-Length");
    return text ? parse_number<std::uint64_t>(*text) : std::nullopt;
}

/// Removes the rest of the body of a discarded answer from the bytes, or what
/// has arrived of it. False if another answer starts in it.
bool discard_body(surplus_answers& surplus, std::string_view& bytes)
{
    auto const size = static_cast<std::size_t>(
        std::min<std::uint64_t>(surplus.m_body_left, bytes.size()));
    surplus.m_body_end += bytes.substr(0, size);
    surplus.m_body_left -= size;
    bytes.remove_prefix(size);
    if (contains_status_line(surplus.m_body_end))
    {
        return false;
    }
    constexpr auto kept = std::string_view("HTTP/1.1 200").size() - 1;
    auto const end_size = std::min(kept, surplus.m_body_end.size());
    surplus.m_body_end.erase(0, surplus.m_body_end.size() - end_size);
    return true;
}

} // namespace

result<std::string> filter_answers(surplus_answers& surplus,
                                   answer_validator& validator,
                                   std::string_view bytes,
                                   surplus_rule const& rule)
{
    // Owns what the bytes refer to after an answer was discarded.
    std::string rest;
    while (true)
    {
        if (!discard_body(surplus, bytes))
        {
            return malformed("another answer starts in a surplus one");
        }
        if (bytes.empty())
        {
            return std::string();
        }
        auto filtered = validator.filter(bytes);
        if (!has_value(filtered) || !validator.is_head_complete() ||
            validator.is_chunked())
        {
            return filtered;
        }
        auto passed = take(std::move(filtered));
        auto const head_size = passed.find(head_end) + head_end.size();
        auto const head =
            read_head(std::string_view(passed).substr(0, head_size));
        auto const id = find_id(head.m_headers, rule.m_id_header);
        auto const length = body_length(head);
        if (!id || !length || !rule.m_is_surplus(*id))
        {
            return passed;
        }
        if (surplus.m_count == max_surplus_answers ||
            *length > max_surplus_bytes ||
            surplus.m_bytes + head_size + *length > max_surplus_bytes)
        {
            return malformed("too many surplus answers");
        }
        ++surplus.m_count;
        surplus.m_bytes += head_size + *length;
        surplus.m_body_left = *length;
        surplus.m_body_end.clear();
        validator.reset();
        rest = passed.substr(head_size);
        bytes = rest;
    }
}

} // namespace hawthornspur::net
