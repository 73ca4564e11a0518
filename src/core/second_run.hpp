#ifndef HAWTHORNSPUR_CORE_SECOND_RUN_HPP
#define HAWTHORNSPUR_CORE_SECOND_RUN_HPP

#include "core/time.hpp"

#include <cstdint>
#include <optional>

namespace hawthornspur::core
{

/// What second attempts of the long-running reads of one kind have shown.
///
/// Load pattern: a few reads run many times longer than the rest at a target
/// that is not slow. If the next run of the same read is usually short, a
/// second attempt answers it in time. If long reads are long anywhere, second
/// attempts only take slots; few are then made, to notice a change.
struct second_run_record
{
    /// Weighted numbers of second attempts, and of those that answered first.
    double m_trials = 0;
    double m_wins = 0;
    /// Long runs without a second attempt since the last one.
    std::uint32_t m_skipped = 0;
};

/// Whether a read that runs long may get a second attempt. Counts the read as
/// skipped if not.
bool allow_second_run(second_run_record& record);

/// Records which attempt of a read with a second one answered first.
void record_second_run(second_run_record& record, bool has_second_won);

/// When a read that was dispatched at this time counts as running long:
/// late enough that most runs have ended, and early enough that a second run of
/// the median time meets the objective, if both are possible.
time_point second_run_time(time_point dispatched_at,
                           std::optional<time_point> objective,
                           duration median_time);

} // namespace hawthornspur::core

#endif
