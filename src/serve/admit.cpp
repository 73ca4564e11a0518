#include "serve/admit.hpp"

#include "core/routing.hpp"
#include "serve/forwarding.hpp"
#include "serve/host.hpp"
#include "serve/pipeline.hpp"
#include "serve/pools.hpp"
#include "serve/start_queue.hpp"
#include "serve/store_sync.hpp"

#include <optional>
#include <utility>

namespace hawthornspur::serve
{

namespace
{

/// Whether the request was forwarded to this host for its pool. Such a request
/// is not forwarded again, even if this host sees another owner, since two
/// hosts could forward it to each other.
bool must_run_here(active_call const& call)
{
    return call.m_origin == call_origin::forwarded_to_owner ||
           call.m_origin == call_origin::spilled;
}

/// Adds the request to a pool of this host. If the host does not know which
/// targets are leaving, it holds the request until it does, or refuses it so
/// that another host takes it.
void enqueue_locally(entry_host& host, active_call& call)
{
    if (has_current_target_list(host))
    {
        enqueue_call(host, call);
        return;
    }
    host.m_metrics.count_event("targets_not_current");
    if (hold_call(host, call))
    {
        return;
    }
    fail_call(host, call, result_code::host_not_ready);
}

/// The host with the first choice among those that are linked to this one and
/// that the call has not tried.
std::optional<core::next_hop> choose_reachable_owner(entry_host& host,
                                                     active_call const& call,
                                                     core::pool_id const& pool)
{
    auto const is_reachable = [&](std::string const& name)
    {
        return host.m_peer_network != nullptr &&
               host.m_peer_network->is_reachable(name);
    };
    return core::choose_owner(
        host.m_routing, *call.m_classified.m_configuration, pool,
        host.m_settings.m_name, is_reachable, call.m_excluded_hosts);
}

/// Forwards a request that another host forwarded to the owner of a zone in
/// which its service has no target. The other host has no list of targets.
/// Returns false if the request stays here; otherwise it may have ended.
bool forward_to_other_zone(entry_host& host, active_call& call)
{
    if (call.m_origin != call_origin::forwarded_to_owner ||
        !has_current_target_list(host))
    {
        return false;
    }
    auto const& document = *call.m_classified.m_configuration;
    auto const& zone =
        core::pool_zone(host.m_routing, document, *call.m_classified.m_service,
                        call.m_classified.m_zone);
    if (zone.empty() || zone == call.m_classified.m_zone)
    {
        return false;
    }
    auto const owner = choose_reachable_owner(
        host, call, {call.m_classified.m_service->m_name, zone});
    if (!owner || owner->m_owner == host.m_settings.m_name)
    {
        return false;
    }
    static_cast<void>(forward_call(host, call, owner->m_owner,
                                   net::forward_purpose::to_owner, zone));
    return true;
}

} // namespace

void admit_call(entry_host& host, active_call& call)
{
    if (host.m_is_isolated)
    {
        fail_call(host, call, result_code::host_paused);
        return;
    }
    if (decides_on_repeats(call) && call.m_accepted.m_earlier_attempts == 0 &&
        !std::exchange(call.m_is_counted, true))
    {
        core::record_request(
            get_or_create_budgets(host, call.m_classified.m_service->m_name)
                .m_repeat,
            now());
    }
    auto const& document = *call.m_classified.m_configuration;
    if (must_run_here(call))
    {
        call.m_pool = {call.m_classified.m_service->m_name,
                       call.m_classified.m_zone};
        if (!forward_to_other_zone(host, call))
        {
            enqueue_locally(host, call);
        }
        return;
    }
    // Documents of peers do not contain targets. A host that has not read the
    // targets uses the pool in the zone of the caller.
    auto const& zone = has_target_list(host)
                           ? core::pool_zone(host.m_routing, document,
                                             *call.m_classified.m_service,
                                             call.m_classified.m_zone)
                           : call.m_classified.m_zone;
    if (zone.empty())
    {
        fail_call(host, call, result_code::no_target_available);
        return;
    }
    call.m_pool = {call.m_classified.m_service->m_name, zone};
    auto const route = choose_reachable_owner(host, call, call.m_pool);
    if (route && route->m_owner != host.m_settings.m_name)
    {
        forward_call(host, call, route->m_owner,
                     net::forward_purpose::to_owner);
        return;
    }
    // Without a reachable owner this host serves the pool itself, also while it
    // is leaving. Two owners at the same time are harmless.
    enqueue_locally(host, call);
}

} // namespace hawthornspur::serve
