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

/// Virtual time: events run in order of time, then of scheduling.
struct event
{
    time_point m_at;
    std::uint64_t m_sequence = 0;
    std::function<void()> m_run;
};

struct runs_later
{
    bool operator()(event const& a, event const& b) const
    {
        return a.m_at > b.m_at ||
               (a.m_at == b.m_at && a.m_sequence > b.m_sequence);
    }
};

struct event_queue
{
    time_point m_now{};
    std::uint64_t m_next_sequence = 0;
    std::priority_queue<event, std::vector<event>, runs_later> m_events;
};

void schedule(event_queue& queue, time_point at, std::function<void()> run);

/// Runs events until none is left or the next one is after `end`.
void run_until(event_queue& queue, time_point end);

} // namespace hawthornspur::bench

#endif
