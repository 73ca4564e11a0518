#include "core/second_run.hpp"

#include <algorithm>
#include <chrono>

namespace hawthornspur::core
{

namespace
{

// About the last fifty second attempts count.
constexpr double memory = 0.98;
// Second attempts are made without restriction until this many have shown
// whether they help.
constexpr double min_trials = 8;
// With a smaller share of wins, a second attempt costs more slot time than it
// saves.
constexpr double min_win_share = 0.25;
constexpr std::uint32_t trial_interval = 16;
// Run times of usual reads vary by a factor of about 1.35 (one standard
// deviation); 3% of them take this many medians.
constexpr double long_run_factor = 1.75;
// Leaves room for a second run that takes somewhat longer than the median.
constexpr double second_run_margin = 1.3;

duration scale(duration time, double factor)
{
    return std::chrono::duration_cast<duration>(factor * time);
}

} // namespace

bool allow_second_run(second_run_record& record)
{
    bool const is_useful = record.m_trials < min_trials ||
                           record.m_wins >= min_win_share * record.m_trials;
    if (is_useful || record.m_skipped + 1 >= trial_interval)
    {
        record.m_skipped = 0;
        return true;
    }
    ++record.m_skipped;
    return false;
}

void record_second_run(second_run_record& record, bool has_second_won)
{
    record.m_trials = memory * record.m_trials + 1;
    record.m_wins = memory * record.m_wins + (has_second_won ? 1 : 0);
}

time_point second_run_time(time_point dispatched_at,
                           std::optional<time_point> objective,
                           duration median_time)
{
    auto const earliest = dispatched_at + scale(median_time, long_run_factor);
    return objective ? std::max(earliest, *objective - scale(median_time,
                                                             second_run_margin))
                     : earliest;
}

} // namespace hawthornspur::core
