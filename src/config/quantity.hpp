#ifndef HAWTHORNSPUR_CONFIG_QUANTITY_HPP
#define HAWTHORNSPUR_CONFIG_QUANTITY_HPP

#include "core/time.hpp"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace hawthornspur::config
{

/// Parses a whole number with a unit: ns, us, ms, s, m or h. Returns nothing
/// for other texts, also without a unit, which is a common mistake in files
/// written by hand, and for values out of range.
std::optional<core::duration> parse_duration(std::string_view text) noexcept;

/// Prints a non-negative duration exactly, with the largest possible unit up to
/// seconds.
std::string print_duration(core::duration value);

/// Parses a whole number with a unit: B, KiB, MiB or GiB. Returns nothing for
/// other texts and for values out of range.
std::optional<std::size_t> parse_size(std::string_view text) noexcept;

/// Prints a size in bytes exactly, with the largest possible unit.
std::string print_size(std::size_t value);

} // namespace hawthornspur::config

#endif
