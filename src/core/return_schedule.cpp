#include "core/return_schedule.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace hawthornspur::core
{

namespace
{

using seconds = std::chrono::duration<double>;

// Bounds the returns of all ranks together in one interval, relative to its
// capacity.
constexpr std::uint32_t max_overbooking = 2;

std::int64_t interval_at(time_point time)
{
    return time.time_since_epoch() / return_interval;
}

time_point start_of(std::int64_t interval)
{
    return time_point(interval * return_interval);
}

std::size_t position(return_schedule const& schedule, std::int64_t interval)
{
    return static_cast<std::size_t>(interval) % schedule.m_slots.size();
}

/// The slot of the interval, emptied if it held an earlier one.
return_slot& slot_of(return_schedule& schedule, std::int64_t interval)
{
    auto& slot = schedule.m_slots[position(schedule, interval)];
    if (slot.m_interval != interval)
    {
        slot = {};
        slot.m_interval = interval;
    }
    return slot;
}

/// Requests that can start in the interval. Fractions are carried to later
/// intervals.
std::uint32_t capacity(std::int64_t interval, double per_second)
{
    auto const per_interval = per_second * seconds(return_interval).count();
    auto const before =
        std::floor(static_cast<double>(interval) * per_interval);
    auto const after =
        std::floor(static_cast<double>(interval + 1) * per_interval);
    return static_cast<std::uint32_t>(after - before);
}

bool has_room(return_slot const& slot, std::size_t rank, std::uint32_t capacity)
{
    auto const end_of_rank =
        slot.m_by_rank.begin() + static_cast<std::ptrdiff_t>(rank) + 1;
    auto const urgent =
        std::accumulate(slot.m_by_rank.begin(), end_of_rank, 0U);
    auto const all = std::accumulate(end_of_rank, slot.m_by_rank.end(), urgent);
    return urgent < capacity && all < max_overbooking * capacity;
}

/// Spreads the returns of an interval over its length.
duration offset_in(return_slot const& slot, std::uint32_t capacity)
{
    auto const taken =
        std::accumulate(slot.m_by_rank.begin(), slot.m_by_rank.end(), 0U);
    return return_interval * (taken % capacity) / capacity;
}

} // namespace

void record_start(return_schedule& schedule, time_point now)
{
    if (schedule.m_first_start == time_point{})
    {
        schedule.m_first_start = now;
    }
    decay(schedule.m_starts, now);
    ++schedule.m_starts.m_value;
}

double starts_per_second(return_schedule const& schedule, time_point now)
{
    if (schedule.m_first_start == time_point{})
    {
        return 0;
    }
    auto starts = schedule.m_starts;
    decay(starts, now);
    // The count of the first seconds does not cover the whole time yet.
    constexpr seconds min_age{1};
    auto const age = std::max(seconds(now - schedule.m_first_start), min_age);
    auto const covered = recent_time * -std::expm1(-(age / recent_time));
    return starts.m_value / covered.count();
}

duration find_return(return_schedule& schedule, return_request const& request,
                     time_point now)
{
    auto const rate = std::max(starts_per_second(schedule, now),
                               request.m_min_starts_per_second);
    auto const rank = static_cast<std::size_t>(
        std::clamp(request.m_rank, 0, static_cast<int>(return_rank_count) - 1));
    auto const max_delay = std::min(request.m_max_delay, max_retry_after);
    auto const earliest = std::max(request.m_wait, min_retry_after);
    if (earliest > max_delay)
    {
        return min_retry_after;
    }
    for (auto interval = interval_at(now + earliest);
         start_of(interval) <= now + max_delay; ++interval)
    {
        auto const room = capacity(interval, rate);
        auto& slot = slot_of(schedule, interval);
        if (!has_room(slot, rank, room))
        {
            continue;
        }
        auto const delay =
            std::clamp(start_of(interval) + offset_in(slot, room) - now,
                       earliest, max_delay);
        if (request.m_is_promised)
        {
            ++slot.m_by_rank[rank];
            ++slot.m_expected;
            ++schedule.m_promised;
        }
        return delay;
    }
    return min_retry_after;
}

void record_return(return_schedule& schedule, time_point now)
{
    auto const last = interval_at(now + return_tolerance);
    for (auto interval = interval_at(now - return_tolerance); interval <= last;
         ++interval)
    {
        auto& slot = schedule.m_slots[position(schedule, interval)];
        if (slot.m_interval == interval && slot.m_expected > 0)
        {
            --slot.m_expected;
            ++schedule.m_kept;
            return;
        }
    }
}

} // namespace hawthornspur::core
