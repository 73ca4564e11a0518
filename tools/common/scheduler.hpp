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

/// Names a task that waits; 0 is none.
using task_id = std::uint64_t;

/// Runs any number of tasks at their times on one timer of the loop. Tasks
/// that have not run when the scheduler is destroyed are dropped.
class scheduler
{
public:
    static result<std::unique_ptr<scheduler>> create(net::event_loop& loop);
    scheduler(scheduler const&) = delete;
    scheduler& operator=(scheduler const&) = delete;

    /// Tasks of the same time run in the order of the calls.
    task_id run_at(core::time_point when, std::function<void()> task);
    task_id run_after(core::duration delay, std::function<void()> task);

    /// Does nothing when the task has run.
    void cancel(task_id id);

private:
    scheduler() = default;
    void run_due();
    void arm();
    std::map<std::pair<core::time_point, task_id>, std::function<void()>>
        m_tasks;
    std::unordered_map<task_id, core::time_point> m_times;
    std::unique_ptr<net::timer> m_timer;
    task_id m_next = 1;
    bool m_running = false;
};

} // namespace hawthornspur::tools

#endif
