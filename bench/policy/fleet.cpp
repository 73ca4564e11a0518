#include "fleet.hpp"

#include <algorithm>
#include <utility>

namespace hawthornspur::bench
{

namespace
{

constexpr double in_zone_delay_ms = 0.1;
constexpr double in_zone_jitter_ms = 0.05;
constexpr double between_zones_jitter_ms = 0.5;
constexpr double between_zones_loss_probability = 0.002;
constexpr double retransmission_ms = 20;
constexpr duration settle_time = std::chrono::seconds(12);

duration from_ms(double value)
{
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double, std::milli>(value));
}

double noise_factor(simulated_fleet const& fleet, int target,
                    simulated_target& state)
{
    auto const& intervals =
        fleet.m_workload->m_noise[static_cast<std::size_t>(target)];
    auto const now = fleet.m_events.m_now;
    while (state.m_noise_index < intervals.size() &&
           intervals[state.m_noise_index].m_end <= now)
    {
        ++state.m_noise_index;
    }
    bool const is_noisy = state.m_noise_index < intervals.size() &&
                          intervals[state.m_noise_index].m_start <= now;
    return is_noisy ? intervals[state.m_noise_index].m_slowdown_factor : 1.0;
}

void start_waiting_jobs(simulated_fleet& fleet, int target);

void end_job(simulated_fleet& fleet, int target, std::uint64_t id)
{
    auto& state = fleet.m_targets[static_cast<std::size_t>(target)];
    auto const found =
        std::find_if(state.m_running.begin(), state.m_running.end(),
                     [&](job const& entry) { return entry.m_id == id; });
    if (found == state.m_running.end())
    {
        return;
    }
    auto const on_end = std::move(found->m_on_end);
    state.m_running.erase(found);
    on_end(job_outcome::done);
    start_waiting_jobs(fleet, target);
}

void start_waiting_jobs(simulated_fleet& fleet, int target)
{
    auto& state = fleet.m_targets[static_cast<std::size_t>(target)];
    while (!state.m_waiting.empty() &&
           static_cast<int>(state.m_running.size()) < fleet.m_plan.m_slots)
    {
        state.m_running.push_back(std::move(state.m_waiting.front()));
        state.m_waiting.pop_front();
        auto const& next = state.m_running.back();
        std::chrono::duration<double> const work = next.m_work;
        auto const time = std::chrono::duration_cast<duration>(
            work * state.m_slowdown_factor *
            noise_factor(fleet, target, state));
        schedule(fleet.m_events, fleet.m_events.m_now + time,
                 [&fleet, target, id = next.m_id]
                 { end_job(fleet, target, id); });
    }
}

void kill_host(simulated_fleet& fleet, int host, router const& policy)
{
    fleet.m_host_alive[static_cast<std::size_t>(host)] = false;
    policy.m_host_killed(host);
}

void inject_fault(simulated_fleet& fleet, router const& policy)
{
    auto const faulty_target = pool_targets(fleet, 0, fault_zone).front();
    switch (fleet.m_scenario.m_fault)
    {
    case fault::none:
        return;
    case fault::slow_target:
        fleet.m_targets[static_cast<std::size_t>(faulty_target)]
            .m_slowdown_factor = 10;
        return;
    case fault::dead_target:
        kill_target(fleet, faulty_target);
        return;
    case fault::killed_owner:
        kill_host(fleet, policy.m_select_host_to_kill(), policy);
        return;
    case fault::lost_zone:
        for (int target = 0; target < static_cast<int>(fleet.m_targets.size());
             ++target)
        {
            if (fleet.m_targets[static_cast<std::size_t>(target)]
                    .m_place.m_zone == fault_zone)
            {
                kill_target(fleet, target);
            }
        }
        for (int host = 0; host < fleet.m_plan.m_hosts; ++host)
        {
            if (host_zone(fleet.m_plan, host) == fault_zone)
            {
                kill_host(fleet, host, policy);
            }
        }
        return;
    }
}

} // namespace

simulated_fleet make_fleet(deployment const& plan, scenario const& settings,
                           workload const& work, std::uint64_t seed)
{
    simulated_fleet fleet{
        .m_plan = plan,
        .m_scenario = settings,
        .m_workload = &work,
        .m_events = {},
        .m_random = random_engine(seed),
        .m_targets = {},
        .m_host_alive =
            std::vector<bool>(static_cast<std::size_t>(plan.m_hosts), true),
        .m_results = std::vector<request_result>(work.m_requests.size())};
    for (auto const& place : place_targets(plan))
    {
        fleet.m_targets.emplace_back();
        fleet.m_targets.back().m_place = place;
    }
    return fleet;
}

duration link_delay(simulated_fleet& fleet, int from_zone, int to_zone)
{
    if (from_zone == to_zone)
    {
        std::exponential_distribution<> jitter(1 / in_zone_jitter_ms);
        return from_ms(in_zone_delay_ms + jitter(fleet.m_random));
    }
    std::exponential_distribution<> jitter(1 / between_zones_jitter_ms);
    std::bernoulli_distribution lost(between_zones_loss_probability);
    return from_ms(fleet.m_plan.m_zone_delay_ms + jitter(fleet.m_random) +
                   (lost(fleet.m_random) ? retransmission_ms : 0));
}

void start_job(simulated_fleet& fleet, int target, job next)
{
    auto& state = fleet.m_targets[static_cast<std::size_t>(target)];
    if (state.m_is_dead)
    {
        next.m_on_end(job_outcome::connect_failed);
        return;
    }
    if (static_cast<int>(state.m_running.size() + state.m_waiting.size()) >=
        fleet.m_plan.m_connections)
    {
        next.m_on_end(job_outcome::shed);
        return;
    }
    state.m_waiting.push_back(std::move(next));
    start_waiting_jobs(fleet, target);
}

void cancel_job(simulated_fleet& fleet, int target, std::uint64_t id)
{
    auto& state = fleet.m_targets[static_cast<std::size_t>(target)];
    auto const has_id = [&](job const& entry)
    {
        return entry.m_id == id;
    };
    std::erase_if(state.m_running, has_id);
    std::erase_if(state.m_waiting, has_id);
    start_waiting_jobs(fleet, target);
}

void kill_target(simulated_fleet& fleet, int target)
{
    auto& state = fleet.m_targets[static_cast<std::size_t>(target)];
    state.m_is_dead = true;
    auto const running = std::exchange(state.m_running, {});
    auto const waiting = std::exchange(state.m_waiting, {});
    for (auto const& entry : running)
    {
        entry.m_on_end(job_outcome::closed);
    }
    for (auto const& entry : waiting)
    {
        entry.m_on_end(job_outcome::closed);
    }
}

void record_result(simulated_fleet& fleet, std::uint32_t request,
                   request_status status, time_point time)
{
    auto& result = fleet.m_results[request];
    if (result.m_status != request_status::pending)
    {
        return;
    }
    bool const is_late =
        status == request_status::answered &&
        time > fleet.m_workload->m_requests[request].m_deadline;
    result = {is_late ? request_status::failed : status, time};
}

int entry_host(simulated_fleet const& fleet, planned_request const& request)
{
    for (int step = 0; step < fleet.m_plan.m_zones; ++step)
    {
        // Callers of a lost zone are spread over the other zones.
        auto const zone =
            step == 0 ? request.m_zone
                      : (request.m_zone + 1 +
                         (request.m_host + step) % (fleet.m_plan.m_zones - 1)) %
                            fleet.m_plan.m_zones;
        std::vector<int> live;
        for (int host = zone; host < fleet.m_plan.m_hosts;
             host += fleet.m_plan.m_zones)
        {
            if (fleet.m_host_alive[static_cast<std::size_t>(host)])
            {
                live.push_back(host);
            }
        }
        if (!live.empty())
        {
            return live[static_cast<std::size_t>(request.m_host) % live.size()];
        }
    }
    return -1;
}

std::vector<int> pool_targets(simulated_fleet const& fleet, int service,
                              int zone)
{
    std::vector<int> targets;
    for (std::size_t i = 0; i < fleet.m_targets.size(); ++i)
    {
        if (fleet.m_targets[i].m_place.m_service == service &&
            fleet.m_targets[i].m_place.m_zone == zone)
        {
            targets.push_back(static_cast<int>(i));
        }
    }
    return targets;
}

void run(simulated_fleet& fleet, router const& policy)
{
    auto const& requests = fleet.m_workload->m_requests;
    // Each arrival schedules the next one, which keeps the event queue short.
    std::function<void(std::uint32_t)> const arrive = [&](std::uint32_t index)
    {
        auto const host = entry_host(fleet, requests[index]);
        if (host < 0)
        {
            record_result(fleet, index, request_status::failed,
                          fleet.m_events.m_now);
        }
        else
        {
            policy.m_arrive(index, host);
        }
        if (index + 1 < requests.size())
        {
            schedule(fleet.m_events, requests[index + 1].m_arrival,
                     [&arrive, index] { arrive(index + 1); });
        }
    };
    if (!requests.empty())
    {
        schedule(fleet.m_events, requests.front().m_arrival,
                 [&arrive] { arrive(0); });
    }
    schedule(fleet.m_events,
             time_point{} + fleet.m_scenario.m_disturbance_start,
             [&] { inject_fault(fleet, policy); });
    run_until(fleet.m_events,
              time_point{} + fleet.m_scenario.m_duration + settle_time);
    for (std::uint32_t i = 0; i < requests.size(); ++i)
    {
        record_result(fleet, i, request_status::failed, requests[i].m_deadline);
    }
}

} // namespace hawthornspur::bench
