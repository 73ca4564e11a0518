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

core::pool_rules make_pool_rules(core_state const& s, int service)
{
    auto const& plan = s.m_fleet->m_plan;
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
    rules.m_order = s.m_order;
    return rules;
}

int find_owner(core_state const& s, int service, int zone)
{
    auto const& f = *s.m_fleet;
    std::vector<core::owner_candidate> hosts;
    for (int host = 0; host < f.m_plan.m_hosts; ++host)
    {
        if (f.m_host_alive[static_cast<std::size_t>(host)])
        {
            hosts.push_back({"host-" + std::to_string(host),
                             zone_name(zone_of_host(f.m_plan, host))});
        }
    }
    core::pool_id const id{
        f.m_plan.m_services[static_cast<std::size_t>(service)].m_name,
        zone_name(zone)};
    auto const order = core::owner_order(id, hosts, s.m_document);
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

pool_instance& get_pool(core_state& s, int index)
{
    return s.m_pools[static_cast<std::size_t>(index)];
}

int pool_index(core_state const& s, int service, int zone)
{
    return service * s.m_fleet->m_plan.m_zones + zone;
}

bool is_alive(core_state const& s, int host)
{
    return s.m_fleet->m_host_alive[static_cast<std::size_t>(host)];
}

duration host_link_delay(core_state& s, int from_host, int to_host)
{
    if (from_host == to_host)
    {
        return duration::zero();
    }
    auto const& plan = s.m_fleet->m_plan;
    return link_delay(*s.m_fleet, zone_of_host(plan, from_host),
                      zone_of_host(plan, to_host));
}

void create_pool_at_owner(state_ptr const& s, int index, core::pool_start start)
{
    auto& pool = get_pool(*s, index);
    auto const& f = *s->m_fleet;
    pool.m_owner = find_owner(*s, pool.m_service, pool.m_zone);
    pool.m_pool = core::make_pool(make_pool_rules(*s, pool.m_service), start,
                                  f.m_events.m_now);
    pool.m_timer = time_point::max();
    std::vector<core::pool_target> targets;
    for (auto const target : pool_targets(f, pool.m_service, pool.m_zone))
    {
        targets.push_back(
            {{static_cast<std::uint32_t>(target)}, f.m_plan.m_slots, false});
    }
    call_pool(
        s, index,
        [&](core::pool& p, core::service_budgets& b, core::pool_effects& out)
        { core::set_targets(p, targets, f.m_events.m_now, b, out); });
}

namespace
{

void replace_owners(state_ptr const& s)
{
    for (std::size_t i = 0; i < s->m_pools.size(); ++i)
    {
        if (!is_alive(*s, s->m_pools[i].m_owner))
        {
            ++s->m_pools[i].m_epoch;
            create_pool_at_owner(s, static_cast<int>(i),
                                 core::pool_start::after_crash);
        }
    }
    for (auto const request : std::exchange(s->m_undelivered, {}))
    {
        auto const& planned = s->m_fleet->m_workload->m_requests[request];
        bool const can_retry =
            planned.m_kind == 1 ||
            !s->m_fleet->m_plan
                 .m_services[static_cast<std::size_t>(planned.m_service)]
                 .m_at_most_once;
        if (can_retry && is_alive(*s, s->m_entry_host[request]))
        {
            forward(s, request, s->m_entry_host[request]);
            continue;
        }
        ++s->m_counts->m_lost_before_detection;
        finish(*s->m_fleet, request, request_status::failed,
               s->m_fleet->m_events.m_now);
    }
}

} // namespace

void on_host_killed(state_ptr const& s, int host)
{
    auto& f = *s->m_fleet;
    for (std::uint32_t i = 0; i < f.m_results.size(); ++i)
    {
        auto const holder = s->m_holding_pool[i];
        bool const is_lost =
            s->m_entry_host[i] == host ||
            (holder >= 0 && get_pool(*s, holder).m_owner == host);
        if (is_lost && f.m_results[i].m_status == request_status::pending)
        {
            ++s->m_counts->m_lost_in_flight;
            finish(f, i, request_status::failed, f.m_events.m_now);
        }
    }
    schedule(f.m_events, f.m_events.m_now + detection_time,
             [s] { replace_owners(s); });
}

void exchange_summaries(state_ptr const& s)
{
    auto& f = *s->m_fleet;
    for (std::size_t from = 0; from < s->m_pools.size(); ++from)
    {
        auto const& sender = s->m_pools[from];
        if (!is_alive(*s, sender.m_owner))
        {
            continue;
        }
        auto const summary = core::summarize(
            *sender.m_pool, zone_name(sender.m_zone), f.m_events.m_now);
        for (int zone = 0; zone < f.m_plan.m_zones; ++zone)
        {
            auto const to = pool_index(*s, sender.m_service, zone);
            if (zone == sender.m_zone ||
                !is_alive(*s, get_pool(*s, to).m_owner))
            {
                continue;
            }
            auto const other =
                core::summarize(*get_pool(*s, to).m_pool, {}, f.m_events.m_now);
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
                2 * from_ms(f.m_plan.m_zone_delay_ms) + link_overhead;
            call_pool_later(
                s, to,
                host_link_delay(*s, sender.m_owner, get_pool(*s, to).m_owner),
                [s, summary, cost](core::pool& p, core::service_budgets&,
                                   core::pool_effects&) {
                    core::on_summary(p, summary, cost,
                                     s->m_fleet->m_events.m_now);
                });
        }
    }
    if (f.m_events.m_now.time_since_epoch() < f.m_scenario.m_duration)
    {
        schedule(f.m_events, f.m_events.m_now + summary_interval,
                 [s] { exchange_summaries(s); });
    }
}

core::configuration make_document(deployment const& plan)
{
    core::configuration document;
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
        document.m_zones.push_back(entry);
    }
    return document;
}

} // namespace hawthornspur::bench
