#include "event_queue.hpp"

#include <algorithm>
#include <utility>

namespace hawthornspur::bench
{

void schedule(event_queue& queue, time_point time, std::function<void()> action)
{
    queue.m_events.push({std::max(time, queue.m_now), queue.m_next_sequence++,
                         std::move(action)});
}

void run_until(event_queue& queue, time_point end)
{
    while (!queue.m_events.empty() && queue.m_events.top().m_time <= end)
    {
        auto next = queue.m_events.top();
        queue.m_events.pop();
        queue.m_now = next.m_time;
        next.m_action();
    }
}

} // namespace hawthornspur::bench
