#include "common/scheduler.hpp"

#include <utility>

namespace hawthornspur::tools
{

result<std::unique_ptr<scheduler>> scheduler::create(net::event_loop& loop)
{
    std::unique_ptr<scheduler> created(new scheduler);
    auto made =
        net::timer::create(loop, [self = created.get()] { self->run_due(); });
    if (!has_value(made))
    {
        return failure(made);
    }
    created->m_timer = take(std::move(made));
    return created;
}

task_id scheduler::run_at(core::time_point when, std::function<void()> task)
{
    auto const id = m_next++;
    m_tasks.emplace(std::pair(when, id), std::move(task));
    m_times.emplace(id, when);
    // run_due arms the timer once at its end.
    if (!m_running && m_tasks.begin()->first.second == id)
    {
        arm();
    }
    return id;
}

task_id scheduler::run_after(core::duration delay, std::function<void()> task)
{
    return run_at(net::event_loop::now() + delay, std::move(task));
}

void scheduler::cancel(task_id id)
{
    auto const found = m_times.find(id);
    if (found != m_times.end())
    {
        m_tasks.erase({found->second, id});
        m_times.erase(found);
    }
}

void scheduler::run_due()
{
    m_running = true;
    auto const now = net::event_loop::now();
    while (!m_tasks.empty() && m_tasks.begin()->first.first <= now)
    {
        auto const task = std::move(m_tasks.begin()->second);
        m_times.erase(m_tasks.begin()->first.second);
        m_tasks.erase(m_tasks.begin());
        task();
    }
    m_running = false;
    arm();
}

void scheduler::arm()
{
    if (!m_tasks.empty())
    {
        m_timer->start(m_tasks.begin()->first.first - net::event_loop::now());
    }
}

} // namespace hawthornspur::tools
