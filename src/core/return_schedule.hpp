#ifndef HAWTHORNSPUR_CORE_RETURN_SCHEDULE_HPP
#define HAWTHORNSPUR_CORE_RETURN_SCHEDULE_HPP

#include "core/time.hpp"
#include "core/usual_rate.hpp"

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>

namespace hawthornspur::core
{

// When refused callers are told to come back. It answers overloads in which all
// callers get the same delay: they return at the same moment, exceed the
// capacity again and are refused for good.

/// Shortest and longest delay that a caller is given.
constexpr duration min_retry_after = std::chrono::milliseconds(50);
constexpr duration max_retry_after = std::chrono::seconds(2);

constexpr duration return_interval = std::chrono::milliseconds(50);
/// A return counts as kept if it comes this close to its time.
constexpr duration return_tolerance = std::chrono::milliseconds(100);
constexpr std::size_t return_rank_count = 10;

/// Returns promised for one interval of time.
struct return_slot
{
    /// Number of the interval since the epoch of the clock.
    std::int64_t m_interval = -1;
    /// Promised returns by priority of the customer.
    std::array<std::uint32_t, return_rank_count> m_by_rank{};
    /// Of these, returns that have not come yet.
    std::uint32_t m_expected = 0;
};

struct return_schedule
{
    decaying_count m_starts;
    time_point m_first_start{};
    /// A ring over the next 2 s and the tolerance on both sides.
    std::array<return_slot, 48> m_slots{};
    std::uint64_t m_promised = 0;
    std::uint64_t m_kept = 0;
};

/// Counts a request that starts, from which the capacity is measured.
void record_start(return_schedule& schedule, time_point now);

/// Starts per second over the last seconds; 0 before the first one.
double starts_per_second(return_schedule const& schedule, time_point now);

struct return_request
{
    /// Priority of the customer, 0 to 9.
    int m_rank = 0;
    /// Until the pool has started the requests that wait now.
    duration m_wait{0};
    /// The longest delay with which the request can still be served.
    duration m_max_delay{0};
    /// Starts per second that the pool is capable of at least.
    double m_min_starts_per_second = 0;
    /// Whether the caller will return once more.
    bool m_is_promised = true;
};

/// The delay until the first interval with free capacity that is not before the
/// wait, and reserves a return in it. Returns of less urgent customers do not
/// take capacity from more urgent ones, up to twice the capacity of an
/// interval. If there is no such interval within the longest delay, returns
/// min_retry_after and reserves nothing.
duration find_return(return_schedule& schedule, return_request const& request,
                     time_point now);

/// Counts a caller that has come back. The callers are not told apart: any
/// return that is expected at this time is taken as kept.
void record_return(return_schedule& schedule, time_point now);

} // namespace hawthornspur::core

#endif
