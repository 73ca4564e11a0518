#ifndef HAWTHORNSPUR_BENCH_POLICY_EVENT_QUEUE_HPP
#define HAWTHORNSPUR_BENCH_POLICY_EVENT_QUEUE_HPP

#include "core/time.hpp"

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

namespace hawthornspur::bench
{

using core::duration;
using core::time_point;

/// An action at a point of virtual time.
struct event
{
    time_point m_time;
    std::uint64_t m_sequence = 0;
    std::function<void()> m_action;
};

/// Orders events by time, then by sequence number.
struct runs_later
{
    bool operator()(event const& a, event const& b) const
    {
        return a.m_time > b.m_time ||
               (a.m_time == b.m_time && a.m_sequence > b.m_sequence);
    }
};

/// Events and the current virtual time.
struct event_queue
{
    time_point m_now{};
    std::uint64_t m_next_sequence = 0;
    std::priority_queue<event, std::vector<event>, runs_later> m_events;
};

/// Adds an event. A time in the past is replaced by the current time.
void schedule(event_queue& queue, time_point time,
              std::function<void()> action);

/// Runs events in order until the queue is empty or the next one is after
/// `end`.
void run_until(event_queue& queue, time_point end);

} // namespace hawthornspur::bench

#endif
