#include "core/usual_rate.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace hawthornspur::core
{

namespace
{

using seconds = std::chrono::duration<double>;

constexpr seconds learning_time{3};
constexpr seconds min_learning_time{1};
// The usual rate changes by a factor of e in this time at most, so a customer
// at 8 times its load gains a sixth of its share in 10 s.
constexpr seconds adaptation_time{60};
// Below this rate, in requests per second, single requests would decide.
constexpr double min_usual_rate = 0.2;

} // namespace

void decay(decaying_count& count, time_point now)
{
    seconds const gap = now - count.m_last;
    count.m_last = now;
    count.m_value *= std::exp(-(gap / recent_time));
}

void record_arrival(usual_rate& rate, time_point now)
{
    if (rate.m_per_second == 0)
    {
        rate.m_first = now;
        rate.m_recent.m_last = now;
    }
    seconds const age = now - rate.m_first;
    seconds const gap = now - rate.m_recent.m_last;
    decay(rate.m_recent, now);
    if (age <= learning_time)
    {
        ++rate.m_learned;
        rate.m_per_second =
            rate.m_learned / std::max(age, min_learning_time).count();
    }
    else
    {
        // Sampled before this arrival is counted, since it would otherwise be
        // too high for customers that send seldom.
        auto const recent = rate.m_recent.m_value / recent_time.count();
        auto const factor = std::exp(gap / adaptation_time);
        rate.m_per_second = std::clamp(recent, rate.m_per_second / factor,
                                       rate.m_per_second * factor);
    }
    rate.m_per_second = std::max(rate.m_per_second, min_usual_rate);
    ++rate.m_recent.m_value;
}

} // namespace hawthornspur::core
