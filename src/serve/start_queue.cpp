#include "serve/start_queue.hpp"

#include "serve/configuration_proofs.hpp"
#include "serve/host.hpp"
#include "serve/membership_driver.hpp"
#include "serve/pipeline.hpp"
#include "serve/store_sync.hpp"

#include <algorithm>
#include <utility>

namespace hawthornspur::serve
{

namespace
{

/// A host that starts with the others knows the owners of its zone after this
/// time. A caller with a second of time left can still use another host.
constexpr auto max_hold_time = std::chrono::milliseconds(500);

/// A reply of another host takes a few milliseconds. This outlasts two silent
/// hosts and a third that answers.
constexpr auto max_proof_hold_time = std::chrono::milliseconds(150);

/// Bounds the memory for requests that wait, which include their bodies.
constexpr std::size_t max_held_calls = 200;

core::time_point hold_end(active_call const& call, hold_reason reason)
{
    return reason == hold_reason::proof && call.m_proof_awaited_since
               ? *call.m_proof_awaited_since + max_proof_hold_time
               : call.m_arrival_time + max_hold_time;
}

} // namespace

bool hold_call(entry_host& host, active_call const& call, hold_reason reason)
{
    auto const expires_at = hold_end(call, reason);
    auto& calls = host.m_start_queue.m_calls;
    // Without a store that holds the targets, a host that cannot route does not
    // know when it will.
    bool const may_hold = host.m_store_sync != nullptr &&
                          host.m_stop_stage == stop_stage::running &&
                          call.m_origin == call_origin::caller &&
                          calls.size() < max_held_calls && now() < expires_at;
    if (may_hold)
    {
        calls.push_back({call.m_id, expires_at, reason});
    }
    return may_hold;
}

bool holds_call_for_proof(entry_host const& host) noexcept
{
    auto const& calls = host.m_start_queue.m_calls;
    return std::any_of(calls.begin(), calls.end(),
                       [](start_queue::held_call const& held)
                       { return held.m_reason == hold_reason::proof; });
}

void release_held_calls(entry_host& host)
{
    if (host.m_start_queue.m_calls.empty() || !can_route(host))
    {
        return;
    }
    // All filters run again, since the documents and targets under which the
    // call was classified have changed. A call that still cannot be admitted is
    // held again.
    for (auto const& held : std::exchange(host.m_start_queue.m_calls, {}))
    {
        if (auto* call = find_call(host, held.m_id))
        {
            run_filters(host, *call);
        }
    }
}

void expire_held_calls(entry_host& host)
{
    auto& calls = host.m_start_queue.m_calls;
    auto const expired =
        std::stable_partition(calls.begin(), calls.end(),
                              [](start_queue::held_call const& held)
                              { return now() < held.m_expires_at; });
    std::vector<start_queue::held_call> const late(expired, calls.end());
    calls.erase(expired, calls.end());
    for (auto const& held : late)
    {
        auto* call = find_call(host, held.m_id);
        if (call == nullptr)
        {
            continue;
        }
        if (held.m_reason == hold_reason::proof)
        {
            refuse_unconfirmed_call(host, *call);
        }
        else
        {
            fail_call(host, *call, result_code::host_not_ready);
        }
    }
}

} // namespace hawthornspur::serve
