#include "routers.hpp"

#include <algorithm>
#include <map>
#include <utility>

namespace hawthornspur::bench
{

namespace
{

constexpr int max_attempts = 3;
constexpr int max_entry_hosts = 19;
constexpr duration probe_lifetime = std::chrono::milliseconds(500);

struct probed_load
{
    int m_load = 0;
    time_point m_time = time_point::min();
};

/// State of one pool at one host.
struct host_view
{
    std::vector<int> m_targets;
    std::vector<int> m_in_flight;
    std::vector<probed_load> m_probed;
    std::size_t m_next_target = 0;
    std::size_t m_next_probe = 0;
};

struct local_state
{
    simulated_fleet* m_fleet = nullptr;
    local_choice m_choice = local_choice::two_choices;
    /// By host, service and zone.
    std::map<std::array<int, 3>, host_view> m_views;
    std::uint64_t m_next_job = 1;
};

using state_ptr = std::shared_ptr<local_state>;

host_view& find_or_create_view(local_state& state, int host, int service,
                               int zone)
{
    auto& view = state.m_views[{host, service, zone}];
    if (view.m_targets.empty())
    {
        view.m_targets = pool_targets(*state.m_fleet, service, zone);
        view.m_in_flight.assign(view.m_targets.size(), 0);
        view.m_probed.resize(view.m_targets.size());
        view.m_next_target =
            static_cast<std::size_t>(host) % view.m_targets.size();
    }
    return view;
}

int estimated_load(local_state const& state, host_view const& view,
                   std::size_t index)
{
    auto load = view.m_in_flight[index];
    auto const& probed = view.m_probed[index];
    if (state.m_choice == local_choice::two_choices_probed &&
        probed.m_time != time_point::min() &&
        state.m_fleet->m_events.m_now - probed.m_time < probe_lifetime)
    {
        load += probed.m_load;
    }
    return load;
}

std::size_t choose(local_state& state, host_view& view)
{
    auto const count = view.m_targets.size();
    if (state.m_choice == local_choice::round_robin || count == 1)
    {
        view.m_next_target = (view.m_next_target + 1) % count;
        return view.m_next_target;
    }
    std::uniform_int_distribution<std::size_t> random_index(0, count - 1);
    std::uniform_int_distribution<std::size_t> offset(1, count - 1);
    auto const first = random_index(state.m_fleet->m_random);
    auto const second = (first + offset(state.m_fleet->m_random)) % count;
    return estimated_load(state, view, second) <
                   estimated_load(state, view, first)
               ? second
               : first;
}

void send(state_ptr const& state, std::uint32_t request, int host, int attempts)
{
    auto& fleet = *state->m_fleet;
    auto const& planned = fleet.m_workload->m_requests[request];
    auto const zone = host_zone(fleet.m_plan, host);
    auto& view = find_or_create_view(*state, host, planned.m_service, zone);
    auto const index = choose(*state, view);
    auto const target = view.m_targets[index];
    auto const id = state->m_next_job++;
    ++view.m_in_flight[index];
    auto const on_end = [state, request, host, zone, attempts, index,
                         &view](job_outcome outcome)
    {
        auto& current_fleet = *state->m_fleet;
        auto const reply_time = current_fleet.m_events.m_now +
                                link_delay(current_fleet, zone, zone);
        schedule(
            current_fleet.m_events, reply_time,
            [state, request, host, attempts, index, outcome, &view]
            {
                --view.m_in_flight[index];
                auto& current_fleet = *state->m_fleet;
                if (!current_fleet.m_host_alive[static_cast<std::size_t>(host)])
                {
                    return;
                }
                bool const not_run = outcome == job_outcome::connect_failed ||
                                     outcome == job_outcome::shed;
                if (not_run && attempts + 1 < max_attempts)
                {
                    send(state, request, host, attempts + 1);
                    return;
                }
                record_result(current_fleet, request,
                              outcome == job_outcome::done
                                  ? request_status::answered
                              : not_run ? request_status::refused
                                        : request_status::failed,
                              current_fleet.m_events.m_now);
            });
    };
    schedule(fleet.m_events,
             fleet.m_events.m_now + link_delay(fleet, zone, zone),
             [state, target, id, on_end, work = planned.m_work] {
                 start_job(*state->m_fleet, target, {id, work, on_end});
             });
    schedule(fleet.m_events, planned.m_deadline,
             [state, request, target, id, index, &view]
             {
                 auto& current_fleet = *state->m_fleet;
                 if (current_fleet.m_results[request].m_status ==
                     request_status::pending)
                 {
                     --view.m_in_flight[index];
                     cancel_job(current_fleet, target, id);
                     record_result(current_fleet, request,
                                   request_status::failed,
                                   current_fleet.m_events.m_now);
                 }
             });
}

void probe_next(state_ptr const& state, int host, int service,
                duration interval)
{
    auto& fleet = *state->m_fleet;
    if (fleet.m_events.m_now.time_since_epoch() > fleet.m_scenario.m_duration)
    {
        return;
    }
    auto const zone = host_zone(fleet.m_plan, host);
    auto& view = find_or_create_view(*state, host, service, zone);
    auto const index = view.m_next_probe++ % view.m_targets.size();
    auto const target = view.m_targets[index];
    auto const cost = std::chrono::duration_cast<duration>(
        std::chrono::duration<double, std::milli>(
            fleet.m_plan.m_probe_cost_ms + fleet.m_plan.m_connection_cost_ms));
    auto& target_state = fleet.m_targets[static_cast<std::size_t>(target)];
    target_state.m_probe_time += cost;
    start_job(
        fleet, target,
        {state->m_next_job++, cost,
         [state, target, index, &view](job_outcome outcome)
         {
             auto const& current_target =
                 state->m_fleet->m_targets[static_cast<std::size_t>(target)];
             auto const load =
                 static_cast<int>(current_target.m_running.size() +
                                  current_target.m_waiting.size());
             view.m_probed[index] = {outcome == job_outcome::done ? load : 1000,
                                     state->m_fleet->m_events.m_now};
         }});
    schedule(fleet.m_events, fleet.m_events.m_now + interval,
             [state, host, service, interval]
             { probe_next(state, host, service, interval); });
}

void start_probes(state_ptr const& state)
{
    auto& fleet = *state->m_fleet;
    auto const rate = fleet.m_scenario.m_probe_budget / max_entry_hosts;
    if (rate <= 0)
    {
        return;
    }
    auto const cost_seconds =
        (fleet.m_plan.m_probe_cost_ms + fleet.m_plan.m_connection_cost_ms) /
        1000;
    auto const interval = std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(cost_seconds / rate));
    std::uniform_real_distribution<> phase(0, 1);
    for (int host = 0; host < fleet.m_plan.m_hosts; ++host)
    {
        for (int service = 0;
             service < static_cast<int>(fleet.m_plan.m_services.size());
             ++service)
        {
            auto const first = std::chrono::duration_cast<duration>(
                interval * phase(fleet.m_random));
            schedule(fleet.m_events, time_point{} + first,
                     [state, host, service, interval]
                     { probe_next(state, host, service, interval); });
        }
    }
}

} // namespace

router make_local_router(simulated_fleet& fleet, local_choice choice)
{
    auto state = std::make_shared<local_state>();
    state->m_fleet = &fleet;
    state->m_choice = choice;
    if (choice == local_choice::two_choices_probed)
    {
        start_probes(state);
    }
    router callbacks;
    callbacks.m_arrive = [state](std::uint32_t request, int host)
    {
        send(state, request, host, 0);
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
