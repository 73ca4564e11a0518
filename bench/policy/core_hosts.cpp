#include "core/ownership.hpp"
#include "core_state.hpp"

namespace hawthornspur::bench
{

namespace
{

/// Time after which the other hosts declare a silent host dead.
constexpr duration detection_time = std::chrono::milliseconds(600);
constexpr duration summary_interval = std::chrono::milliseconds(500);
constexpr duration link_overhead = std::chrono::milliseconds(1);
constexpr double summary_utilization = 0.6;

core::pool_rules make_pool_rules(core_state const& state, int service)
{
    auto const& plan = state.m_fleet->m_plan;
    auto const& entry = plan.m_services[static_cast<std::size_t>(service)];
    core::kind_config short_kind;
    short_kind.m_name = "short";
    short_kind.m_execution = entry.m_at_most_once
                                 ? core::execution_rule::at_most_once
                                 : core::execution_rule::idempotent;
    short_kind.m_hedge = !entry.m_at_most_once;
    core::kind_config long_kind;
    long_kind.m_name = "long";
    long_kind.m_execution = core::execution_rule::idempotent;
    core::pool_rules rules;
    rules.m_kinds = {short_kind, long_kind};
    rules.m_probe_cost = from_ms(plan.m_probe_cost_ms);
    rules.m_connection_cost = from_ms(plan.m_connection_cost_ms);
    rules.m_order = state.m_order;
    return rules;
}

int find_owner(core_state const& state, int service, int zone)
{
    auto const& fleet = *state.m_fleet;
    std::vector<core::owner_candidate> hosts;
    for (int host = 0; host < fleet.m_plan.m_hosts; ++host)
    {
        if (fleet.m_host_alive[static_cast<std::size_t>(host)])
        {
            hosts.push_back({"host-" + std::to_string(host),
                             zone_name(host_zone(fleet.m_plan, host))});
        }
    }
    core::pool_id const id{
        fleet.m_plan.m_services[static_cast<std::size_t>(service)].m_name,
        zone_name(zone)};
    auto const order = core::owner_order(id, hosts, state.m_configuration);
    return std::stoi(order.front().substr(std::string("host-").size()));
}

} // namespace

duration from_ms(double value)
{
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double, std::milli>(value));
}

std::string zone_name(int zone)
{
    return "zone-" + std::to_string(zone);
}

pool_instance& get_pool(core_state& state, int index)
{
    return state.m_pools[static_cast<std::size_t>(index)];
}

int pool_index(core_state const& state, int service, int zone)
{
    return service * state.m_fleet->m_plan.m_zones + zone;
}

bool is_alive(core_state const& state, int host)
{
    return state.m_fleet->m_host_alive[static_cast<std::size_t>(host)];
}

duration host_link_delay(core_state& state, int from_host, int to_host)
{
    if (from_host == to_host)
    {
        return duration::zero();
    }
    auto const& plan = state.m_fleet->m_plan;
    return link_delay(*state.m_fleet, host_zone(plan, from_host),
                      host_zone(plan, to_host));
}

void create_pool_at_owner(state_ptr const& state, int index,
                          core::pool_start start)
{
    auto& instance = get_pool(*state, index);
    auto const& fleet = *state->m_fleet;
    instance.m_owner = find_owner(*state, instance.m_service, instance.m_zone);
    instance.m_pool =
        core::make_pool(make_pool_rules(*state, instance.m_service), start,
                        fleet.m_events.m_now);
    instance.m_timer = time_point::max();
    std::vector<core::pool_target> targets;
    for (auto const target :
         pool_targets(fleet, instance.m_service, instance.m_zone))
    {
        targets.push_back({{static_cast<std::uint32_t>(target)},
                           fleet.m_plan.m_slots,
                           false});
    }
    call_pool(state, index,
              [&](core::pool& pool, core::service_budgets& budgets,
                  core::pool_effects& out) {
                  core::set_targets(pool, targets, fleet.m_events.m_now,
                                    budgets, out);
              });
}

namespace
{

void replace_owners(state_ptr const& state)
{
    for (std::size_t i = 0; i < state->m_pools.size(); ++i)
    {
        if (!is_alive(*state, state->m_pools[i].m_owner))
        {
            ++state->m_pools[i].m_epoch;
            create_pool_at_owner(state, static_cast<int>(i),
                                 core::pool_start::after_crash);
        }
    }
    for (auto const request : std::exchange(state->m_undelivered, {}))
    {
        auto const& planned = state->m_fleet->m_workload->m_requests[request];
        bool const can_retry =
            planned.m_kind == 1 ||
            !state->m_fleet->m_plan
                 .m_services[static_cast<std::size_t>(planned.m_service)]
                 .m_at_most_once;
        if (can_retry && is_alive(*state, state->m_entry_host[request]))
        {
            forward(state, request, state->m_entry_host[request]);
            continue;
        }
        ++state->m_counts->m_lost_before_detection;
        record_result(*state->m_fleet, request, request_status::failed,
                      state->m_fleet->m_events.m_now);
    }
}

} // namespace

void on_host_killed(state_ptr const& state, int host)
{
    auto& fleet = *state->m_fleet;
    for (std::uint32_t i = 0; i < fleet.m_results.size(); ++i)
    {
        auto const holder = state->m_holding_pool[i];
        bool const is_lost =
            state->m_entry_host[i] == host ||
            (holder >= 0 && get_pool(*state, holder).m_owner == host);
        if (is_lost && fleet.m_results[i].m_status == request_status::pending)
        {
            ++state->m_counts->m_lost_in_flight;
            record_result(fleet, i, request_status::failed,
                          fleet.m_events.m_now);
        }
    }
    schedule(fleet.m_events, fleet.m_events.m_now + detection_time,
             [state] { replace_owners(state); });
}

void exchange_summaries(state_ptr const& state)
{
    auto& fleet = *state->m_fleet;
    for (std::size_t from = 0; from < state->m_pools.size(); ++from)
    {
        auto const& sender = state->m_pools[from];
        if (!is_alive(*state, sender.m_owner))
        {
            continue;
        }
        auto const summary = core::summarize(
            *sender.m_pool, zone_name(sender.m_zone), fleet.m_events.m_now);
        for (int zone = 0; zone < fleet.m_plan.m_zones; ++zone)
        {
            auto const to = pool_index(*state, sender.m_service, zone);
            if (zone == sender.m_zone ||
                !is_alive(*state, get_pool(*state, to).m_owner))
            {
                continue;
            }
            auto const other = core::summarize(*get_pool(*state, to).m_pool, {},
                                               fleet.m_events.m_now);
            auto const is_busy = [](core::pool_summary const& pool)
            {
                return pool.m_free_slots <
                       (1 - summary_utilization) * pool.m_slots;
            };
            if (!is_busy(summary) && !is_busy(other))
            {
                continue;
            }
            auto const cost =
                2 * from_ms(fleet.m_plan.m_zone_delay_ms) + link_overhead;
            call_pool_later(
                state, to,
                host_link_delay(*state, sender.m_owner,
                                get_pool(*state, to).m_owner),
                [state, summary, cost](core::pool& pool, core::service_budgets&,
                                       core::pool_effects&) {
                    core::on_summary(pool, summary, cost,
                                     state->m_fleet->m_events.m_now);
                });
        }
    }
    if (fleet.m_events.m_now.time_since_epoch() < fleet.m_scenario.m_duration)
    {
        schedule(fleet.m_events, fleet.m_events.m_now + summary_interval,
                 [state] { exchange_summaries(state); });
    }
}

core::configuration make_configuration(deployment const& plan)
{
    core::configuration configuration;
    for (int zone = 0; zone < plan.m_zones; ++zone)
    {
        core::zone_config entry;
        entry.m_name = zone_name(zone);
        for (int other = 0; other < plan.m_zones; ++other)
        {
            if (other != zone)
            {
                entry.m_one_way_delay[zone_name(other)] =
                    from_ms(plan.m_zone_delay_ms);
            }
        }
        configuration.m_zones.push_back(entry);
    }
    return configuration;
}

} // namespace hawthornspur::bench
