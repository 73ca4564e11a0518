#include "core/pool.hpp"
#include "core_state.hpp"
#include "routers.hpp"

#include <cassert>
#include <chrono>
#include <utility>

namespace hawthornspur::bench
{

namespace
{

constexpr int max_entry_hosts = 19;
constexpr double bucket_seconds = 10;

core::service_budgets& budgets_of(core_state& s, pool_instance const& pool)
{
    auto const key = std::pair(pool.m_owner, pool.m_service);
    auto const found = s.m_budgets.find(key);
    if (found != s.m_budgets.end())
    {
        return found->second;
    }
    auto const rate = s.m_fleet->m_scenario.m_probe_budget / max_entry_hosts;
    return s.m_budgets
        .emplace(key, core::service_budgets{core::make_token_bucket(
                                                rate, rate * bucket_seconds,
                                                s.m_fleet->m_events.m_now),
                                            {}})
        .first->second;
}

void apply_effects(state_ptr const& s, int index);

} // namespace

void call_pool(state_ptr const& s, int index, pool_operation const& operation)
{
    auto& pool = get_pool(*s, index);
    auto& budgets = budgets_of(*s, pool);
    assert(s->m_effects.empty());
    auto const start_time = std::chrono::steady_clock::now();
    operation(*pool.m_pool, budgets, s->m_effects);
    s->m_counts->m_core_time += std::chrono::steady_clock::now() - start_time;
    apply_effects(s, index);
    auto const next = core::next_timer(*pool.m_pool);
    if (!next || *next >= pool.m_timer)
    {
        return;
    }
    pool.m_timer = *next;
    schedule(s->m_fleet->m_events, *next,
             [s, index, at = *next, epoch = pool.m_epoch]
             {
                 auto& p = get_pool(*s, index);
                 if (p.m_epoch != epoch || p.m_timer != at ||
                     !is_alive(*s, p.m_owner))
                 {
                     return;
                 }
                 p.m_timer = time_point::max();
                 call_pool(s, index,
                           [&](core::pool& c, core::service_budgets& b,
                               core::pool_effects& out) {
                               core::on_timer(c, s->m_fleet->m_events.m_now, b,
                                              out);
                           });
             });
}

void call_pool_later(state_ptr const& s, int index, duration delay,
                     pool_operation operation)
{
    schedule(s->m_fleet->m_events, s->m_fleet->m_events.m_now + delay,
             [s, index, epoch = get_pool(*s, index).m_epoch,
              operation = std::move(operation)]
             {
                 auto const& p = get_pool(*s, index);
                 if (p.m_epoch == epoch && is_alive(*s, p.m_owner))
                 {
                     call_pool(s, index, operation);
                 }
             });
}

namespace
{

void deliver(state_ptr const& s, std::uint32_t request, int index,
             bool is_spilled)
{
    auto const& pool = get_pool(*s, index);
    if (!is_alive(*s, pool.m_owner))
    {
        s->m_undelivered.push_back(request);
        return;
    }
    s->m_holding_pool[request] = index;
    auto const& planned = s->m_fleet->m_workload->m_requests[request];
    call_pool(
        s, index,
        [&](core::pool& p, core::service_budgets& b, core::pool_effects& out)
        {
            core::on_arrival(p,
                             {.m_request = {request},
                              .m_kind = {planned.m_kind},
                              .m_deadline = planned.m_deadline,
                              .m_earlier_attempts = 0,
                              .m_spilled = is_spilled},
                             s->m_fleet->m_events.m_now, b, out);
        });
}

} // namespace

void forward(state_ptr const& s, std::uint32_t request, int host)
{
    auto const& f = *s->m_fleet;
    auto const index =
        pool_index(*s, f.m_workload->m_requests[request].m_service,
                   zone_of_host(f.m_plan, host));
    s->m_entry_host[request] = host;
    auto const delay = host_link_delay(*s, host, get_pool(*s, index).m_owner);
    schedule(s->m_fleet->m_events, f.m_events.m_now + delay,
             [s, request, index] { deliver(s, request, index, false); });
}

namespace
{

void reply(core_state& s, std::uint32_t request, int from_host,
           request_status status)
{
    auto& f = *s.m_fleet;
    auto const entry = s.m_entry_host[request];
    if (is_alive(s, entry))
    {
        finish(f, request, status,
               f.m_events.m_now + host_link_delay(s, from_host, entry));
    }
}

void apply(state_ptr const& s, int index, core::refuse_effect const& effect)
{
    auto const request = static_cast<std::uint32_t>(effect.m_request.m_value);
    auto const owner = get_pool(*s, index).m_owner;
    auto const origin = s->m_spilled_from[request];
    bool const not_run = info(effect.m_code).m_execution == execution::not_run;
    // A spilled request that did not run returns to the pool that spilled it.
    if (not_run && origin >= 0 && origin != index)
    {
        ++s->m_counts->m_spills_refused;
        s->m_holding_pool[request] = origin;
        auto const& planned = s->m_fleet->m_workload->m_requests[request];
        call_pool_later(
            s, origin, host_link_delay(*s, owner, get_pool(*s, origin).m_owner),
            [s, request, &planned](core::pool& p, core::service_budgets& b,
                                   core::pool_effects& out)
            {
                core::on_spill_refused(p,
                                       {.m_request = {request},
                                        .m_kind = {planned.m_kind},
                                        .m_deadline = planned.m_deadline},
                                       s->m_fleet->m_events.m_now, b, out);
            });
        return;
    }
    reply(*s, request, owner,
          not_run ? request_status::refused : request_status::failed);
}

void apply(state_ptr const& s, int index, core::relay_effect const& effect)
{
    reply(*s, static_cast<std::uint32_t>(effect.m_request.m_value),
          get_pool(*s, index).m_owner, request_status::answered);
}

std::uint64_t job_id(pool_instance const& pool, core::request_id request,
                     core::attempt_number attempt)
{
    return (request.m_value << 16U) |
           (static_cast<std::uint64_t>(pool.m_epoch) << 8U) | attempt;
}

core::attempt_outcome to_attempt_outcome(job_outcome outcome)
{
    switch (outcome)
    {
    case job_outcome::done:
        return core::attempt_outcome::ok;
    case job_outcome::shed:
        return core::attempt_outcome::shed;
    case job_outcome::connect_failed:
        return core::attempt_outcome::connect_failed;
    case job_outcome::closed:
        return core::attempt_outcome::closed;
    }
    return core::attempt_outcome::closed;
}

core::reported_load load_of(fleet const& f, int target)
{
    auto const& state = f.m_targets[static_cast<std::size_t>(target)];
    return {static_cast<int>(state.m_running.size() + state.m_waiting.size()),
            f.m_plan.m_slots};
}

void end_attempt(state_ptr const& s, int index, core::attempt_end const& end)
{
    auto& f = *s->m_fleet;
    auto const& pool = get_pool(*s, index);
    auto const delay =
        end.m_outcome == core::attempt_outcome::cancelled
            ? duration::zero()
            : link_delay(f, pool.m_zone, zone_of_host(f.m_plan, pool.m_owner));
    call_pool_later(s, index, delay,
                    [s, end](core::pool& p, core::service_budgets& b,
                             core::pool_effects& out)
                    {
                        auto const now = s->m_fleet->m_events.m_now;
                        if (end.m_outcome == core::attempt_outcome::ok)
                        {
                            core::on_answer_started(p, end.m_request,
                                                    end.m_attempt, now, out);
                        }
                        core::on_attempt_ended(p, end, now, b, out);
                    });
}

void apply(state_ptr const& s, int index, core::dispatch_effect const& effect)
{
    auto& f = *s->m_fleet;
    auto const& pool = get_pool(*s, index);
    ++s->m_counts->m_dispatches;
    ++s->m_counts->m_reasons[static_cast<std::size_t>(effect.m_reason)];
    auto const target = static_cast<int>(effect.m_target.m_value);
    auto const id = job_id(pool, effect.m_request, effect.m_attempt);
    auto const work = f.m_workload->m_requests[effect.m_request.m_value].m_work;
    auto const delay =
        link_delay(f, zone_of_host(f.m_plan, pool.m_owner), pool.m_zone);
    schedule(f.m_events, f.m_events.m_now + delay,
             [s, index, effect, target, id, work, epoch = pool.m_epoch]
             {
                 start_job(
                     *s->m_fleet, target,
                     {id, work,
                      [s, index, effect, target, epoch](job_outcome outcome)
                      {
                          if (get_pool(*s, index).m_epoch == epoch)
                          {
                              end_attempt(s, index,
                                          {effect.m_request, effect.m_attempt,
                                           to_attempt_outcome(outcome),
                                           load_of(*s->m_fleet, target),
                                           false});
                          }
                      }});
             });
}

void apply(state_ptr const& s, int index,
           core::cancel_attempt_effect const& effect)
{
    auto& f = *s->m_fleet;
    auto const& pool = get_pool(*s, index);
    auto const id = job_id(pool, effect.m_request, effect.m_attempt);
    auto const target = static_cast<int>(effect.m_target.m_value);
    auto const delay =
        link_delay(f, zone_of_host(f.m_plan, pool.m_owner), pool.m_zone);
    schedule(f.m_events, f.m_events.m_now + delay,
             [s, target, id] { cancel_job(*s->m_fleet, target, id); });
    end_attempt(s, index,
                {effect.m_request, effect.m_attempt,
                 core::attempt_outcome::cancelled, std::nullopt, false});
}

void apply(state_ptr const& s, int index, core::spill_effect const& effect)
{
    auto const request = static_cast<std::uint32_t>(effect.m_request.m_value);
    auto const zone =
        std::stoi(effect.m_zone.substr(std::string("zone-").size()));
    auto const& pool = get_pool(*s, index);
    auto const to = pool_index(*s, pool.m_service, zone);
    ++s->m_counts->m_spills;
    s->m_spilled_from[request] = index;
    schedule(s->m_fleet->m_events,
             s->m_fleet->m_events.m_now +
                 host_link_delay(*s, pool.m_owner, get_pool(*s, to).m_owner),
             [s, request, to] { deliver(s, request, to, true); });
}

void apply(state_ptr const& s, int index, core::probe_effect const& effect)
{
    auto& f = *s->m_fleet;
    auto const target = static_cast<int>(effect.m_target.m_value);
    auto const cost =
        from_ms(f.m_plan.m_probe_cost_ms + f.m_plan.m_connection_cost_ms);
    ++s->m_counts->m_probes;
    f.m_targets[static_cast<std::size_t>(target)].m_probe_time += cost;
    auto const on_end = [s, index, effect, target](job_outcome outcome)
    {
        auto& current_fleet = *s->m_fleet;
        auto const& p = get_pool(*s, index);
        core::probe_answer const answer{effect.m_target,
                                        outcome == job_outcome::done, false,
                                        load_of(current_fleet, target)};
        call_pool_later(
            s, index,
            link_delay(current_fleet, p.m_zone,
                       zone_of_host(current_fleet.m_plan, p.m_owner)),
            [s, answer](core::pool& c, core::service_budgets& b,
                        core::pool_effects& out) {
                core::on_probe_answer(c, answer, s->m_fleet->m_events.m_now, b,
                                      out);
            });
    };
    start_job(f, target, {~std::uint64_t{0}, cost, on_end});
}

void apply_effects(state_ptr const& s, int index)
{
    auto const effects = std::exchange(s->m_effects, {});
    for (auto const& effect : effects)
    {
        std::visit([&](auto const& e) { apply(s, index, e); }, effect);
    }
}

} // namespace

router make_core_router(fleet& f, core::queue_order order,
                        std::shared_ptr<core_counts> counts)
{
    auto s = std::make_shared<core_state>();
    s->m_fleet = &f;
    s->m_order = order;
    s->m_counts = std::move(counts);
    s->m_document = make_document(f.m_plan);
    s->m_entry_host.assign(f.m_results.size(), -1);
    s->m_holding_pool.assign(f.m_results.size(), -1);
    s->m_spilled_from.assign(f.m_results.size(), -1);
    for (int service = 0;
         service < static_cast<int>(f.m_plan.m_services.size()); ++service)
    {
        for (int zone = 0; zone < f.m_plan.m_zones; ++zone)
        {
            s->m_pools.emplace_back();
            s->m_pools.back().m_service = service;
            s->m_pools.back().m_zone = zone;
        }
    }
    for (std::size_t i = 0; i < s->m_pools.size(); ++i)
    {
        create_pool_at_owner(s, static_cast<int>(i), core::pool_start::fresh);
    }
    schedule(f.m_events, time_point{}, [s] { exchange_summaries(s); });
    router r;
    r.m_arrive = [s](std::uint32_t request, int host)
    {
        forward(s, request, host);
    };
    r.m_host_killed = [s](int host)
    {
        on_host_killed(s, host);
    };
    r.m_select_host_to_kill = [s]
    {
        return get_pool(*s, pool_index(*s, 0, fault_zone)).m_owner;
    };
    return r;
}

} // namespace hawthornspur::bench
