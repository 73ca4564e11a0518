#include "serve/admit.hpp"

#include "core/routing.hpp"
#include "serve/forwarding.hpp"
#include "serve/host.hpp"
#include "serve/pipeline.hpp"
#include "serve/pools.hpp"
#include "serve/store_sync.hpp"

namespace hawthornspur::serve
{

namespace
{

/// A request that was forwarded for its pool is served here, also when this
/// host sees another owner: a second hop could go round in circles.
bool must_run_here(active_call const& call)
{
    return call.m_origin == call_origin::forwarded_to_owner ||
           call.m_origin == call_origin::spilled;
}

/// Gives the request to a target of this host's choice, unless the host does
/// not know which targets are leaving: another host may.
void enqueue_locally(entry_host& host, active_call& call)
{
    if (has_current_target_list(host))
    {
        enqueue_call(host, call);
        return;
    }
    host.m_metrics.count_event("targets_not_current");
    fail_call(host, call, result_code::host_not_ready);
}

} // namespace

void admit_call(entry_host& host, active_call& call)
{
    if (host.m_is_isolated)
    {
        fail_call(host, call, result_code::host_paused);
        return;
    }
    auto const& document = *call.m_classified.m_configuration;
    if (must_run_here(call))
    {
        call.m_pool = {call.m_accepted.m_service, call.m_accepted.m_zone};
        enqueue_locally(host, call);
        return;
    }
    // Documents of peers come without targets; a host that has not read them
    // leaves it to the owner in the caller's zone.
    auto const& zone = has_target_list(host)
                           ? core::pool_zone(host.m_routing, document,
                                             *call.m_classified.m_service,
                                             call.m_accepted.m_zone)
                           : call.m_accepted.m_zone;
    if (zone.empty())
    {
        fail_call(host, call, result_code::no_target_available);
        return;
    }
    call.m_pool = {call.m_accepted.m_service, zone};
    auto const is_reachable = [&](std::string const& name)
    {
        return host.m_peer_network != nullptr &&
               host.m_peer_network->is_linked(name);
    };
    auto const route = core::choose_owner(host.m_routing, document, call.m_pool,
                                          host.m_settings.m_name, is_reachable,
                                          call.m_excluded_hosts);
    if (route && route->m_owner != host.m_settings.m_name)
    {
        forward_call(host, call, route->m_owner,
                     net::forward_purpose::to_owner);
        return;
    }
    // Without a reachable owner this host serves the pool itself, also while
    // it is leaving: another owner at the same time is harmless.
    enqueue_locally(host, call);
}

} // namespace hawthornspur::serve
