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

struct waiting_tasks
{
    std::uint64_t m_next = 0;
    std::unordered_map<std::uint64_t, std::unique_ptr<net::timer>> m_timers;
};

} // namespace

scheduler make_loop_scheduler(net::event_loop& loop)
{
    auto const waiting = std::make_shared<waiting_tasks>();
    scheduler made;
    made.m_now = []
    {
        return net::event_loop::now();
    };
    made.m_run_after =
        [waiting, &loop](core::duration delay, std::function<void()> task)
    {
        auto const id = waiting->m_next++;
        auto const run =
            [weak = std::weak_ptr(waiting), id, held = std::move(task)]
        {
            auto const owner = weak.lock();
            if (owner == nullptr)
            {
                return;
            }
            // The timer owns this function, so both are kept until it returns.
            auto const node = owner->m_timers.extract(id);
            held();
        };
        auto timer = net::timer::create(loop, run);
        if (!has_value(timer))
        {
            loop.post(run);
            return;
        }
        value(timer)->start(delay);
        waiting->m_timers.emplace(id, take(std::move(timer)));
    };
    return made;
}

} // namespace hawthornspur::platform
