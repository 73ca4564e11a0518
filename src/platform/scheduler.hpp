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

/// Clock and delayed tasks. Tests replace them by virtual time.
struct scheduler
{
    std::function<core::time_point()> m_now;
    /// Runs the task once after the delay, never from within this call.
    std::function<void(core::duration, std::function<void()>)> m_run_after;
};

/// A scheduler on the event loop, which must outlive it. Pending tasks are
/// discarded when the last copy of the scheduler is destroyed.
scheduler make_loop_scheduler(net::event_loop& loop);

} // namespace hawthornspur::platform

#endif
