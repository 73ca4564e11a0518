#include "core/pool.hpp"
#include "core/repeat_decision.hpp"
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

core::service_budgets& find_or_create_budgets(core_state& state,
                                              pool_instance const& instance)
{
    auto const key = std::pair(instance.m_owner, instance.m_service);
    auto const found = state.m_budgets.find(key);
    if (found != state.m_budgets.end())
    {
        return found->second;
    }
    auto const rate =
        state.m_fleet->m_scenario.m_probe_budget / max_entry_hosts;
    return state.m_budgets
        .emplace(
            key,
            core::service_budgets{
                core::make_token_bucket(rate, rate * bucket_seconds,
                                        state.m_fleet->m_events.m_now),
                core::make_repeat_budget({}, 1, state.m_fleet->m_events.m_now)})
        .first->second;
}

void apply_effects(state_ptr const& state, int index);

} // namespace

void call_pool(state_ptr const& state, int index,
               pool_operation const& operation)
{
    auto& instance = get_pool(*state, index);
    auto& pool_budgets = find_or_create_budgets(*state, instance);
    assert(state->m_effects.empty());
    auto const start_time = std::chrono::steady_clock::now();
    operation(*instance.m_pool, pool_budgets, state->m_effects);
    state->m_counts->m_core_time +=
        std::chrono::steady_clock::now() - start_time;
    apply_effects(state, index);
    auto const next = core::next_timer(*instance.m_pool);
    if (!next || *next >= instance.m_timer)
    {
        return;
    }
    instance.m_timer = *next;
    schedule(state->m_fleet->m_events, *next,
             [state, index, scheduled_time = *next, epoch = instance.m_epoch]
             {
                 auto& current_instance = get_pool(*state, index);
                 if (current_instance.m_epoch != epoch ||
                     current_instance.m_timer != scheduled_time ||
                     !is_alive(*state, current_instance.m_owner))
                 {
                     return;
                 }
                 current_instance.m_timer = time_point::max();
                 call_pool(state, index,
                           [&](core::pool& pool, core::service_budgets& budgets,
                               core::pool_effects& out) {
                               core::on_timer(pool,
                                              state->m_fleet->m_events.m_now,
                                              budgets, out);
                           });
             });
}

void call_pool_later(state_ptr const& state, int index, duration delay,
                     pool_operation operation)
{
    schedule(state->m_fleet->m_events, state->m_fleet->m_events.m_now + delay,
             [state, index, epoch = get_pool(*state, index).m_epoch,
              operation = std::move(operation)]
             {
                 auto const& current_instance = get_pool(*state, index);
                 if (current_instance.m_epoch == epoch &&
                     is_alive(*state, current_instance.m_owner))
                 {
                     call_pool(state, index, operation);
                 }
             });
}

namespace
{

void deliver(state_ptr const& state, std::uint32_t request, int index,
             bool is_spilled)
{
    auto const& instance = get_pool(*state, index);
    if (!is_alive(*state, instance.m_owner))
    {
        state->m_undelivered.push_back(request);
        return;
    }
    state->m_holding_pool[request] = index;
    auto const& planned = state->m_fleet->m_workload->m_requests[request];
    call_pool(state, index,
              [&](core::pool& pool, core::service_budgets& budgets,
                  core::pool_effects& out)
              {
                  if (!is_spilled)
                  {
                      core::record_request(budgets.m_repeat,
                                           state->m_fleet->m_events.m_now);
                  }
                  core::on_arrival(pool,
                                   {.m_request = {request},
                                    .m_kind = {planned.m_kind},
                                    .m_deadline = planned.m_deadline,
                                    .m_earlier_attempts = 0,
                                    .m_spilled = is_spilled},
                                   state->m_fleet->m_events.m_now, budgets,
                                   out);
              });
}

} // namespace

void forward(state_ptr const& state, std::uint32_t request, int host)
{
    auto const& fleet = *state->m_fleet;
    auto const index =
        pool_index(*state, fleet.m_workload->m_requests[request].m_service,
                   host_zone(fleet.m_plan, host));
    state->m_entry_host[request] = host;
    auto const delay =
        host_link_delay(*state, host, get_pool(*state, index).m_owner);
    schedule(state->m_fleet->m_events, fleet.m_events.m_now + delay,
             [state, request, index]
             { deliver(state, request, index, false); });
}

namespace
{

void reply(core_state& state, std::uint32_t request, int from_host,
           request_status status)
{
    auto& fleet = *state.m_fleet;
    auto const receiving_host = state.m_entry_host[request];
    if (is_alive(state, receiving_host))
    {
        record_result(fleet, request, status,
                      fleet.m_events.m_now +
                          host_link_delay(state, from_host, receiving_host));
    }
}

void apply(state_ptr const& state, int index, core::refuse_effect const& effect)
{
    auto const request = static_cast<std::uint32_t>(effect.m_request.m_value);
    auto const owner = get_pool(*state, index).m_owner;
    auto const origin = state->m_spilled_from[request];
    bool const not_run = info(effect.m_code).m_execution == execution::not_run;
    // A spilled request that did not run returns to the pool that spilled it.
    if (not_run && origin >= 0 && origin != index)
    {
        ++state->m_counts->m_spills_refused;
        state->m_holding_pool[request] = origin;
        auto const& planned = state->m_fleet->m_workload->m_requests[request];
        call_pool_later(
            state, origin,
            host_link_delay(*state, owner, get_pool(*state, origin).m_owner),
            [state, request, &planned,
             outcome = core::outcome_of(effect.m_code)](
                core::pool& pool, core::service_budgets& budgets,
                core::pool_effects& out)
            {
                auto const now = state->m_fleet->m_events.m_now;
                // Without an outcome, the other zone made no attempt.
                if (outcome &&
                    core::decide_repeat({.m_outcome = *outcome,
                                         .m_attempts = 1,
                                         .m_max_attempts = 2,
                                         .m_deadline = planned.m_deadline},
                                        budgets.m_repeat,
                                        now) != core::repeat_decision::allowed)
                {
                    out.emplace_back(core::refuse_effect{
                        {request}, result_code::retry_budget_empty});
                    return;
                }
                core::on_spill_refused(pool,
                                       {.m_request = {request},
                                        .m_kind = {planned.m_kind},
                                        .m_deadline = planned.m_deadline,
                                        .m_prior_attempts = outcome ? 1 : 0},
                                       now, budgets, out);
            });
        return;
    }
    reply(*state, request, owner,
          not_run ? request_status::refused : request_status::failed);
}

void apply(state_ptr const& state, int index, core::relay_effect const& effect)
{
    reply(*state, static_cast<std::uint32_t>(effect.m_request.m_value),
          get_pool(*state, index).m_owner, request_status::answered);
}

std::uint64_t job_id(pool_instance const& instance, core::request_id request,
                     core::attempt_number attempt)
{
    return (request.m_value << 16U) |
           (static_cast<std::uint64_t>(instance.m_epoch) << 8U) | attempt;
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

core::reported_load current_load(simulated_fleet const& fleet, int target)
{
    auto const& target_state =
        fleet.m_targets[static_cast<std::size_t>(target)];
    return {static_cast<int>(target_state.m_running.size() +
                             target_state.m_waiting.size()),
            fleet.m_plan.m_slots};
}

void end_attempt(state_ptr const& state, int index,
                 core::attempt_end const& end)
{
    auto& fleet = *state->m_fleet;
    auto const& instance = get_pool(*state, index);
    auto const delay =
        end.m_outcome == core::attempt_outcome::cancelled
            ? duration::zero()
            : link_delay(fleet, instance.m_zone,
                         host_zone(fleet.m_plan, instance.m_owner));
    call_pool_later(state, index, delay,
                    [state, end](core::pool& pool,
                                 core::service_budgets& budgets,
                                 core::pool_effects& out)
                    {
                        auto const now = state->m_fleet->m_events.m_now;
                        if (end.m_outcome == core::attempt_outcome::ok)
                        {
                            core::on_answer_started(pool, end.m_request,
                                                    end.m_attempt, now, out);
                        }
                        core::on_attempt_ended(pool, end, now, budgets, out);
                    });
}

void apply(state_ptr const& state, int index,
           core::dispatch_effect const& effect)
{
    auto& fleet = *state->m_fleet;
    auto const& instance = get_pool(*state, index);
    ++state->m_counts->m_dispatches;
    ++state->m_counts->m_reasons[static_cast<std::size_t>(effect.m_reason)];
    auto const target = static_cast<int>(effect.m_target.m_value);
    auto const id = job_id(instance, effect.m_request, effect.m_attempt);
    auto const work =
        fleet.m_workload->m_requests[effect.m_request.m_value].m_work;
    auto const delay = link_delay(
        fleet, host_zone(fleet.m_plan, instance.m_owner), instance.m_zone);
    schedule(fleet.m_events, fleet.m_events.m_now + delay,
             [state, index, effect, target, id, work, epoch = instance.m_epoch]
             {
                 start_job(
                     *state->m_fleet, target,
                     {id, work,
                      [state, index, effect, target, epoch](job_outcome outcome)
                      {
                          if (get_pool(*state, index).m_epoch == epoch)
                          {
                              end_attempt(
                                  state, index,
                                  {effect.m_request, effect.m_attempt,
                                   to_attempt_outcome(outcome),
                                   current_load(*state->m_fleet, target),
                                   false});
                          }
                      }});
             });
}

void apply(state_ptr const& state, int index,
           core::cancel_attempt_effect const& effect)
{
    auto& fleet = *state->m_fleet;
    auto const& instance = get_pool(*state, index);
    auto const id = job_id(instance, effect.m_request, effect.m_attempt);
    auto const target = static_cast<int>(effect.m_target.m_value);
    auto const delay = link_delay(
        fleet, host_zone(fleet.m_plan, instance.m_owner), instance.m_zone);
    schedule(fleet.m_events, fleet.m_events.m_now + delay,
             [state, target, id] { cancel_job(*state->m_fleet, target, id); });
    end_attempt(state, index,
                {effect.m_request, effect.m_attempt,
                 core::attempt_outcome::cancelled, std::nullopt, false});
}

void apply(state_ptr const& state, int index, core::spill_effect const& effect)
{
    auto const request = static_cast<std::uint32_t>(effect.m_request.m_value);
    auto const zone =
        std::stoi(effect.m_zone.substr(std::string("zone-").size()));
    auto const& instance = get_pool(*state, index);
    auto const to = pool_index(*state, instance.m_service, zone);
    ++state->m_counts->m_spills;
    state->m_spilled_from[request] = index;
    schedule(state->m_fleet->m_events,
             state->m_fleet->m_events.m_now +
                 host_link_delay(*state, instance.m_owner,
                                 get_pool(*state, to).m_owner),
             [state, request, to] { deliver(state, request, to, true); });
}

void apply(state_ptr const& state, int index, core::probe_effect const& effect)
{
    auto& fleet = *state->m_fleet;
    auto const target = static_cast<int>(effect.m_target.m_value);
    auto const cost = from_ms(fleet.m_plan.m_probe_cost_ms +
                              fleet.m_plan.m_connection_cost_ms);
    ++state->m_counts->m_probes;
    fleet.m_targets[static_cast<std::size_t>(target)].m_probe_time += cost;
    auto const on_end = [state, index, effect, target](job_outcome outcome)
    {
        auto& current_fleet = *state->m_fleet;
        auto const& current_instance = get_pool(*state, index);
        core::probe_answer const answer{effect.m_target,
                                        outcome == job_outcome::done, false,
                                        current_load(current_fleet, target)};
        call_pool_later(
            state, index,
            link_delay(
                current_fleet, current_instance.m_zone,
                host_zone(current_fleet.m_plan, current_instance.m_owner)),
            [state, answer](core::pool& pool, core::service_budgets& budgets,
                            core::pool_effects& out)
            {
                core::on_probe_answer(
                    pool, answer, state->m_fleet->m_events.m_now, budgets, out);
            });
    };
    start_job(fleet, target, {~std::uint64_t{0}, cost, on_end});
}

void apply_effects(state_ptr const& state, int index)
{
    auto const effects = std::exchange(state->m_effects, {});
    for (auto const& effect : effects)
    {
        std::visit([&](auto const& e) { apply(state, index, e); }, effect);
    }
}

} // namespace

router make_core_router(simulated_fleet& fleet, core::queue_order order,
                        std::shared_ptr<core_counts> counts)
{
    auto state = std::make_shared<core_state>();
    state->m_fleet = &fleet;
    state->m_order = order;
    state->m_counts = std::move(counts);
    state->m_configuration = make_configuration(fleet.m_plan);
    state->m_entry_host.assign(fleet.m_results.size(), -1);
    state->m_holding_pool.assign(fleet.m_results.size(), -1);
    state->m_spilled_from.assign(fleet.m_results.size(), -1);
    for (int service = 0;
         service < static_cast<int>(fleet.m_plan.m_services.size()); ++service)
    {
        for (int zone = 0; zone < fleet.m_plan.m_zones; ++zone)
        {
            state->m_pools.emplace_back();
            state->m_pools.back().m_service = service;
            state->m_pools.back().m_zone = zone;
        }
    }
    for (std::size_t i = 0; i < state->m_pools.size(); ++i)
    {
        create_pool_at_owner(state, static_cast<int>(i),
                             core::pool_start::fresh);
    }
    schedule(fleet.m_events, time_point{},
             [state] { exchange_summaries(state); });
    router callbacks;
    callbacks.m_arrive = [state](std::uint32_t request, int host)
    {
        forward(state, request, host);
    };
    callbacks.m_host_killed = [state](int host)
    {
        on_host_killed(state, host);
    };
    callbacks.m_select_host_to_kill = [state]
    {
        return get_pool(*state, pool_index(*state, 0, fault_zone)).m_owner;
    };
    return callbacks;
}

} // namespace hawthornspur::bench
