#ifndef HAWTHORNSPUR_SERVE_QUOTA_USAGE_HPP
#define HAWTHORNSPUR_SERVE_QUOTA_USAGE_HPP

#include "core/time.hpp"

#include <array>
#include <cstddef>
#include <cstdint>

namespace hawthornspur::serve
{

/// Requests of a customer that this host admitted and refused because of the
/// quota.
struct quota_counts
{
    std::uint64_t m_admitted = 0;
    std::uint64_t m_refused = 0;
};

/// Counts of the last minute, in intervals of 10 s.
struct quota_usage
{
    static constexpr std::size_t interval_count = 6;
    std::array<quota_counts, interval_count> m_intervals;
    /// Number of the newest interval since the start of the clock.
    std::int64_t m_newest = 0;
};

/// The counts of the present interval, to be incremented.
quota_counts& current_counts(quota_usage& usage, core::time_point now);

/// The sum of the last minute.
quota_counts last_minute(quota_usage& usage, core::time_point now);

} // namespace hawthornspur::serve

#endif
