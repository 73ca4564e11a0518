#ifndef HAWTHORNSPUR_CONFIG_QUANTITY_HPP
#define HAWTHORNSPUR_CONFIG_QUANTITY_HPP

#include "core/time.hpp"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace hawthornspur::config
{

/// Reads a whole number with a unit: ns, us, ms, s, m or h. Nothing else is
/// accepted, since a duration without a unit was the usual mistake in files
/// written by hand.
std::optional<core::duration> parse_duration(std::string_view text) noexcept;

/// Prints with the largest unit up to seconds that loses nothing.
std::string print_duration(core::duration value);

/// Reads a whole number with a unit: B, KiB, MiB or GiB.
std::optional<std::size_t> parse_size(std::string_view text) noexcept;

/// Prints with the largest unit that loses nothing.
std::string print_size(std::size_t value);

} // namespace hawthornspur::config

#endif
