#include "core/pool_admission.hpp"

#include "core/pool_dispatch.hpp"

namespace hawthornspur::core
{

namespace
{

// The expected wait is a mean. Requests that are admitted close to their
// deadline would often be refused late, after waiting for nothing.
constexpr int wait_safety = 3;

void enqueue(pool& p, request_entry& request, time_point now)
{
    auto& kind = p.m_kinds[request.m_arrival.m_kind.m_value];
    request.m_queued = true;
    push(kind.m_queue,
         {request.m_arrival.m_request, request.m_sequence, now,
          request.m_arrival.m_deadline},
         p.m_rules.m_order);
    ++p.m_queued;
}

/// Makes room for a more urgent request by refusing the newest one of the
/// least urgent kind. Returns false if nothing less urgent waits.
bool evict_less_urgent(pool& p, int priority, pool_effects& out)
{
    kind_entry* least = nullptr;
    for (auto& kind : p.m_kinds)
    {
        if (!kind.m_queue.empty() && kind.m_config.m_priority > priority &&
            (least == nullptr ||
             kind.m_config.m_priority > least->m_config.m_priority))
        {
            least = &kind;
        }
    }
    if (least == nullptr)
    {
        return false;
    }
    auto const victim = p.m_requests.find(least->m_queue.back().m_request);
    least->m_queue.pop_back();
    --p.m_queued;
    victim->second.m_queued = false;
    refuse(p, victim, result_code::queue_full, out);
    return true;
}

/// Whether a request that has to wait would miss its deadline.
bool is_unreachable(kind_entry const& kind, duration wait, duration remaining)
{
    if (kind.m_config.m_target_latency > duration::zero())
    {
        // Late requests step aside for those in time, so the mean is enough.
        return wait + median(kind.m_times) > remaining;
    }
    return wait > duration::zero() &&
           wait_safety * wait + p95(kind.m_times) > remaining;
}

/// The refusal that applies before the request is queued, or ok.
result_code check_admission(pool& p, arrival const& request, duration wait,
                            time_point now, pool_effects& out)
{
    auto const& kind = p.m_kinds[request.m_kind.m_value];
    auto const remaining = request.m_deadline - now;
    if (remaining <= duration::zero())
    {
        return result_code::deadline_unreachable;
    }
    if (wait == duration::max())
    {
        return result_code::no_target_available;
    }
    // Another zone's requests do not go to targets that fail: half of a pool
    // stays in use even when all of it is dead.
    if (request.m_spilled &&
        (wait > duration::zero() || count_slots(p, now).m_healthy_free == 0))
    {
        return result_code::spill_refused;
    }
    if (is_unreachable(kind, wait, remaining))
    {
        auto const slots = count_slots(p, now);
        bool const is_at_cap =
            kind.m_in_flight >= kind_cap(p, kind, slots.m_slots);
        return slots.m_free > 0 && is_at_cap &&
                       p.m_queued == kind.m_queue.size()
                   ? result_code::kind_share_full
                   : result_code::deadline_unreachable;
    }
    if (p.m_queued >= p.m_rules.m_max_queue &&
        !evict_less_urgent(p, kind.m_config.m_priority, out))
    {
        return result_code::queue_full;
    }
    return result_code::ok;
}

} // namespace

void admit(pool& p, arrival const& request, std::uint64_t sequence,
           duration wait, time_point now, pool_effects& out)
{
    auto const code = check_admission(p, request, wait, now, out);
    if (code != result_code::ok)
    {
        out.emplace_back(refuse_effect{request.m_request, code});
        return;
    }
    auto const& config = p.m_kinds[request.m_kind.m_value].m_config;
    auto& entry = p.m_requests[request.m_request];
    entry.m_arrival = request;
    entry.m_sequence = sequence;
    entry.m_idempotent = request.m_may_repeat &&
                         config.m_execution == execution_rule::idempotent;
    entry.m_hedge = config.m_hedge && entry.m_idempotent;
    entry.m_hedges_slow = entry.m_idempotent && request.m_objective.has_value();
    push(p.m_timers, {request.m_deadline, request.m_request});
    if (config.m_target_latency > duration::zero())
    {
        // From then on a slot would come too late, and the refusal leaves the
        // caller time to come back.
        push(p.m_timers, {request.m_deadline -
                              median(p.m_kinds[request.m_kind.m_value].m_times),
                          request.m_request});
    }
    enqueue(p, entry, now);
    bind(p, now, out);
}

} // namespace hawthornspur::core
