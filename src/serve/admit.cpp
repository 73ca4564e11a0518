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
bool is_bound_to_this_host(call const& c)
{
    return c.m_origin == call_origin::forwarded_to_owner ||
           c.m_origin == call_origin::spilled;
}

/// Gives the request to a target of this host's choice, unless the host does
/// not know which targets are leaving: another host may.
void serve_here(entry_host& h, call& c)
{
    if (has_current_target_list(h))
    {
        enqueue_call(h, c);
        return;
    }
    h.m_metrics.count_event("targets_not_current");
    fail_call(h, c, result_code::host_not_ready);
}

} // namespace

void admit_call(entry_host& h, call& c)
{
    if (h.m_is_isolated)
    {
        fail_call(h, c, result_code::host_paused);
        return;
    }
    auto const& document = *c.m_classified.m_configuration;
    if (is_bound_to_this_host(c))
    {
        c.m_pool = {c.m_accepted.m_service, c.m_accepted.m_zone};
        serve_here(h, c);
        return;
    }
    // Documents of peers come without targets; a host that has not read them
    // leaves it to the owner in the caller's zone.
    auto const& zone =
        has_target_list(h)
            ? core::pool_zone(h.m_routing, document, *c.m_classified.m_service,
                              c.m_accepted.m_zone)
            : c.m_accepted.m_zone;
    if (zone.empty())
    {
        fail_call(h, c, result_code::no_target_available);
        return;
    }
    c.m_pool = {c.m_accepted.m_service, zone};
    auto const is_reachable = [&](std::string const& name)
    {
        return h.m_peer_network != nullptr && h.m_peer_network->is_linked(name);
    };
    auto const route =
        core::choose_owner(h.m_routing, document, c.m_pool, h.m_settings.m_name,
                           is_reachable, c.m_excluded_hosts);
    if (route && route->m_owner != h.m_settings.m_name)
    {
        forward_call(h, c, route->m_owner, net::forward_purpose::to_owner);
        return;
    }
    // Without a reachable owner this host serves the pool itself, also while
    // it is leaving: another owner at the same time is harmless.
    serve_here(h, c);
}

} // namespace hawthornspur::serve
