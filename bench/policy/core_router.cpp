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

void call(state_ptr const& s, int index, pool_step const& step)
{
    auto& pool = pool_at(*s, index);
    auto& budgets = budgets_of(*s, pool);
    assert(s->m_effects.empty());
    auto const before = std::chrono::steady_clock::now();
    step(*pool.m_pool, budgets, s->m_effects);
    s->m_counts->m_core_time += std::chrono::steady_clock::now() - before;
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
                 auto& p = pool_at(*s, index);
                 if (p.m_epoch != epoch || p.m_timer != at ||
                     !is_alive(*s, p.m_owner))
                 {
                     return;
                 }
                 p.m_timer = time_point::max();
                 call(s, index,
                      [&](core::pool& c, core::service_budgets& b,
                          core::pool_effects& out) {
                          core::on_timer(c, s->m_fleet->m_events.m_now, b, out);
                      });
             });
}

void call_later(state_ptr const& s, int index, duration delay, pool_step step)
{
    schedule(
        s->m_fleet->m_events, s->m_fleet->m_events.m_now + delay,
        [s, index, epoch = pool_at(*s, index).m_epoch, step = std::move(step)]
        {
            auto const& p = pool_at(*s, index);
            if (p.m_epoch == epoch && is_alive(*s, p.m_owner))
            {
                call(s, index, step);
            }
        });
}

namespace
{

void deliver(state_ptr const& s, std::uint32_t request, int index,
             bool is_spilled)
{
    auto const& pool = pool_at(*s, index);
    if (!is_alive(*s, pool.m_owner))
    {
        s->m_stranded.push_back(request);
        return;
    }
    s->m_holder[request] = index;
    auto const& planned = s->m_fleet->m_work->m_requests[request];
    call(s, index,
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
    auto const index = pool_index(*s, f.m_work->m_requests[request].m_service,
                                  zone_of_host(f.m_plan, host));
    s->m_entry[request] = host;
    auto const delay = hop(*s, host, pool_at(*s, index).m_owner);
    schedule(s->m_fleet->m_events, f.m_events.m_now + delay,
             [s, request, index] { deliver(s, request, index, false); });
}

namespace
{

void reply(core_state& s, std::uint32_t request, int from_host,
           request_status status)
{
    auto& f = *s.m_fleet;
    auto const entry = s.m_entry[request];
    if (is_alive(s, entry))
    {
        finish(f, request, status, f.m_events.m_now + hop(s, from_host, entry));
    }
}

void apply(state_ptr const& s, int index, core::refuse_effect const& effect)
{
    auto const request = static_cast<std::uint32_t>(effect.m_request.m_value);
    auto const owner = pool_at(*s, index).m_owner;
    auto const origin = s->m_spilled_from[request];
    bool const not_run = info(effect.m_code).m_execution == execution::not_run;
    // The owner that spilled the request answers it if the other did not run
    // it.
    if (not_run && origin >= 0 && origin != index)
    {
        ++s->m_counts->m_spills_refused;
        s->m_holder[request] = origin;
        auto const& planned = s->m_fleet->m_work->m_requests[request];
        call_later(
            s, origin, hop(*s, owner, pool_at(*s, origin).m_owner),
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
          pool_at(*s, index).m_owner, request_status::answered);
}

std::uint64_t job_id(pool_instance const& pool, core::request_id request,
                     core::attempt_number attempt)
{
    return (request.m_value << 16U) |
           (static_cast<std::uint64_t>(pool.m_epoch) << 8U) | attempt;
}

core::attempt_outcome outcome_of(job_end how)
{
    switch (how)
    {
    case job_end::done:
        return core::attempt_outcome::ok;
    case job_end::shed:
        return core::attempt_outcome::shed;
    case job_end::connect_failed:
        return core::attempt_outcome::connect_failed;
    case job_end::closed:
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
    auto const& pool = pool_at(*s, index);
    auto const delay =
        end.m_outcome == core::attempt_outcome::cancelled
            ? duration::zero()
            : link_delay(f, pool.m_zone, zone_of_host(f.m_plan, pool.m_owner));
    call_later(s, index, delay,
               [s, end](core::pool& p, core::service_budgets& b,
                        core::pool_effects& out)
               {
                   auto const now = s->m_fleet->m_events.m_now;
                   if (end.m_outcome == core::attempt_outcome::ok)
                   {
                       core::on_answer_started(p, end.m_request, end.m_attempt,
                                               now, out);
                   }
                   core::on_attempt_ended(p, end, now, b, out);
               });
}

void apply(state_ptr const& s, int index, core::dispatch_effect const& effect)
{
    auto& f = *s->m_fleet;
    auto const& pool = pool_at(*s, index);
    ++s->m_counts->m_dispatches;
    ++s->m_counts->m_reasons[static_cast<std::size_t>(effect.m_reason)];
    auto const target = static_cast<int>(effect.m_target.m_value);
    auto const id = job_id(pool, effect.m_request, effect.m_attempt);
    auto const work = f.m_work->m_requests[effect.m_request.m_value].m_work;
    auto const delay =
        link_delay(f, zone_of_host(f.m_plan, pool.m_owner), pool.m_zone);
    schedule(f.m_events, f.m_events.m_now + delay,
             [s, index, effect, target, id, work, epoch = pool.m_epoch]
             {
                 start_job(*s->m_fleet, target,
                           {id, work,
                            [s, index, effect, target, epoch](job_end how)
                            {
                                if (pool_at(*s, index).m_epoch == epoch)
                                {
                                    end_attempt(
                                        s, index,
                                        {effect.m_request, effect.m_attempt,
                                         outcome_of(how),
                                         load_of(*s->m_fleet, target), false});
                                }
                            }});
             });
}

void apply(state_ptr const& s, int index,
           core::cancel_attempt_effect const& effect)
{
    auto& f = *s->m_fleet;
    auto const& pool = pool_at(*s, index);
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
    auto const& pool = pool_at(*s, index);
    auto const to = pool_index(*s, pool.m_service, zone);
    ++s->m_counts->m_spills;
    s->m_spilled_from[request] = index;
    schedule(s->m_fleet->m_events,
             s->m_fleet->m_events.m_now +
                 hop(*s, pool.m_owner, pool_at(*s, to).m_owner),
             [s, request, to] { deliver(s, request, to, true); });
}

void apply(state_ptr const& s, int index, core::probe_effect const& effect)
{
    auto& f = *s->m_fleet;
    auto const target = static_cast<int>(effect.m_target.m_value);
    auto const cost =
        from_ms(f.m_plan.m_probe_cost_ms + f.m_plan.m_connection_cost_ms);
    ++s->m_counts->m_probes;
    f.m_targets[static_cast<std::size_t>(target)].m_measuring += cost;
    auto const ended = [s, index, effect, target](job_end how)
    {
        auto& fl = *s->m_fleet;
        auto const& p = pool_at(*s, index);
        core::probe_answer const answer{effect.m_target, how == job_end::done,
                                        false, load_of(fl, target)};
        call_later(s, index,
                   link_delay(fl, p.m_zone, zone_of_host(fl.m_plan, p.m_owner)),
                   [s, answer](core::pool& c, core::service_budgets& b,
                               core::pool_effects& out) {
                       core::on_probe_answer(
                           c, answer, s->m_fleet->m_events.m_now, b, out);
                   });
    };
    start_job(f, target, {~std::uint64_t{0}, cost, ended});
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
    s->m_entry.assign(f.m_results.size(), -1);
    s->m_holder.assign(f.m_results.size(), -1);
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
        start_pool(s, static_cast<int>(i), core::pool_start::fresh);
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
    r.m_victim = [s]
    {
        return pool_at(*s, pool_index(*s, 0, fault_zone)).m_owner;
    };
    return r;
}

} // namespace hawthornspur::bench
