#include "core/pool_admission.hpp"

#include "core/pool_dispatch.hpp"
#include "core/pool_returns.hpp"
#include "core/pool_sharing.hpp"

namespace hawthornspur::core
{

namespace
{

// The expected wait is a mean. Without this margin, many requests admitted
// close to their deadline would be refused only after a useless wait.
constexpr int wait_safety_factor = 3;
// For requests with a target latency in pools that share their slots among
// customers. While requests that can be in time go first, older ones wait for
// longer than expected: at a factor of 1, a third of the requests at twice the
// capacity were refused only after a wait, at 4 a twentieth, and about as
// many were served.
constexpr int shared_wait_safety_factor = 4;

void enqueue(pool& pool, request_entry& request, time_point now)
{
    request.m_queued = true;
    add_waiting(pool, request.m_arrival,
                {request.m_arrival.m_request, request.m_sequence, now,
                 request.m_arrival.m_deadline});
}

/// Frees a place in the queue for a more urgent request by refusing the last
/// request of the least urgent kind. Returns false if no queued request is less
/// urgent.
bool evict_less_urgent(pool& pool, int priority, pool_effects& out)
{
    kind_entry* least_urgent = nullptr;
    for (auto& kind : pool.m_kinds)
    {
        if (!kind.m_queue.empty() && kind.m_config.m_priority > priority &&
            (least_urgent == nullptr ||
             kind.m_config.m_priority > least_urgent->m_config.m_priority))
        {
            least_urgent = &kind;
        }
    }
    if (least_urgent == nullptr)
    {
        return false;
    }
    auto const evicted =
        pool.m_requests.find(least_urgent->m_queue.back().m_request);
    least_urgent->m_queue.pop_back();
    --pool.m_queued_count;
    evicted->second.m_queued = false;
    refuse(pool, evicted, result_code::queue_full, out);
    return true;
}

/// Frees a place in the full queue by refusing the last request of another
/// flow. Returns false if the new request has to be refused.
bool evict_from_other_flow(pool& pool, arrival const& request,
                           pool_effects& out)
{
    auto const id = pick_request_to_evict(pool, request);
    if (!id)
    {
        return false;
    }
    auto const evicted = pool.m_requests.find(*id);
    remove_waiting(pool, evicted->second.m_arrival);
    evicted->second.m_queued = false;
    refuse(pool, evicted, result_code::queue_full, out);
    return true;
}

bool make_room(pool& pool, arrival const& request, pool_effects& out)
{
    return pool.m_is_shared_by_customer
               ? evict_from_other_flow(pool, request, out)
               : evict_less_urgent(
                     pool,
                     pool.m_kinds[request.m_kind.m_value].m_config.m_priority,
                     out);
}

/// Whether a request that has to wait this long would miss its deadline.
/// `margin` multiplies the wait of kinds with a target latency.
bool is_deadline_unreachable(kind_entry const& kind, duration wait,
                             duration remaining, int margin)
{
    if (kind.m_config.m_target_latency > duration::zero())
    {
        // Late requests yield to those that can meet their objective, so no
        // safety margin is needed without customers.
        return margin * wait + median(kind.m_service_time) > remaining;
    }
    return wait > duration::zero() &&
           wait_safety_factor * wait + p95(kind.m_service_time) > remaining;
}

/// The code to refuse the request with, or ok if it is admitted. May evict a
/// less urgent request.
result_code check_admission(pool& pool, arrival const& request, duration wait,
                            time_point now, pool_effects& out)
{
    auto const& kind = pool.m_kinds[request.m_kind.m_value];
    auto const remaining = request.m_deadline - now;
    if (remaining <= duration::zero())
    {
        return result_code::deadline_unreachable;
    }
    if (wait == duration::max())
    {
        return result_code::no_target_available;
    }
    // Spilled requests are not sent to failing targets. These may be in use,
    // since at most half of a pool is ejected even if all targets are dead.
    if (request.m_spilled &&
        (wait > duration::zero() || count_slots(pool, now).m_healthy_free == 0))
    {
        return result_code::spill_refused;
    }
    auto const margin =
        pool.m_is_shared_by_customer ? shared_wait_safety_factor : 1;
    if (is_deadline_unreachable(kind, wait, remaining, margin))
    {
        auto const slots = count_slots(pool, now);
        bool const is_at_cap =
            kind.m_in_flight >= kind_cap(pool, kind, slots.m_slots);
        return slots.m_free > 0 && is_at_cap &&
                       pool.m_queued_count ==
                           count_waiting(pool, request.m_kind)
                   ? result_code::kind_share_full
                   : result_code::deadline_unreachable;
    }
    if (pool.m_queued_count >= pool.m_rules.m_max_queue &&
        !make_room(pool, request, out))
    {
        return result_code::queue_full;
    }
    return result_code::ok;
}

} // namespace

void admit(pool& pool, arrival const& request, std::uint64_t sequence,
           duration wait, time_point now, pool_effects& out)
{
    auto const code = check_admission(pool, request, wait, now, out);
    if (code != result_code::ok)
    {
        count_refusal(pool, request, code);
        out.emplace_back(refuse_effect{request.m_request, code});
        return;
    }
    auto const& config = pool.m_kinds[request.m_kind.m_value].m_config;
    auto& entry = pool.m_requests[request.m_request];
    entry.m_arrival = request;
    entry.m_sequence = sequence;
    entry.m_idempotent = request.m_may_repeat &&
                         config.m_execution == execution_rule::idempotent;
    entry.m_hedge_on_delay = config.m_hedge && entry.m_idempotent;
    entry.m_hedge_on_slow_target =
        entry.m_idempotent && request.m_objective.has_value();
    push(pool.m_timers, {request.m_deadline, request.m_request});
    if (config.m_target_latency > duration::zero())
    {
        // A request still queued at this time can no longer finish before its
        // deadline; refusing it then leaves the caller time for a retry.
        push(pool.m_timers,
             {request.m_deadline -
                  median(pool.m_kinds[request.m_kind.m_value].m_service_time),
              request.m_request});
    }
    enqueue(pool, entry, now);
    dispatch_queued(pool, now, out);
}

} // namespace hawthornspur::core
