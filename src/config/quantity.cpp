#include "config/quantity.hpp"

#include "base/text.hpp"

#include <array>
#include <cassert>
#include <cstdint>
#include <limits>

namespace hawthornspur::config
{

namespace
{

struct unit
{
    std::string_view m_name;
    std::uint64_t m_factor;
};

constexpr auto duration_units = std::to_array<unit>({
    {"ns", 1},
    {"us", 1'000},
    {"ms", 1'000'000},
    {"s", 1'000'000'000},
    {"m", 60'000'000'000},
    {"h", 3'600'000'000'000},
});

/// Number of units used for printing: up to seconds. Minutes and hours are only
/// parsed, so that 60s and 90s are printed in the same unit.
constexpr std::size_t printed_duration_units = 4;

constexpr auto size_units = std::to_array<unit>({
    {"B", 1},
    {"KiB", std::uint64_t{1} << 10U},
    {"MiB", std::uint64_t{1} << 20U},
    {"GiB", std::uint64_t{1} << 30U},
});

template <class Units>
std::optional<std::uint64_t> parse_quantity(std::string_view text,
                                            Units const& units,
                                            std::uint64_t limit) noexcept
{
    auto const unit_start = text.find_first_not_of("0123456789");
    if (unit_start == std::string_view::npos)
    {
        return std::nullopt;
    }
    auto const number = parse_number<std::uint64_t>(text.substr(0, unit_start));
    for (auto const& candidate : units)
    {
        if (number && candidate.m_name == text.substr(unit_start) &&
            *number <= limit / candidate.m_factor)
        {
            return *number * candidate.m_factor;
        }
    }
    return std::nullopt;
}

template <class Units>
std::string print_quantity(std::uint64_t value, Units const& units,
                           std::size_t unit_count)
{
    auto index = unit_count - 1;
    while (value % units[index].m_factor != 0)
    {
        --index;
    }
    return std::to_string(value / units[index].m_factor) +
           std::string(units[index].m_name);
}

} // namespace

std::optional<core::duration> parse_duration(std::string_view text) noexcept
{
    auto const number = parse_quantity(
        text, duration_units,
        static_cast<std::uint64_t>(core::duration::max().count()));
    return number ? std::optional(core::duration(
                        static_cast<core::duration::rep>(*number)))
                  : std::nullopt;
}

std::string print_duration(core::duration value)
{
    assert(value.count() >= 0);
    return print_quantity(static_cast<std::uint64_t>(value.count()),
                          duration_units, printed_duration_units);
}

std::optional<std::size_t> parse_size(std::string_view text) noexcept
{
    return parse_quantity(text, size_units,
                          std::numeric_limits<std::size_t>::max());
}

std::string print_size(std::size_t value)
{
    return value == 0 ? "0B"
                      : print_quantity(value, size_units, size_units.size());
}

} // namespace hawthornspur::config
