#include "core/once_key.hpp"

#include "base/text.hpp"

#include <algorithm>
#include <cstddef>
#include <optional>
#include <utility>

namespace hawthornspur::core
{

namespace
{

constexpr std::size_t hex_digits = 16;
// The maximum length of a DNS name.
constexpr std::size_t max_home_length = 253;

std::string to_hex(std::uint64_t number)
{
    static constexpr std::string_view digits = "0123456789abcdef";
    std::string text(hex_digits, '0');
    for (auto digit = text.rbegin(); digit != text.rend(); ++digit)
    {
        *digit = digits[number & 0xfU];
        number >>= 4U;
    }
    return text;
}

std::optional<std::uint64_t> parse_hex(std::string_view text)
{
    // Upper-case digits and other lengths are refused: code that compares keys
    // as text needs a single spelling of each key.
    auto const is_lower_hex_digit = [](char c)
    {
        return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
    };
    if (text.size() != hex_digits ||
        !std::all_of(text.begin(), text.end(), is_lower_hex_digit))
    {
        return std::nullopt;
    }
    return parse_number<std::uint64_t>(text, 16);
}

std::optional<std::uint64_t> parse_decimal(std::string_view text)
{
    if (text.size() > 1 && text.front() == '0')
    {
        return std::nullopt;
    }
    return parse_number<std::uint64_t>(text);
}

bool is_host_name(std::string_view text)
{
    auto const is_allowed = [](char c)
    {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
               (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.';
    };
    return !text.empty() && text.size() <= max_home_length &&
           std::all_of(text.begin(), text.end(), is_allowed);
}

// Removes the part after the last dot from the text and returns it; empty if
// there is no dot.
std::string_view take_last_part(std::string_view& text)
{
    auto const dot = text.rfind('.');
    if (dot == std::string_view::npos)
    {
        return {};
    }
    auto const part = text.substr(dot + 1);
    text = text.substr(0, dot);
    return part;
}

std::optional<session> try_parse_session(std::string_view text)
{
    // Parsed from the end, since a host name may contain dots.
    auto const nonce = parse_hex(take_last_part(text));
    auto const epoch = parse_decimal(take_last_part(text));
    auto const incarnation = parse_hex(take_last_part(text));
    if (!nonce || !epoch || !incarnation || !is_host_name(text))
    {
        return std::nullopt;
    }
    return session{std::string(text), *incarnation, *epoch, *nonce};
}

} // namespace

std::string to_string(session const& value)
{
    return value.m_home + "." + to_hex(value.m_incarnation) + "." +
           std::to_string(value.m_epoch) + "." + to_hex(value.m_nonce);
}

std::string to_string(once_key const& key)
{
    return to_string(key.m_session) + "." + std::to_string(key.m_sequence);
}

result<once_key> parse_once_key(std::string_view text)
{
    if (parse_decimal(text))
    {
        return make_error(result_code::once_session_required,
                          "the key is a sequence number without a session; "
                          "/.well-known/hawthornspur/addresses issues one");
    }
    auto rest = text;
    auto const sequence = parse_decimal(take_last_part(rest));
    auto parsed = sequence ? try_parse_session(rest) : std::nullopt;
    if (!parsed)
    {
        return make_error(
            result_code::once_key_malformed,
            "the key is not home.incarnation.epoch.nonce.sequence");
    }
    return once_key{*std::move(parsed), *sequence};
}

result<session> parse_session(std::string_view text)
{
    auto parsed = try_parse_session(text);
    if (!parsed)
    {
        return make_error(result_code::once_key_malformed,
                          "the session is not home.incarnation.epoch.nonce");
    }
    return *std::move(parsed);
}

} // namespace hawthornspur::core
