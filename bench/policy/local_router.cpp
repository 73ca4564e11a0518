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
    std::size_t m_next = 0;
    std::size_t m_next_probe = 0;
};

struct local_state
{
    fleet* m_fleet = nullptr;
    local_choice m_choice = local_choice::two_choices;
    /// By host, service and zone.
    std::map<std::array<int, 3>, host_view> m_views;
    std::uint64_t m_next_job = 1;
};

using state_ptr = std::shared_ptr<local_state>;

host_view& view_of(local_state& s, int host, int service, int zone)
{
    auto& view = s.m_views[{host, service, zone}];
    if (view.m_targets.empty())
    {
        view.m_targets = pool_targets(*s.m_fleet, service, zone);
        view.m_in_flight.assign(view.m_targets.size(), 0);
        view.m_probed.resize(view.m_targets.size());
        view.m_next = static_cast<std::size_t>(host) % view.m_targets.size();
    }
    return view;
}

int load_of(local_state const& s, host_view const& view, std::size_t index)
{
    auto load = view.m_in_flight[index];
    auto const& probed = view.m_probed[index];
    if (s.m_choice == local_choice::two_choices_probed &&
        probed.m_time != time_point::min() &&
        s.m_fleet->m_events.m_now - probed.m_time < probe_lifetime)
    {
        load += probed.m_load;
    }
    return load;
}

std::size_t choose(local_state& s, host_view& view)
{
    auto const count = view.m_targets.size();
    if (s.m_choice == local_choice::round_robin || count == 1)
    {
        view.m_next = (view.m_next + 1) % count;
        return view.m_next;
    }
    std::uniform_int_distribution<std::size_t> any(0, count - 1);
    std::uniform_int_distribution<std::size_t> offset(1, count - 1);
    auto const first = any(s.m_fleet->m_random);
    auto const second = (first + offset(s.m_fleet->m_random)) % count;
    return load_of(s, view, second) < load_of(s, view, first) ? second : first;
}

void send(state_ptr const& s, std::uint32_t request, int host, int attempts)
{
    auto& f = *s->m_fleet;
    auto const& planned = f.m_workload->m_requests[request];
    auto const zone = zone_of_host(f.m_plan, host);
    auto& view = view_of(*s, host, planned.m_service, zone);
    auto const index = choose(*s, view);
    auto const target = view.m_targets[index];
    auto const id = s->m_next_job++;
    ++view.m_in_flight[index];
    auto const on_end =
        [s, request, host, zone, attempts, index, &view](job_outcome outcome)
    {
        auto& current_fleet = *s->m_fleet;
        auto const reply_time = current_fleet.m_events.m_now +
                                link_delay(current_fleet, zone, zone);
        schedule(
            current_fleet.m_events, reply_time,
            [s, request, host, attempts, index, outcome, &view]
            {
                --view.m_in_flight[index];
                auto& current_fleet = *s->m_fleet;
                if (!current_fleet.m_host_alive[static_cast<std::size_t>(host)])
                {
                    return;
                }
                bool const not_run = outcome == job_outcome::connect_failed ||
                                     outcome == job_outcome::shed;
                if (not_run && attempts + 1 < max_attempts)
                {
                    send(s, request, host, attempts + 1);
                    return;
                }
                finish(current_fleet, request,
                       outcome == job_outcome::done ? request_status::answered
                       : not_run                    ? request_status::refused
                                                    : request_status::failed,
                       current_fleet.m_events.m_now);
            });
    };
    schedule(f.m_events, f.m_events.m_now + link_delay(f, zone, zone),
             [s, target, id, on_end, work = planned.m_work] {
                 start_job(*s->m_fleet, target, {id, work, on_end});
             });
    schedule(f.m_events, planned.m_deadline,
             [s, request, target, id, index, &view]
             {
                 auto& current_fleet = *s->m_fleet;
                 if (current_fleet.m_results[request].m_status ==
                     request_status::pending)
                 {
                     --view.m_in_flight[index];
                     cancel_job(current_fleet, target, id);
                     finish(current_fleet, request, request_status::failed,
                            current_fleet.m_events.m_now);
                 }
             });
}

void probe_next(state_ptr const& s, int host, int service, duration interval)
{
    auto& f = *s->m_fleet;
    if (f.m_events.m_now.time_since_epoch() > f.m_scenario.m_duration)
    {
        return;
    }
    auto const zone = zone_of_host(f.m_plan, host);
    auto& view = view_of(*s, host, service, zone);
    auto const index = view.m_next_probe++ % view.m_targets.size();
    auto const target = view.m_targets[index];
    auto const cost = std::chrono::duration_cast<duration>(
        std::chrono::duration<double, std::milli>(
            f.m_plan.m_probe_cost_ms + f.m_plan.m_connection_cost_ms));
    auto& state = f.m_targets[static_cast<std::size_t>(target)];
    state.m_probe_time += cost;
    start_job(
        f, target,
        {s->m_next_job++, cost,
         [s, target, index, &view](job_outcome outcome)
         {
             auto const& t =
                 s->m_fleet->m_targets[static_cast<std::size_t>(target)];
             auto const load =
                 static_cast<int>(t.m_running.size() + t.m_waiting.size());
             view.m_probed[index] = {outcome == job_outcome::done ? load : 1000,
                                     s->m_fleet->m_events.m_now};
         }});
    schedule(f.m_events, f.m_events.m_now + interval,
             [s, host, service, interval]
             { probe_next(s, host, service, interval); });
}

void start_probes(state_ptr const& s)
{
    auto& f = *s->m_fleet;
    auto const rate = f.m_scenario.m_probe_budget / max_entry_hosts;
    if (rate <= 0)
    {
        return;
    }
    auto const cost_seconds =
        (f.m_plan.m_probe_cost_ms + f.m_plan.m_connection_cost_ms) / 1000;
    auto const interval = std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(cost_seconds / rate));
    std::uniform_real_distribution<> phase(0, 1);
    for (int host = 0; host < f.m_plan.m_hosts; ++host)
    {
        for (int service = 0;
             service < static_cast<int>(f.m_plan.m_services.size()); ++service)
        {
            auto const first = std::chrono::duration_cast<duration>(
                interval * phase(f.m_random));
            schedule(f.m_events, time_point{} + first,
                     [s, host, service, interval]
                     { probe_next(s, host, service, interval); });
        }
    }
}

} // namespace

router make_local_router(fleet& f, local_choice choice)
{
    auto s = std::make_shared<local_state>();
    s->m_fleet = &f;
    s->m_choice = choice;
    if (choice == local_choice::two_choices_probed)
    {
        start_probes(s);
    }
    router r;
    r.m_arrive = [s](std::uint32_t request, int host)
    {
        send(s, request, host, 0);
    };
    r.m_host_killed = [](int) {
    };
    r.m_select_host_to_kill = []
    {
        return fault_zone;
    };
    return r;
}

} // namespace hawthornspur::bench
