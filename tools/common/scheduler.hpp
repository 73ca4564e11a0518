#ifndef HAWTHORNSPUR_TOOLS_COMMON_SCHEDULER_HPP
#define HAWTHORNSPUR_TOOLS_COMMON_SCHEDULER_HPP

#include "base/result.hpp"
#include "core/time.hpp"
#include "net/event_loop.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <unordered_map>

namespace hawthornspur::tools
{

/// Identifies a scheduled task; 0 means no task.
using task_id = std::uint64_t;

/// Runs tasks at their scheduled times, using a single timer of the event loop.
/// Tasks that are pending when the scheduler is destroyed never run.
class scheduler
{
public:
    static result<std::unique_ptr<scheduler>> create(net::event_loop& loop);
    scheduler(scheduler const&) = delete;
    scheduler& operator=(scheduler const&) = delete;

    /// Tasks with the same time run in the order in which they were scheduled.
    task_id run_at(core::time_point when, std::function<void()> task);
    task_id run_after(core::duration delay, std::function<void()> task);

    /// Has no effect if the task has already run.
    void cancel(task_id id);

private:
    scheduler() = default;
    void run_due_tasks();
    void arm_timer();
    std::map<std::pair<core::time_point, task_id>, std::function<void()>>
        m_tasks;
    std::unordered_map<task_id, core::time_point> m_run_times;
    std::unique_ptr<net::timer> m_timer;
    task_id m_next_id = 1;
    bool m_running = false;
};

} // namespace hawthornspur::tools

#endif
