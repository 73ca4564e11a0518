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

double noise_factor(fleet const& f, int target, simulated_target& state)
{
    auto const& all = f.m_workload->m_noise[static_cast<std::size_t>(target)];
    auto const now = f.m_events.m_now;
    while (state.m_noise_index < all.size() &&
           all[state.m_noise_index].m_end <= now)
    {
        ++state.m_noise_index;
    }
    bool const is_noisy = state.m_noise_index < all.size() &&
                          all[state.m_noise_index].m_start <= now;
    return is_noisy ? all[state.m_noise_index].m_slowdown_factor : 1.0;
}

void run_waiting(fleet& f, int target);

void end_job(fleet& f, int target, std::uint64_t id)
{
    auto& state = f.m_targets[static_cast<std::size_t>(target)];
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
    run_waiting(f, target);
}

void run_waiting(fleet& f, int target)
{
    auto& state = f.m_targets[static_cast<std::size_t>(target)];
    while (!state.m_waiting.empty() &&
           static_cast<int>(state.m_running.size()) < f.m_plan.m_slots)
    {
        state.m_running.push_back(std::move(state.m_waiting.front()));
        state.m_waiting.pop_front();
        auto const& next = state.m_running.back();
        std::chrono::duration<double> const work = next.m_work;
        auto const time = std::chrono::duration_cast<duration>(
            work * state.m_slowdown_factor * noise_factor(f, target, state));
        schedule(f.m_events, f.m_events.m_now + time,
                 [&f, target, id = next.m_id] { end_job(f, target, id); });
    }
}

void kill_host(fleet& f, int host, router const& policy)
{
    f.m_host_alive[static_cast<std::size_t>(host)] = false;
    policy.m_host_killed(host);
}

void cause_fault(fleet& f, router const& policy)
{
    auto const faulty_target = pool_targets(f, 0, fault_zone).front();
    switch (f.m_scenario.m_fault)
    {
    case fault::none:
        return;
    case fault::slow_target:
        f.m_targets[static_cast<std::size_t>(faulty_target)].m_slowdown_factor =
            10;
        return;
    case fault::dead_target:
        kill_target(f, faulty_target);
        return;
    case fault::killed_owner:
        kill_host(f, policy.m_select_host_to_kill(), policy);
        return;
    case fault::lost_zone:
        for (int target = 0; target < static_cast<int>(f.m_targets.size());
             ++target)
        {
            if (f.m_targets[static_cast<std::size_t>(target)].m_place.m_zone ==
                fault_zone)
            {
                kill_target(f, target);
            }
        }
        for (int host = 0; host < f.m_plan.m_hosts; ++host)
        {
            if (zone_of_host(f.m_plan, host) == fault_zone)
            {
                kill_host(f, host, policy);
            }
        }
        return;
    }
}

} // namespace

fleet make_fleet(deployment const& plan, scenario const& settings,
                 workload const& work, std::uint64_t seed)
{
    fleet f{.m_plan = plan,
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
        f.m_targets.emplace_back();
        f.m_targets.back().m_place = place;
    }
    return f;
}

duration link_delay(fleet& f, int from_zone, int to_zone)
{
    if (from_zone == to_zone)
    {
        std::exponential_distribution<> jitter(1 / in_zone_jitter_ms);
        return from_ms(in_zone_delay_ms + jitter(f.m_random));
    }
    std::exponential_distribution<> jitter(1 / between_zones_jitter_ms);
    std::bernoulli_distribution lost(between_zones_loss_probability);
    return from_ms(f.m_plan.m_zone_delay_ms + jitter(f.m_random) +
                   (lost(f.m_random) ? retransmission_ms : 0));
}

void start_job(fleet& f, int target, job next)
{
    auto& state = f.m_targets[static_cast<std::size_t>(target)];
    if (state.m_is_dead)
    {
        next.m_on_end(job_outcome::connect_failed);
        return;
    }
    if (static_cast<int>(state.m_running.size() + state.m_waiting.size()) >=
        f.m_plan.m_connections)
    {
        next.m_on_end(job_outcome::shed);
        return;
    }
    state.m_waiting.push_back(std::move(next));
    run_waiting(f, target);
}

void cancel_job(fleet& f, int target, std::uint64_t id)
{
    auto& state = f.m_targets[static_cast<std::size_t>(target)];
    auto const has_id = [&](job const& entry)
    {
        return entry.m_id == id;
    };
    std::erase_if(state.m_running, has_id);
    std::erase_if(state.m_waiting, has_id);
    run_waiting(f, target);
}

void kill_target(fleet& f, int target)
{
    auto& state = f.m_targets[static_cast<std::size_t>(target)];
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

void finish(fleet& f, std::uint32_t request, request_status status,
            time_point at)
{
    auto& result = f.m_results[request];
    if (result.m_status != request_status::pending)
    {
        return;
    }
    bool const is_late = status == request_status::answered &&
                         at > f.m_workload->m_requests[request].m_deadline;
    result = {is_late ? request_status::failed : status, at};
}

int entry_host(fleet const& f, planned_request const& request)
{
    for (int step = 0; step < f.m_plan.m_zones; ++step)
    {
        // Callers of a lost zone are spread over the other zones.
        auto const zone =
            step == 0 ? request.m_zone
                      : (request.m_zone + 1 +
                         (request.m_host + step) % (f.m_plan.m_zones - 1)) %
                            f.m_plan.m_zones;
        std::vector<int> live;
        for (int host = zone; host < f.m_plan.m_hosts; host += f.m_plan.m_zones)
        {
            if (f.m_host_alive[static_cast<std::size_t>(host)])
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

std::vector<int> pool_targets(fleet const& f, int service, int zone)
{
    std::vector<int> found;
    for (std::size_t i = 0; i < f.m_targets.size(); ++i)
    {
        if (f.m_targets[i].m_place.m_service == service &&
            f.m_targets[i].m_place.m_zone == zone)
        {
            found.push_back(static_cast<int>(i));
        }
    }
    return found;
}

void run(fleet& f, router const& policy)
{
    auto const& requests = f.m_workload->m_requests;
    // Each arrival schedules the next one, which keeps the event queue short.
    std::function<void(std::uint32_t)> const arrive = [&](std::uint32_t index)
    {
        auto const host = entry_host(f, requests[index]);
        if (host < 0)
        {
            finish(f, index, request_status::failed, f.m_events.m_now);
        }
        else
        {
            policy.m_arrive(index, host);
        }
        if (index + 1 < requests.size())
        {
            schedule(f.m_events, requests[index + 1].m_arrival,
                     [&arrive, index] { arrive(index + 1); });
        }
    };
    if (!requests.empty())
    {
        schedule(f.m_events, requests.front().m_arrival,
                 [&arrive] { arrive(0); });
    }
    schedule(f.m_events, time_point{} + f.m_scenario.m_disturbance_start,
             [&] { cause_fault(f, policy); });
    run_until(f.m_events, time_point{} + f.m_scenario.m_duration + settle_time);
    for (std::uint32_t i = 0; i < requests.size(); ++i)
    {
        finish(f, i, request_status::failed, requests[i].m_deadline);
    }
}

} // namespace hawthornspur::bench
