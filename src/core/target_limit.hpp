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
    /// The same over fewer answers and without fading: how slow the target is
    /// once it is known to be slow.
    double m_last_log_ratio = 0;
    /// Sum of the answers' deviations beyond a tolerated slowness, in standard
    /// deviations of the kind; never negative (one-sided CUSUM test).
    double m_deviation = 0;
    time_point m_observed{};
    time_point m_lowered{};
};

/// Takes in the time of one whole answer: the logarithm of its ratio to the
/// kind's median, and the standard deviation of that logarithm for the kind.
void observe_answer(target_limit& limit, double log_ratio, double spread,
                    time_point now);

/// The logarithm of the target's slowness. Observations fade, since load
/// changes within milliseconds and an avoided target yields no new ones.
double log_slowness(target_limit const& limit, time_point now);

/// The deviation, faded like the slowness.
double deviation(target_limit const& limit, time_point now);

/// Whether a target with this deviation above the pool's median is slow beyond
/// what chance explains.
bool is_slow(double relative_deviation);

/// Whether one answer took longer than the slowness that is tolerated.
bool is_beyond_tolerance(double log_ratio);

/// Lowers the limit of a slow target, by more the slower it is. Called after a
/// whole answer.
void lower_after_slow_answer(target_limit& limit, double log_relative_slowness,
                             time_point now);

/// Slots that a target gains with an answer when each slot has to prove itself.
inline constexpr double raise_per_answer = 0.25;

/// Raises the limit after a whole answer in usual time.
void raise(target_limit& limit, int slots, double by = raise_per_answer);

/// The target refused work although the owner counted a free slot.
void lower_after_shed(target_limit& limit, time_point now);

/// The limit in whole requests, from 1 to `slots`.
int whole_limit(target_limit const& limit, int slots);

} // namespace hawthornspur::core

#endif
