#ifndef HAWTHORNSPUR_CORE_USUAL_RATE_HPP
#define HAWTHORNSPUR_CORE_USUAL_RATE_HPP

#include "core/time.hpp"

#include <chrono>

namespace hawthornspur::core
{

/// Time over which recent arrivals are averaged.
constexpr std::chrono::duration<double> recent_time{5};

/// Number of events, each weighted down by its age.
struct decaying_count
{
    time_point m_last{};
    double m_value = 0;
};

/// Lets the count decay until `now`.
void decay(decaying_count& count, time_point now);

/// Usual load of a customer: the mean over the first seconds, which then
/// follows the recent rate slowly, so that a sudden rise of a customer's load
/// does not raise its share.
struct usual_rate
{
    time_point m_first{};
    decaying_count m_recent;
    /// Arrivals in the time in which the mean is learned.
    double m_learned = 0;
    /// Requests per second; 0 before the first arrival.
    double m_per_second = 0;
};

void record_arrival(usual_rate& rate, time_point now);

} // namespace hawthornspur::core

#endif
