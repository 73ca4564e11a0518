#ifndef HAWTHORNSPUR_CORE_TIME_HPP
#define HAWTHORNSPUR_CORE_TIME_HPP

#include <chrono>

namespace hawthornspur::core
{

/// Monotonic clock of one host. It has no now(): functions receive the time as
/// an argument, so tests and simulations can run them in virtual time.
struct clock
{
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<clock, duration>;
    static constexpr bool is_steady = true;
};

using duration = clock::duration;
using time_point = clock::time_point;

} // namespace hawthornspur::core

#endif
