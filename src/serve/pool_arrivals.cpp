#include "serve/pool_arrivals.hpp"

#include "serve/forwarding.hpp"
#include "serve/host.hpp"
#include "serve/pipeline.hpp"
#include "serve/pools.hpp"

#include <cstdint>
#include <limits>
#include <vector>

namespace hawthornspur::serve
{

namespace
{

/// The targets of other hosts' attempts that this host knows.
std::vector<core::target_id> find_tried_targets(entry_host const& host,
                                                active_call const& call)
{
    std::vector<core::target_id> found;
    for (auto const& name : call.m_prior_attempts.m_targets)
    {
        for (auto const& [id, target] : host.m_targets)
        {
            if (target.m_name == name &&
                target.m_service == call.m_classified.m_service->m_name)
            {
                found.push_back(id);
            }
        }
    }
    return found;
}

/// Names the customer of the call with the priority that the configuration in
/// force gives it.
void set_customer(entry_host& host, active_call const& call,
                  core::arrival& arrival)
{
    auto const& table = host.m_configuration.m_in_force->m_customers;
    auto const* customer = call.m_customer.empty() || table == nullptr
                               ? nullptr
                               : core::find_customer(*table, call.m_customer);
    if (customer == nullptr)
    {
        return;
    }
    auto const next = core::customer_id{
        static_cast<std::uint32_t>(host.m_customer_ids.size() + 1)};
    arrival.m_customer =
        host.m_customer_ids.try_emplace(call.m_customer, next).first->second;
    arrival.m_customer_priority = customer->m_priority;
}

} // namespace

core::arrival make_arrival(entry_host& host, local_pool const& pool,
                           active_call const& call)
{
    constexpr core::kind_id unknown_kind{
        std::numeric_limits<std::uint32_t>::max()};
    core::arrival arrival;
    arrival.m_request = call.m_id;
    arrival.m_kind =
        core::find_kind(*pool.m_core_pool, call.m_classified.m_kind->m_name)
            .value_or(unknown_kind);
    arrival.m_may_repeat = call.m_classified.m_kind->m_execution ==
                           core::execution_rule::idempotent;
    arrival.m_deadline = call.m_classified.m_deadline;
    arrival.m_earlier_attempts = call.m_accepted.m_earlier_attempts;
    arrival.m_decides_on_repeats = decides_on_repeats(call);
    arrival.m_prior_attempts = call.m_prior_attempts.m_count;
    arrival.m_tried_targets = find_tried_targets(host, call);
    arrival.m_spilled = call.m_origin == call_origin::spilled;
    arrival.m_objective = call.m_classified.m_objective;
    arrival.m_spill_refusals = call.m_spill_refusals;
    arrival.m_content = call.m_content;
    arrival.m_target_ends = call.m_target_ends;
    set_customer(host, call, arrival);
    return arrival;
}

std::optional<core::duration>
retry_delay_in_pool(entry_host& host, active_call const& call, result_code code)
{
    auto* pool = find_pool(host, call.m_pool);
    if (pool == nullptr || call.m_classified.m_kind == nullptr)
    {
        return std::nullopt;
    }
    auto& core_pool = *pool->m_core_pool;
    auto const kind =
        core::find_kind(core_pool, call.m_classified.m_kind->m_name);
    if (!kind)
    {
        return std::nullopt;
    }
    // The zone that spilled the request decides on it next, not its caller.
    bool const may_return = !call.m_customer.empty() &&
                            code != result_code::spill_refused &&
                            info(code).m_execution == execution::not_run;
    return may_return ? core::retry_after_delay(
                            core_pool, make_arrival(host, *pool, call), now())
                      : core::retry_after_delay(core_pool, *kind, now());
}

} // namespace hawthornspur::serve
