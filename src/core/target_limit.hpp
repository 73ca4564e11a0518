#ifndef HAWTHORNSPUR_CORE_TARGET_LIMIT_HPP
#define HAWTHORNSPUR_CORE_TARGET_LIMIT_HPP

#include "core/time.hpp"

namespace hawthornspur::core
{

/// How many requests the owner has at one target at a time, and the
/// observations that the limit follows. Lives as long as the target's entry in
/// the pool.
struct target_limit
{
    double m_limit = 1;
    /// Moving average of log(time taken / median of the kind).
    double m_log_slowness = 0;
    time_point m_observed{};
    time_point m_lowered{};
};

/// Takes in the time of one whole answer as a multiple of its kind's median.
void observe_ratio(target_limit& limit, double ratio, time_point now);

/// The logarithm of the target's slowness. Observations fade, since load
/// changes within milliseconds and an avoided target yields no new ones.
double log_slowness(target_limit const& limit, time_point now);

/// Lowers the limit of a target that is slower than the pool's median and
/// raises it slowly otherwise. Called after each whole answer.
void adjust(target_limit& limit, double log_relative_slowness, int slots,
            time_point now);

/// The target refused work although the owner counted a free slot.
void lower_after_shed(target_limit& limit, time_point now);

/// The limit in whole requests, from 1 to `slots`.
int whole_limit(target_limit const& limit, int slots);

} // namespace hawthornspur::core

#endif
