#include "base/text.hpp"

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>

namespace hawthornspur
{

namespace
{

// On Debian, absl::string_view is not an alias of std::string_view.
absl::string_view to_absl(std::string_view text) noexcept
{
    return {text.data(), text.size()};
}

} // namespace

bool equals_ignore_case(std::string_view a, std::string_view b) noexcept
{
    return absl::EqualsIgnoreCase(to_absl(a), to_absl(b));
}

std::string_view trim(std::string_view text) noexcept
{
    auto const stripped = absl::StripAsciiWhitespace(to_absl(text));
    return {stripped.data(), stripped.size()};
}

} // namespace hawthornspur
