#ifndef HAWTHORNSPUR_BASE_TEXT_HPP
#define HAWTHORNSPUR_BASE_TEXT_HPP

#include <charconv>
#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <system_error>

namespace hawthornspur
{

/// Compares ASCII texts without regard to case, as for header names.
bool equals_ignore_case(std::string_view a, std::string_view b) noexcept;

/// Removes ASCII whitespace at both ends. The result refers to `text`.
std::string_view trim(std::string_view text) noexcept;

/// Formats a duration in whole milliseconds, rounded towards zero, as a decimal
/// number without a unit.
template <class Rep, class Period>
std::string milliseconds_text(std::chrono::duration<Rep, Period> time)
{
    using std::chrono::milliseconds;
    return std::to_string(
        std::chrono::duration_cast<milliseconds>(time).count());
}

/// Parses a number that makes up the whole text. A minus sign is accepted only
/// for signed types; spaces and a plus sign are not accepted.
template <class T>
std::optional<T> parse_number(std::string_view text, int base = 10) noexcept
{
    T number{};
    auto const* const end = text.data() + text.size();
    auto const [stop, error_code] =
        std::from_chars(text.data(), end, number, base);
    if (error_code != std::errc{} || stop != end || text.empty())
    {
        return std::nullopt;
    }
    return number;
}

} // namespace hawthornspur

#endif
