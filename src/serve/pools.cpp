#include "serve/pools.hpp"

#include "base/activity.hpp"
#include "base/logging.hpp"
#include "base/text.hpp"
#include "core/ownership.hpp"
#include "core/rate_share.hpp"
#include "core/slot_usage.hpp"
#include "serve/crash_reports.hpp"
#include "serve/dispatch.hpp"
#include "serve/forwarding.hpp"
#include "serve/host.hpp"
#include "serve/membership_driver.hpp"
#include "serve/pipeline.hpp"
#include "serve/pool_arrivals.hpp"
#include "serve/probing.hpp"
#include "serve/quotas.hpp"
#include "serve/rate_limits.hpp"
#include "serve/relay.hpp"

#include <algorithm>
#include <cstdint>
#include <limits>
#include <utility>

namespace hawthornspur::serve
{

namespace
{

core::pool_rules make_pool_rules(core::service_config const& service)
{
    core::pool_rules rules;
    rules.m_kinds = service.m_kinds;
    rules.m_max_queue = service.m_max_queue;
    rules.m_probe_cost = service.m_probe_budget.m_probe_cost;
    rules.m_connection_cost = service.m_probe_budget.m_connection_cost;
    rules.m_cold_rate = service.m_cold_rate;
    return rules;
}

std::vector<core::pool_target> make_pool_targets(entry_host& host,
                                                 core::pool_id const& id)
{
    std::vector<core::pool_target> targets;
    auto const* service =
        core::find_service(*host.m_configuration.m_in_force, id.m_service);
    if (service == nullptr)
    {
        return targets;
    }
    for (auto const& target : service->m_targets)
    {
        if (target.m_zone != id.m_zone)
        {
            continue;
        }
        bool const is_leaving =
            target.m_state == core::target_state::draining ||
            core::is_departing(
                host.m_target_departures,
                {id.m_service, target.m_name, target.m_incarnation});
        // Entries of targets in a store are merged with this already.
        auto const cold_since_return =
            host.m_store_sync == nullptr
                ? core::cold_end_after_return(host.m_evacuation.m_in_force,
                                              target.m_zone, service->m_warm_up)
                : std::nullopt;
        targets.push_back({intern_target(host, id.m_service, target),
                           target.m_slots, is_leaving,
                           cold_since_return.value_or(target.m_cold_until),
                           target.m_is_evacuated});
    }
    return targets;
}

void restart_timer(local_pool& pool)
{
    auto const next = core::next_timer(*pool.m_core_pool);
    if (next)
    {
        pool.m_timer->start(*next - now());
    }
    else
    {
        pool.m_timer->stop();
    }
}

void on_pool_timer(entry_host& host, core::pool_id const& id)
{
    diagnostics::activity_scope const scope("pool.timer");
    detect_pause(host);
    auto* pool = find_pool(host, id);
    if (pool == nullptr)
    {
        return;
    }
    core::pool_effects effects;
    core::on_timer(*pool->m_core_pool, now(),
                   get_or_create_budgets(host, id.m_service), effects);
    apply_effects(host, *pool, std::move(effects));
}

void spill_call(entry_host& host, local_pool& pool,
                core::spill_effect const& spill)
{
    auto* call = find_call(host, spill.m_request);
    if (call == nullptr)
    {
        return;
    }
    call->m_is_queued = false;
    pool.m_spilled[call->m_id] = make_arrival(host, pool, *call);
    auto const& order =
        core::ranked_owners(host.m_routing, *host.m_configuration.m_in_force,
                            {pool.m_id.m_service, spill.m_zone});
    if (order.empty() || order.front() == host.m_settings.m_name ||
        !forward_call(host, *call, order.front(), net::forward_purpose::spill,
                      spill.m_zone))
    {
        requeue_spilled_call(host, *call);
    }
}

/// Logs the end of a request without an answer, and the state of its pool.
void log_request_end(local_pool const& pool, active_call const& call,
                     result_code code)
{
    auto const usage = core::count_slot_usage(*pool.m_core_pool, now());
    bool const is_not_run = info(code).m_execution == execution::not_run;
    logging::write(
        logging::level::info, "serve.pools",
        is_not_run ? "request refused" : "request given up",
        {{"request_id", call.m_accepted.m_request_id},
         {"service", pool.m_id.m_service},
         {"zone", pool.m_id.m_zone},
         {"name", std::string(info(code).m_name)},
         {"queued", std::to_string(core::queue_length(*pool.m_core_pool))},
         {"in_flight", std::to_string(usage.m_in_flight)},
         {"free_slots", std::to_string(usage.m_free)},
         {"slow_slots", std::to_string(usage.m_free_at_slow_target)},
         {"inherited_slots", std::to_string(usage.m_inherited)},
         {"held_slots", std::to_string(usage.m_held)},
         {"slots_above_limit", std::to_string(usage.m_above_limit)},
         {"ejected_slots", std::to_string(usage.m_ejected)},
         {"time_left_ms",
          milliseconds_text(call.m_classified.m_deadline - now())},
         {"waited_ms", milliseconds_text(now() - call.m_arrival_time)}});
}

/// Performs one effect of a pool. Effects that follow from it are appended to
/// m_follow_ups.
struct effect_visitor
{
    entry_host& m_host;
    local_pool& m_local_pool;
    core::pool_effects& m_follow_ups;

    void operator()(core::dispatch_effect const& effect) const
    {
        diagnostics::activity_scope const scope("effect.dispatch",
                                                effect.m_request.m_value);
        if (auto* call = find_call(m_host, effect.m_request))
        {
            call->m_is_queued = false;
            dispatch_attempt(m_host, *call, effect);
        }
    }

    void operator()(core::refuse_effect const& effect) const
    {
        diagnostics::activity_scope const scope("effect.refuse",
                                                effect.m_request.m_value);
        if (auto* call = find_call(m_host, effect.m_request))
        {
            call->m_is_queued = false;
            log_request_end(m_local_pool, *call, effect.m_code);
            if (effect.m_code == result_code::request_suspected)
            {
                call->m_retry_after = core::remaining_hold(
                    m_host.m_crash_suspects, call->m_content, now());
            }
            bool const is_past_deadline =
                effect.m_code == result_code::target_silent &&
                now() >= call->m_classified.m_deadline;
            fail_call(m_host, *call,
                      is_past_deadline
                          ? result_code::deadline_passed_after_dispatch
                          : effect.m_code);
        }
    }

    void operator()(core::relay_effect const& effect) const
    {
        diagnostics::activity_scope const scope("effect.relay",
                                                effect.m_request.m_value);
        if (auto* call = find_call(m_host, effect.m_request))
        {
            start_relay(m_host, *call, effect.m_attempt);
        }
    }

    void operator()(core::cancel_attempt_effect const& effect) const
    {
        diagnostics::activity_scope const scope("effect.cancel",
                                                effect.m_request.m_value);
        if (auto* call = find_call(m_host, effect.m_request))
        {
            cancel_attempt(m_host, *call, effect.m_attempt);
        }
        core::on_attempt_ended(
            *m_local_pool.m_core_pool,
            {effect.m_request,
             effect.m_attempt,
             core::attempt_outcome::cancelled,
             {},
             false},
            now(), get_or_create_budgets(m_host, m_local_pool.m_id.m_service),
            m_follow_ups);
    }

    void operator()(core::spill_effect const& effect) const
    {
        diagnostics::activity_scope const scope("effect.spill",
                                                effect.m_request.m_value);
        spill_call(m_host, m_local_pool, effect);
    }

    void operator()(core::probe_effect const& effect) const
    {
        diagnostics::activity_scope const scope("effect.probe",
                                                effect.m_target.m_value);
        send_probe(m_host, m_local_pool.m_id, effect.m_target);
    }
};

bool is_owner(entry_host& host, core::pool_id const& id)
{
    auto const& order = core::ranked_owners(
        host.m_routing, *host.m_configuration.m_in_force, id);
    return !order.empty() && order.front() == host.m_settings.m_name;
}

/// Whether a new pool starts with reduced limits. It does if its former owner
/// is dead or suspected, since the calls in flight there are unknown.
core::pool_start choose_pool_start(entry_host const& host,
                                   core::pool_id const& id)
{
    auto const is_lost = [](core::host_record const& other)
    {
        return other.m_state == core::host_state::dead ||
               other.m_state == core::host_state::suspected;
    };
    std::vector<core::owner_candidate> candidates;
    for (auto const& other : host.m_routing.m_hosts)
    {
        if (other.m_state == core::host_state::live || is_lost(other))
        {
            candidates.push_back(core::to_candidate(other));
        }
    }
    auto const order =
        core::owner_order(id, candidates, *host.m_configuration.m_in_force);
    if (order.empty() || order.front() == host.m_settings.m_name)
    {
        return core::pool_start::fresh;
    }
    auto const* first = core::find_host(host.m_routing, order.front());
    return first != nullptr && is_lost(*first) ? core::pool_start::after_crash
                                               : core::pool_start::fresh;
}

void hand_over_pool(entry_host& host, local_pool& pool)
{
    auto const& order = core::ranked_owners(
        host.m_routing, *host.m_configuration.m_in_force, pool.m_id);
    if (order.empty())
    {
        return;
    }
    net::handover_message message{pool.m_id.m_service, pool.m_id.m_zone, {}};
    for (auto const& target : core::make_handover(*pool.m_core_pool))
    {
        auto const found = host.m_targets.find(target.m_id);
        if (found != host.m_targets.end())
        {
            message.m_targets.push_back(
                {found->second.m_name, target.m_in_flight, target.m_limit});
        }
    }
    hand_over_rate_limits(host, pool, order.front());
    auto const sent = host.m_peer_network->send(order.front(), message);
    host.m_metrics.count_event(has_value(sent) ? "pool_handed_over"
                                               : "pool_hand_over_failed");
    logging::write(logging::level::info, "serve.pools", "pool handed over",
                   {{"service", pool.m_id.m_service},
                    {"zone", pool.m_id.m_zone},
                    {"owner", order.front()}});
}

} // namespace

core::target_id intern_target(entry_host& host, std::string const& service,
                              core::target_config const& target)
{
    auto const address = target.m_name + "@" + target.m_address + ":" +
                         std::to_string(target.m_port);
    auto const next = core::target_id{
        static_cast<std::uint32_t>(host.m_target_ids.size() + 1)};
    auto const [entry, is_new] =
        host.m_target_ids.try_emplace({service, address}, next);
    auto& record = host.m_targets[entry->second];
    if (is_new)
    {
        record.m_service = service;
        record.m_name = target.m_name;
        record.m_endpoint = {target.m_address, target.m_port};
    }
    record.m_incarnation = target.m_incarnation;
    record.m_max_connections =
        static_cast<std::size_t>(target.m_max_connections);
    return entry->second;
}

namespace
{

/// Largest number of hosts that probe a target at the same time. If the
/// number of owners per zone is limited, these are the owners before and after
/// a change.
int max_probing_hosts(core::configuration const& document)
{
    return document.m_max_owners_per_zone > 0
               ? 2 * document.m_max_owners_per_zone
               : document.m_max_entry_hosts;
}

} // namespace

namespace
{

core::repeat_limits repeat_limits_of(entry_host const& host,
                                     core::service_config const& service)
{
    core::repeat_limits limits;
    limits.m_ratio = service.m_retry_budget.m_ratio;
    limits.m_burst = service.m_retry_budget.m_burst;
    limits.m_window =
        host.m_deployment_bounds.m_retry_window.value_or(limits.m_window);
    return limits;
}

/// Hosts that may take requests from callers at the same time: if the number of
/// owners is limited, those that address answers name before and after a
/// change. Lost hosts may run on the other side of a partition.
int count_hosts(entry_host const& host)
{
    auto const fleet = core::make_fleet_view(host.m_routing.m_hosts);
    auto const known = std::max(1, fleet.m_present + fleet.m_lost);
    auto const& document = *host.m_configuration.m_in_force;
    auto const named = 2 * document.m_max_owners_per_zone *
                       std::max(1, static_cast<int>(document.m_zones.size()));
    return named > 0 ? std::min(known, named) : known;
}

} // namespace

core::service_budgets& get_or_create_budgets(entry_host& host,
                                             std::string const& service)
{
    auto const [entry, is_new] = host.m_service_budgets.try_emplace(service);
    if (is_new)
    {
        auto const& document = *host.m_configuration.m_in_force;
        auto const* config = core::find_service(document, service);
        if (config != nullptr)
        {
            // Each host gets an equal share, as if all hosts that may own the
            // pool probed the same target. The sum then stays within the budget
            // even if the hosts disagree about the owner.
            std::chrono::duration<double> const share =
                config->m_probe_budget.m_cost_per_second /
                max_probing_hosts(document);
            std::chrono::duration<double> const probe_and_connection_cost =
                config->m_probe_budget.m_probe_cost +
                config->m_probe_budget.m_connection_cost;
            entry->second.m_probe = core::make_token_bucket(
                share.count(), probe_and_connection_cost.count(), now());
            entry->second.m_repeat = core::make_repeat_budget(
                repeat_limits_of(host, *config), count_hosts(host), now());
        }
    }
    return entry->second;
}

local_pool* find_pool(entry_host& host, core::pool_id const& id) noexcept
{
    auto const found = host.m_pools.find(id);
    return found == host.m_pools.end() ? nullptr : found->second.get();
}

local_pool* get_or_create_pool(entry_host& host, core::pool_id const& id)
{
    if (auto* found = find_pool(host, id))
    {
        return found;
    }
    auto const* service =
        core::find_service(*host.m_configuration.m_in_force, id.m_service);
    auto timer = net::timer::create(*host.m_loop,
                                    [&host, id] { on_pool_timer(host, id); });
    if (service == nullptr || !has_value(timer))
    {
        return nullptr;
    }
    auto created = std::make_unique<local_pool>();
    created->m_id = id;
    created->m_core_pool = core::make_pool(make_pool_rules(*service),
                                           choose_pool_start(host, id), now());
    created->m_timer = take(std::move(timer));
    created->m_is_owned = is_owner(host, id);
    if (created->m_is_owned)
    {
        created->m_ownership_changed_at = now();
    }
    auto& pool = *created;
    host.m_pools.emplace(id, std::move(created));
    core::pool_effects effects;
    core::set_targets(*pool.m_core_pool, make_pool_targets(host, id), now(),
                      get_or_create_budgets(host, id.m_service), effects);
    apply_effects(host, pool, std::move(effects));
    apply_received_rate_limits(host, pool);
    update_rate_share(host, pool);
    return &pool;
}

void apply_effects(entry_host& host, local_pool& pool,
                   core::pool_effects effects)
{
    for (std::size_t i = 0; i < effects.size(); ++i)
    {
        auto const effect = effects[i];
        std::visit(effect_visitor{host, pool, effects}, effect);
    }
    restart_timer(pool);
}

void enqueue_call(entry_host& host, active_call& call)
{
    auto* pool = get_or_create_pool(host, call.m_pool);
    if (pool == nullptr)
    {
        fail_call(host, call, result_code::unknown_service);
        return;
    }
    // A call that waits for its quota comes here twice, and each judgement of a
    // suspected content counts as a trial.
    if (!admit_to_quota(host, call) || refuse_if_suspect(host, call))
    {
        return;
    }
    call.m_is_queued = true;
    core::pool_effects effects;
    core::on_arrival(*pool->m_core_pool, make_arrival(host, *pool, call), now(),
                     get_or_create_budgets(host, call.m_pool.m_service),
                     effects);
    apply_effects(host, *pool, std::move(effects));
}

core::cancel_result cancel_in_pool(entry_host& host, active_call& call)
{
    auto* pool = find_pool(host, call.m_pool);
    if (pool == nullptr)
    {
        return core::cancel_result::unknown_request;
    }
    core::pool_effects effects;
    auto const outcome = core::on_cancel(
        *pool->m_core_pool, call.m_id, now(),
        get_or_create_budgets(host, call.m_pool.m_service), effects);
    apply_effects(host, *pool, std::move(effects));
    return outcome;
}

void report_attempt_end(entry_host& host, core::pool_id const& pool_id,
                        core::attempt_end const& end)
{
    auto* pool = find_pool(host, pool_id);
    if (pool == nullptr)
    {
        return;
    }
    core::pool_effects effects;
    core::on_attempt_ended(*pool->m_core_pool, end, now(),
                           get_or_create_budgets(host, pool_id.m_service),
                           effects);
    apply_effects(host, *pool, std::move(effects));
}

void report_answer_start(entry_host& host, active_call const& call,
                         core::attempt_number attempt)
{
    auto* pool = find_pool(host, call.m_pool);
    if (pool == nullptr)
    {
        return;
    }
    core::pool_effects effects;
    core::on_answer_started(*pool->m_core_pool, call.m_id, attempt, now(),
                            effects);
    apply_effects(host, *pool, std::move(effects));
}

void requeue_spilled_call(entry_host& host, active_call& call)
{
    auto* pool = find_pool(host, call.m_pool);
    if (pool == nullptr || !pool->m_spilled.contains(call.m_id))
    {
        fail_call(host, call, result_code::spill_refused);
        return;
    }
    auto arrival = pool->m_spilled.at(call.m_id);
    pool->m_spilled.erase(call.m_id);
    // The delay of the other zone says nothing about this one.
    call.m_retry_after = core::duration(0);
    if (refuse_if_suspect(host, call))
    {
        return;
    }
    // The rules may have changed since the request was spilled, and a target
    // of the other zone may have rejected it.
    auto const current = make_arrival(host, *pool, call);
    arrival.m_target_ends = current.m_target_ends;
    arrival.m_kind = current.m_kind;
    arrival.m_prior_attempts = current.m_prior_attempts;
    arrival.m_tried_targets = current.m_tried_targets;
    ++call.m_spill_refusals;
    call.m_is_queued = true;
    core::pool_effects effects;
    core::on_spill_refused(*pool->m_core_pool, arrival, now(),
                           get_or_create_budgets(host, call.m_pool.m_service),
                           effects);
    apply_effects(host, *pool, std::move(effects));
}

void remove_spilled_call(entry_host& host, active_call const& call)
{
    if (auto* pool = find_pool(host, call.m_pool))
    {
        pool->m_spilled.erase(call.m_id);
    }
}

void update_pools(entry_host& host)
{
    diagnostics::activity_scope const scope("pools.update");
    if (host.m_configuration.m_in_force == nullptr)
    {
        return;
    }
    for (auto& [name, budgets] : host.m_service_budgets)
    {
        if (auto const* service =
                core::find_service(*host.m_configuration.m_in_force, name))
        {
            core::set_limits(budgets.m_repeat, repeat_limits_of(host, *service),
                             count_hosts(host), now());
        }
    }
    std::vector<core::pool_id> ids;
    for (auto const& [id, pool] : host.m_pools)
    {
        ids.push_back(id);
    }
    for (auto const& id : ids)
    {
        auto* const found = find_pool(host, id);
        if (found == nullptr)
        {
            continue;
        }
        auto& pool = *found;
        auto const* service =
            core::find_service(*host.m_configuration.m_in_force, id.m_service);
        if (service != nullptr)
        {
            core::set_rules(*pool.m_core_pool, make_pool_rules(*service));
        }
        core::pool_effects effects;
        core::set_targets(*pool.m_core_pool, make_pool_targets(host, id), now(),
                          get_or_create_budgets(host, id.m_service), effects);
        apply_effects(host, pool, std::move(effects));
        bool const is_owned = is_owner(host, id);
        if (pool.m_is_owned != is_owned)
        {
            pool.m_is_owned = is_owned;
            pool.m_ownership_changed_at = now();
            if (!is_owned)
            {
                hand_over_pool(host, pool);
            }
        }
        update_rate_share(host, pool);
        bool const is_idle = core::queue_length(*pool.m_core_pool) == 0 &&
                             core::in_flight(*pool.m_core_pool) == 0 &&
                             pool.m_spilled.empty();
        if (!is_owned && is_idle)
        {
            retire_pool(host, id);
        }
    }
}

} // namespace hawthornspur::serve
