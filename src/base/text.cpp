#include "base/text.hpp"

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>

namespace hawthornspur
{

namespace
{

// Debian builds Abseil with a string_view of its own.
absl::string_view as_absl(std::string_view text) noexcept
{
    return {text.data(), text.size()};
}

} // namespace

bool equals_ignore_case(std::string_view a, std::string_view b) noexcept
{
    return absl::EqualsIgnoreCase(as_absl(a), as_absl(b));
}

std::string_view trim(std::string_view text) noexcept
{
    auto const stripped = absl::StripAsciiWhitespace(as_absl(text));
    return {stripped.data(), stripped.size()};
}

} // namespace hawthornspur
