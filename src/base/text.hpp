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

/// Compares ASCII text, as header names are compared.
bool equals_ignore_case(std::string_view a, std::string_view b) noexcept;

/// Removes spaces and tabs at both ends.
std::string_view trim(std::string_view text) noexcept;

/// The time in whole milliseconds, rounded towards zero, in decimal digits.
template <class Rep, class Period>
std::string milliseconds_text(std::chrono::duration<Rep, Period> time)
{
    using std::chrono::milliseconds;
    return std::to_string(
        std::chrono::duration_cast<milliseconds>(time).count());
}

/// Parses a whole number that fills the whole text; no sign unless T has one,
/// no spaces.
template <class T>
std::optional<T> parse_number(std::string_view text, int base = 10) noexcept
{
    T number{};
    auto const* const end = text.data() + text.size();
    auto const [stop, problem] =
        std::from_chars(text.data(), end, number, base);
    if (problem != std::errc{} || stop != end || text.empty())
    {
        return std::nullopt;
    }
    return number;
}

} // namespace hawthornspur

#endif
