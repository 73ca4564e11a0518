#ifndef HAWTHORNSPUR_PLATFORM_SCHEDULER_HPP
#define HAWTHORNSPUR_PLATFORM_SCHEDULER_HPP

#include "core/time.hpp"

#include <functional>

namespace hawthornspur::net
{
class event_loop;
} // namespace hawthornspur::net

namespace hawthornspur::platform
{

/// Time and delayed calls, so that tests run in virtual time.
struct scheduler
{
    std::function<core::time_point()> m_now;
    /// Calls the task once after the delay, never from within this call.
    std::function<void(core::duration, std::function<void()>)> m_run_after;
};

/// A scheduler on the loop, which outlives it. Tasks that are still waiting
/// when the last copy is destroyed are dropped.
scheduler make_loop_scheduler(net::event_loop& loop);

} // namespace hawthornspur::platform

#endif
