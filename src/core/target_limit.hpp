#ifndef HAWTHORNSPUR_CORE_TARGET_LIMIT_HPP
#define HAWTHORNSPUR_CORE_TARGET_LIMIT_HPP

#include "core/time.hpp"

namespace hawthornspur::core
{

/// Concurrency limit of one target and the observations from which it is
/// adjusted.
struct target_limit
{
    /// Requests that the owner may have in flight at the target.
    double m_limit = 1;
    /// Moving average of log(time taken / median of the kind), which decays
    /// over time.
    double m_log_slowness = 0;
    /// The same over fewer answers and without decay; determines how far the
    /// limit of a slow target is lowered.
    double m_recent_log_slowness = 0;
    /// One-sided CUSUM statistic: sum of the deviations of answers from the
    /// tolerated slowness, in standard deviations of the kind; never negative.
    double m_deviation = 0;
    time_point m_last_observation{};
    time_point m_last_decrease{};
};

/// Records the time of one answer. `log_ratio` is the logarithm of its ratio to
/// the median of the kind, `spread` the standard deviation of that logarithm
/// for the kind.
void observe_answer(target_limit& limit, double log_ratio, double spread,
                    time_point now);

/// Logarithm of the slowness of the target. Observations decay, since load
/// changes within milliseconds and a target without requests yields no new
/// observations.
double log_slowness(target_limit const& limit, time_point now);

/// The CUSUM statistic, decayed like the slowness.
double deviation(target_limit const& limit, time_point now);

/// Whether a target whose deviation exceeds the median of the pool by this much
/// is significantly slow.
bool is_slow(double relative_deviation);

/// Whether a single answer exceeds the tolerated slowness.
bool is_beyond_tolerance(double log_ratio);

/// Lowers the limit of a slow target, the further the slower it is.
void lower_after_slow_answer(target_limit& limit, double log_relative_slowness,
                             time_point now);

/// Increase of the limit after an answer, in slots. Four answers in usual time
/// add a slot.
inline constexpr double limit_increase_per_answer = 0.25;

/// Raises the limit after a complete answer in usual time, at most to `slots`.
void raise_limit(target_limit& limit, int slots,
                 double increase = limit_increase_per_answer);

/// Lowers the limit after the target refused a request although the owner
/// counted a free slot.
void lower_after_shed(target_limit& limit, time_point now);

/// The limit rounded down to an integer from 1 to `slots`.
int integer_limit(target_limit const& limit, int slots);

} // namespace hawthornspur::core

#endif
