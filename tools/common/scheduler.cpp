#include "common/scheduler.hpp"

#include <utility>

namespace hawthornspur::tools
{

result<std::unique_ptr<scheduler>> scheduler::create(net::event_loop& loop)
{
    std::unique_ptr<scheduler> created(new scheduler);
    auto timer = net::timer::create(loop, [self = created.get()]
                                    { self->run_due_tasks(); });
    if (!has_value(timer))
    {
        return failure(timer);
    }
    created->m_timer = take(std::move(timer));
    return created;
}

task_id scheduler::run_at(core::time_point when, std::function<void()> task)
{
    auto const id = m_next_id++;
    m_tasks.emplace(std::pair(when, id), std::move(task));
    m_run_times.emplace(id, when);
    // While tasks run, run_due_tasks arms the timer after the last one.
    if (!m_running && m_tasks.begin()->first.second == id)
    {
        arm_timer();
    }
    return id;
}

task_id scheduler::run_after(core::duration delay, std::function<void()> task)
{
    return run_at(net::event_loop::now() + delay, std::move(task));
}

void scheduler::cancel(task_id id)
{
    auto const found = m_run_times.find(id);
    if (found != m_run_times.end())
    {
        m_tasks.erase({found->second, id});
        m_run_times.erase(found);
    }
}

void scheduler::run_due_tasks()
{
    m_running = true;
    auto const now = net::event_loop::now();
    while (!m_tasks.empty() && m_tasks.begin()->first.first <= now)
    {
        auto const task = std::move(m_tasks.begin()->second);
        m_run_times.erase(m_tasks.begin()->first.second);
        m_tasks.erase(m_tasks.begin());
        task();
    }
    m_running = false;
    arm_timer();
}

void scheduler::arm_timer()
{
    if (!m_tasks.empty())
    {
        m_timer->start(m_tasks.begin()->first.first - net::event_loop::now());
    }
}

} // namespace hawthornspur::tools
