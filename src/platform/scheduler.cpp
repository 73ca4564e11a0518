#include "platform/scheduler.hpp"

#include "net/event_loop.hpp"

#include <cstdint>
#include <memory>
#include <unordered_map>
#include <utility>

namespace hawthornspur::platform
{

namespace
{

struct pending_timers
{
    std::uint64_t m_next_id = 0;
    std::unordered_map<std::uint64_t, std::unique_ptr<net::timer>> m_timers;
};

} // namespace

scheduler make_loop_scheduler(net::event_loop& loop)
{
    auto const timers = std::make_shared<pending_timers>();
    scheduler loop_scheduler;
    loop_scheduler.m_now = []
    {
        return net::event_loop::now();
    };
    loop_scheduler.m_run_after =
        [timers, &loop](core::duration delay, std::function<void()> task)
    {
        auto const id = timers->m_next_id++;
        auto const run =
            [weak = std::weak_ptr(timers), id, task = std::move(task)]
        {
            auto const owner = weak.lock();
            if (owner == nullptr)
            {
                return;
            }
            // The timer owns this function and must live until it returns.
            auto const timer_node = owner->m_timers.extract(id);
            task();
        };
        auto timer = net::timer::create(loop, run);
        if (!has_value(timer))
        {
            loop.post(run);
            return;
        }
        value(timer)->start(delay);
        timers->m_timers.emplace(id, take(std::move(timer)));
    };
    return loop_scheduler;
}

} // namespace hawthornspur::platform
