#include "routers.hpp"

#include <map>
#include <utility>

namespace hawthornspur::bench
{

namespace
{

struct waiting_request
{
    std::uint32_t m_request = 0;
    int m_host = 0;
};

struct central_queue
{
    std::vector<int> m_targets;
    std::vector<int> m_in_flight;
    std::deque<waiting_request> m_waiting;
    int m_zone = 0;
};

struct central_state
{
    simulated_fleet* m_fleet = nullptr;
    std::map<std::pair<int, int>, central_queue> m_queues;
    std::uint64_t m_next_job = 1;
};

using state_ptr = std::shared_ptr<central_state>;

void dispatch_waiting(state_ptr const& state, central_queue& queue);

std::size_t random_free_target(simulated_fleet& fleet,
                               central_queue const& queue)
{
    std::vector<std::size_t> free_targets;
    for (std::size_t i = 0; i < queue.m_targets.size(); ++i)
    {
        auto const target = static_cast<std::size_t>(queue.m_targets[i]);
        if (queue.m_in_flight[i] < fleet.m_plan.m_slots &&
            !fleet.m_targets[target].m_is_dead)
        {
            free_targets.push_back(i);
        }
    }
    if (free_targets.empty())
    {
        return queue.m_targets.size();
    }
    std::uniform_int_distribution<std::size_t> random_index(
        0, free_targets.size() - 1);
    return free_targets[random_index(fleet.m_random)];
}

void dispatch(state_ptr const& state, central_queue& queue,
              waiting_request const& next, std::size_t index)
{
    auto& fleet = *state->m_fleet;
    ++queue.m_in_flight[index];
    auto const on_end = [state, &queue, next, index](job_outcome outcome)
    {
        auto& current_fleet = *state->m_fleet;
        --queue.m_in_flight[index];
        auto const reply_time =
            current_fleet.m_events.m_now +
            link_delay(current_fleet, queue.m_zone, queue.m_zone) +
            link_delay(current_fleet, queue.m_zone, queue.m_zone);
        record_result(current_fleet, next.m_request,
                      outcome == job_outcome::done ? request_status::answered
                                                   : request_status::failed,
                      reply_time);
        dispatch_waiting(state, queue);
    };
    start_job(fleet, queue.m_targets[index],
              {state->m_next_job++,
               fleet.m_workload->m_requests[next.m_request].m_work, on_end});
}

void dispatch_waiting(state_ptr const& state, central_queue& queue)
{
    auto& fleet = *state->m_fleet;
    while (!queue.m_waiting.empty())
    {
        auto const next = queue.m_waiting.front();
        auto const& planned = fleet.m_workload->m_requests[next.m_request];
        if (planned.m_deadline <= fleet.m_events.m_now)
        {
            queue.m_waiting.pop_front();
            record_result(fleet, next.m_request, request_status::refused,
                          fleet.m_events.m_now);
            continue;
        }
        auto const index = random_free_target(fleet, queue);
        if (index == queue.m_targets.size())
        {
            return;
        }
        queue.m_waiting.pop_front();
        dispatch(state, queue, next, index);
    }
}

} // namespace

router make_central_router(simulated_fleet& fleet)
{
    auto state = std::make_shared<central_state>();
    state->m_fleet = &fleet;
    router callbacks;
    callbacks.m_arrive = [state](std::uint32_t request, int host)
    {
        auto& current_fleet = *state->m_fleet;
        auto const& planned = current_fleet.m_workload->m_requests[request];
        auto const zone = host_zone(current_fleet.m_plan, host);
        auto& queue = state->m_queues[{planned.m_service, zone}];
        if (queue.m_targets.empty())
        {
            queue.m_targets =
                pool_targets(current_fleet, planned.m_service, zone);
            queue.m_in_flight.assign(queue.m_targets.size(), 0);
            queue.m_zone = zone;
        }
        // The delay covers both hops, entry host to queue and queue to target,
        // which makes dispatch to a free slot immediate.
        auto const delay = link_delay(current_fleet, zone, zone) +
                           link_delay(current_fleet, zone, zone);
        schedule(current_fleet.m_events, current_fleet.m_events.m_now + delay,
                 [state, &queue, request, host]
                 {
                     queue.m_waiting.push_back({request, host});
                     dispatch_waiting(state, queue);
                 });
    };
    callbacks.m_host_killed = [](int) {
    };
    callbacks.m_select_host_to_kill = []
    {
        return fault_zone;
    };
    return callbacks;
}

} // namespace hawthornspur::bench
