#include "serve/pools.hpp"

#include "base/logging.hpp"
#include "base/text.hpp"
#include "core/ownership.hpp"
#include "serve/dispatch.hpp"
#include "serve/forwarding.hpp"
#include "serve/host.hpp"
#include "serve/membership_driver.hpp"
#include "serve/pipeline.hpp"
#include "serve/probing.hpp"
#include "serve/relay.hpp"

#include <algorithm>
#include <cstdint>
#include <limits>
#include <utility>

namespace hawthornspur::serve
{

namespace
{

core::pool_rules rules_of(core::service_config const& service)
{
    core::pool_rules rules;
    rules.m_kinds = service.m_kinds;
    rules.m_max_queue = service.m_max_queue;
    rules.m_probe_cost = service.m_probe_budget.m_probe_cost;
    rules.m_connection_cost = service.m_probe_budget.m_connection_cost;
    return rules;
}

std::vector<core::pool_target> targets_of(entry_host& h,
                                          core::pool_id const& id)
{
    std::vector<core::pool_target> targets;
    auto const* service =
        core::find_service(*h.m_configuration.m_in_force, id.m_service);
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
            h.m_leaving_targets.contains({id.m_service, target.m_name});
        targets.push_back({intern_target(h, id.m_service, target),
                           target.m_slots, is_leaving, target.m_cold_until});
    }
    return targets;
}

void restart_timer(hosted_pool& hosted)
{
    auto const next = core::next_timer(*hosted.m_pool);
    if (next)
    {
        hosted.m_timer->start(*next - now());
    }
    else
    {
        hosted.m_timer->stop();
    }
}

void on_pool_timer(entry_host& h, core::pool_id const& id)
{
    begin_pass(h);
    auto* hosted = find_pool(h, id);
    if (hosted == nullptr)
    {
        return;
    }
    core::pool_effects effects;
    core::on_timer(*hosted->m_pool, now(), budgets_of(h, id.m_service),
                   effects);
    apply_effects(h, *hosted, std::move(effects));
}

/// The call as its pool sees it. The place of its kind is looked up by name,
/// since the pool may have newer rules than those that the call was classified
/// under. A kind that the pool does not know is refused there.
core::arrival arrival_of(hosted_pool const& hosted, call const& c)
{
    constexpr core::kind_id unknown{std::numeric_limits<std::uint32_t>::max()};
    core::arrival made;
    made.m_request = c.m_id;
    made.m_kind = core::find_kind(*hosted.m_pool, c.m_classified.m_kind->m_name)
                      .value_or(unknown);
    made.m_may_repeat =
        c.m_classified.m_kind->m_execution == core::execution_rule::idempotent;
    made.m_deadline = c.m_classified.m_deadline;
    made.m_earlier_attempts = c.m_accepted.m_earlier_attempts;
    made.m_spilled = c.m_origin == call_origin::spilled;
    made.m_objective = c.m_classified.m_objective;
    made.m_spill_refusals = c.m_spills_returned;
    return made;
}

void spill_call(entry_host& h, hosted_pool& hosted,
                core::spill_effect const& spill)
{
    auto* c = find_call(h, spill.m_request);
    if (c == nullptr)
    {
        return;
    }
    c->m_is_queued = false;
    hosted.m_spilled[c->m_id] = arrival_of(hosted, *c);
    auto const& order =
        core::ranked_owners(h.m_routing, *c->m_classified.m_configuration,
                            {hosted.m_id.m_service, spill.m_zone});
    if (order.empty() || order.front() == h.m_settings.m_name ||
        !forward_call(h, *c, order.front(), net::forward_purpose::spill,
                      spill.m_zone))
    {
        return_spilled_call(h, *c);
    }
}

/// The inputs with which the pool ended a request without an answer.
void log_end(hosted_pool const& hosted, call const& c, result_code code)
{
    auto const summary =
        core::summarize(*hosted.m_pool, hosted.m_id.m_zone, now());
    bool const has_not_run = info(code).m_execution == execution::not_run;
    logging::write(
        logging::level::info, "serve.pools",
        has_not_run ? "request refused" : "request given up",
        {{"request_id", c.m_accepted.m_request_id},
         {"service", hosted.m_id.m_service},
         {"zone", hosted.m_id.m_zone},
         {"name", std::string(info(code).m_name)},
         {"queued", std::to_string(summary.m_queued)},
         {"in_flight", std::to_string(core::in_flight(*hosted.m_pool))},
         {"slots", std::to_string(summary.m_slots)},
         {"free_slots", std::to_string(summary.m_free_slots)},
         {"time_left_ms", milliseconds_text(c.m_classified.m_deadline - now())},
         {"waited_ms", milliseconds_text(now() - c.m_arrived)}});
}

/// One effect of a pool on the host. Follow-up effects are appended.
struct effect_visitor
{
    entry_host& m_host;
    hosted_pool& m_hosted;
    core::pool_effects& m_more;

    void operator()(core::dispatch_effect const& e) const
    {
        if (auto* c = find_call(m_host, e.m_request))
        {
            c->m_is_queued = false;
            dispatch_attempt(m_host, *c, e);
        }
    }

    void operator()(core::refuse_effect const& e) const
    {
        if (auto* c = find_call(m_host, e.m_request))
        {
            c->m_is_queued = false;
            log_end(m_hosted, *c, e.m_code);
            bool const is_late = e.m_code == result_code::target_silent &&
                                 now() >= c->m_classified.m_deadline;
            fail_call(m_host, *c,
                      is_late ? result_code::deadline_passed_after_dispatch
                              : e.m_code);
        }
    }

    void operator()(core::relay_effect const& e) const
    {
        if (auto* c = find_call(m_host, e.m_request))
        {
            start_relay(m_host, *c, e.m_attempt);
        }
    }

    void operator()(core::cancel_attempt_effect const& e) const
    {
        if (auto* c = find_call(m_host, e.m_request))
        {
            cancel_attempt(m_host, *c, e.m_attempt);
        }
        core::on_attempt_ended(
            *m_hosted.m_pool,
            {e.m_request,
             e.m_attempt,
             core::attempt_outcome::cancelled,
             {},
             false},
            now(), budgets_of(m_host, m_hosted.m_id.m_service), m_more);
    }

    void operator()(core::spill_effect const& e) const
    {
        spill_call(m_host, m_hosted, e);
    }

    void operator()(core::probe_effect const& e) const
    {
        send_probe(m_host, m_hosted.m_id, e.m_target);
    }
};

bool is_owner(entry_host& h, core::pool_id const& id)
{
    auto const& order =
        core::ranked_owners(h.m_routing, *h.m_configuration.m_in_force, id);
    return !order.empty() && order.front() == h.m_settings.m_name;
}

/// A pool that appears because its former owner died starts with reduced
/// limits; the calls in flight there are not known.
core::pool_start start_of(entry_host const& h, core::pool_id const& id)
{
    auto const is_lost = [](core::host_record const& other)
    {
        return other.m_state == core::host_state::dead ||
               other.m_state == core::host_state::suspected;
    };
    std::vector<core::owner_candidate> candidates;
    for (auto const& other : h.m_routing.m_hosts)
    {
        if (other.m_state == core::host_state::live || is_lost(other))
        {
            candidates.push_back(core::to_candidate(other));
        }
    }
    auto const order =
        core::owner_order(id, candidates, *h.m_configuration.m_in_force);
    if (order.empty() || order.front() == h.m_settings.m_name)
    {
        return core::pool_start::fresh;
    }
    auto const* first = core::find_host(h.m_routing, order.front());
    return first != nullptr && is_lost(*first) ? core::pool_start::after_crash
                                               : core::pool_start::fresh;
}

void hand_pool_over(entry_host& h, hosted_pool& hosted)
{
    hosted.m_is_owned = false;
    auto const& order = core::ranked_owners(
        h.m_routing, *h.m_configuration.m_in_force, hosted.m_id);
    if (order.empty())
    {
        return;
    }
    net::handover_message message{
        hosted.m_id.m_service, hosted.m_id.m_zone, {}};
    for (auto const& target : core::make_handover(*hosted.m_pool))
    {
        auto const known = h.m_targets.find(target.m_id);
        if (known != h.m_targets.end())
        {
            message.m_targets.push_back(
                {known->second.m_name, target.m_in_flight, target.m_limit});
        }
    }
    auto const sent = h.m_peer_network->send(order.front(), message);
    h.m_metrics.count_event(has_value(sent) ? "pool_handed_over"
                                            : "pool_hand_over_failed");
    logging::write(logging::level::info, "serve.pools", "pool handed over",
                   {{"service", hosted.m_id.m_service},
                    {"zone", hosted.m_id.m_zone},
                    {"owner", order.front()}});
}

} // namespace

core::target_id intern_target(entry_host& h, std::string const& service,
                              core::target_config const& target)
{
    auto const address = target.m_name + "@" + target.m_address + ":" +
                         std::to_string(target.m_port);
    auto const next =
        core::target_id{static_cast<std::uint32_t>(h.m_target_ids.size() + 1)};
    auto const [entry, is_new] =
        h.m_target_ids.try_emplace({service, address}, next);
    auto& known = h.m_targets[entry->second];
    if (is_new)
    {
        known.m_service = service;
        known.m_name = target.m_name;
        known.m_endpoint = {target.m_address, target.m_port};
    }
    known.m_max_connections =
        static_cast<std::size_t>(target.m_max_connections);
    return entry->second;
}

namespace
{

/// Hosts that may probe a target at the same time. Where few own the pools of a
/// zone, these are the owners before and after a change.
int probing_hosts(core::configuration const& document)
{
    return document.m_max_owners_per_zone > 0
               ? 2 * document.m_max_owners_per_zone
               : document.m_max_entry_hosts;
}

} // namespace

core::service_budgets& budgets_of(entry_host& h, std::string const& service)
{
    auto const [entry, is_new] = h.m_budgets.try_emplace(service);
    if (is_new)
    {
        auto const& document = *h.m_configuration.m_in_force;
        auto const* config = core::find_service(document, service);
        if (config != nullptr)
        {
            // Each host holds its share as if every host that may own the pool
            // probed the same target, so that the sum at one target stays
            // within the budget whatever hosts know of each other.
            std::chrono::duration<double> const share =
                config->m_probe_budget.m_cost_per_second /
                probing_hosts(document);
            std::chrono::duration<double> const largest =
                config->m_probe_budget.m_probe_cost +
                config->m_probe_budget.m_connection_cost;
            entry->second.m_probe =
                core::make_token_bucket(share.count(), largest.count(), now());
            entry->second.m_retry = {config->m_retry_budget.m_ratio,
                                     config->m_retry_budget.m_burst, 0};
        }
    }
    return entry->second;
}

hosted_pool* find_pool(entry_host& h, core::pool_id const& id) noexcept
{
    auto const found = h.m_pools.find(id);
    return found == h.m_pools.end() ? nullptr : found->second.get();
}

hosted_pool* get_or_create_pool(entry_host& h, core::pool_id const& id)
{
    if (auto* known = find_pool(h, id))
    {
        return known;
    }
    auto const* service =
        core::find_service(*h.m_configuration.m_in_force, id.m_service);
    auto timer =
        net::timer::create(*h.m_loop, [&h, id] { on_pool_timer(h, id); });
    if (service == nullptr || !has_value(timer))
    {
        return nullptr;
    }
    auto created = std::make_unique<hosted_pool>();
    created->m_id = id;
    created->m_pool =
        core::make_pool(rules_of(*service), start_of(h, id), now());
    created->m_timer = take(std::move(timer));
    created->m_is_owned = is_owner(h, id);
    auto& hosted = *created;
    h.m_pools.emplace(id, std::move(created));
    core::pool_effects effects;
    core::set_targets(*hosted.m_pool, targets_of(h, id), now(),
                      budgets_of(h, id.m_service), effects);
    apply_effects(h, hosted, std::move(effects));
    return &hosted;
}

void apply_effects(entry_host& h, hosted_pool& hosted,
                   core::pool_effects effects)
{
    for (std::size_t i = 0; i < effects.size(); ++i)
    {
        auto const effect = effects[i];
        std::visit(effect_visitor{h, hosted, effects}, effect);
    }
    restart_timer(hosted);
}

void enqueue_call(entry_host& h, call& c)
{
    auto* hosted = get_or_create_pool(h, c.m_pool);
    if (hosted == nullptr)
    {
        fail_call(h, c, result_code::unknown_service);
        return;
    }
    c.m_is_queued = true;
    core::pool_effects effects;
    core::on_arrival(*hosted->m_pool, arrival_of(*hosted, c), now(),
                     budgets_of(h, c.m_pool.m_service), effects);
    apply_effects(h, *hosted, std::move(effects));
}

core::cancel_result cancel_in_pool(entry_host& h, call& c)
{
    auto* hosted = find_pool(h, c.m_pool);
    if (hosted == nullptr)
    {
        return core::cancel_result::unknown_request;
    }
    core::pool_effects effects;
    auto const met =
        core::on_cancel(*hosted->m_pool, c.m_id, now(),
                        budgets_of(h, c.m_pool.m_service), effects);
    apply_effects(h, *hosted, std::move(effects));
    return met;
}

void finish_attempt(entry_host& h, core::pool_id const& pool,
                    core::attempt_end const& end)
{
    auto* hosted = find_pool(h, pool);
    if (hosted == nullptr)
    {
        return;
    }
    core::pool_effects effects;
    core::on_attempt_ended(*hosted->m_pool, end, now(),
                           budgets_of(h, pool.m_service), effects);
    apply_effects(h, *hosted, std::move(effects));
}

void announce_answer(entry_host& h, call const& c, core::attempt_number attempt)
{
    auto* hosted = find_pool(h, c.m_pool);
    if (hosted == nullptr)
    {
        return;
    }
    core::pool_effects effects;
    core::on_answer_started(*hosted->m_pool, c.m_id, attempt, now(), effects);
    apply_effects(h, *hosted, std::move(effects));
}

void return_spilled_call(entry_host& h, call& c)
{
    auto* hosted = find_pool(h, c.m_pool);
    if (hosted == nullptr || !hosted->m_spilled.contains(c.m_id))
    {
        fail_call(h, c, result_code::spill_refused);
        return;
    }
    auto arrival = hosted->m_spilled.at(c.m_id);
    // The rules may have changed while the request was away.
    arrival.m_kind = arrival_of(*hosted, c).m_kind;
    hosted->m_spilled.erase(c.m_id);
    ++c.m_spills_returned;
    c.m_is_queued = true;
    core::pool_effects effects;
    core::on_spill_refused(*hosted->m_pool, arrival, now(),
                           budgets_of(h, c.m_pool.m_service), effects);
    apply_effects(h, *hosted, std::move(effects));
}

void forget_spilled_call(entry_host& h, call const& c)
{
    if (auto* hosted = find_pool(h, c.m_pool))
    {
        hosted->m_spilled.erase(c.m_id);
    }
}

void update_pools(entry_host& h)
{
    if (h.m_configuration.m_in_force == nullptr)
    {
        return;
    }
    std::vector<core::pool_id> ids;
    for (auto const& [id, hosted] : h.m_pools)
    {
        ids.push_back(id);
    }
    for (auto const& id : ids)
    {
        auto& hosted = *h.m_pools.at(id);
        auto const* service =
            core::find_service(*h.m_configuration.m_in_force, id.m_service);
        if (service != nullptr)
        {
            core::set_rules(*hosted.m_pool, rules_of(*service));
        }
        core::pool_effects effects;
        core::set_targets(*hosted.m_pool, targets_of(h, id), now(),
                          budgets_of(h, id.m_service), effects);
        apply_effects(h, hosted, std::move(effects));
        bool const is_owned = is_owner(h, id);
        if (hosted.m_is_owned && !is_owned)
        {
            hand_pool_over(h, hosted);
        }
        hosted.m_is_owned = is_owned;
        bool const is_idle = core::queue_length(*hosted.m_pool) == 0 &&
                             core::in_flight(*hosted.m_pool) == 0 &&
                             hosted.m_spilled.empty();
        if (!is_owned && is_idle)
        {
            h.m_pools.erase(id);
        }
    }
}

bool mark_target_leaving(entry_host& h, std::string const& service,
                         std::string const& target)
{
    auto const [entry, is_new] =
        h.m_leaving_targets.try_emplace({service, target}, now());
    entry->second = now();
    if (is_new)
    {
        logging::write(logging::level::info, "serve.pools", "target leaving",
                       {{"service", service}, {"target", target}});
        update_pools(h);
    }
    return is_new;
}

} // namespace hawthornspur::serve
