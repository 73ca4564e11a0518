#include "serve/leaving_targets.hpp"

#include "serve/host.hpp"
#include "serve/pools.hpp"

#include <set>
#include <string>
#include <utility>

namespace hawthornspur::serve
{

namespace
{

/// Time without an announcement after which a target that is listed as live is
/// used again.
constexpr auto leaving_mark_lifetime = std::chrono::seconds(30);

void send_to_peers(entry_host& host, net::target_leaving const& message)
{
    for (auto const& record : core::hosts(*host.m_membership))
    {
        static_cast<void>(host.m_peer_network->send(record.m_name, message));
    }
}

} // namespace

void announce_leaving_target(entry_host& host, core::target_id target)
{
    auto const found = host.m_targets.find(target);
    if (found == host.m_targets.end())
    {
        return;
    }
    auto const& [service, name, endpoint, connections] = found->second;
    if (mark_target_leaving(host, service, name))
    {
        send_to_peers(host, {service, name});
    }
}

void on_target_leaving(entry_host& host, net::target_leaving const& message)
{
    mark_target_leaving(host, message.m_service, message.m_target);
}

void on_listed_targets(entry_host& host,
                       std::vector<platform::listed_host> const& listed)
{
    if (host.m_configuration.m_in_force == nullptr)
    {
        return;
    }
    std::set<std::string> leaving;
    std::set<std::string> live;
    for (auto const& entry : listed)
    {
        if (entry.m_role == platform::listed_role::target)
        {
            (entry.m_leaving ? leaving : live).insert(entry.m_name);
        }
    }
    for (auto const& service : host.m_configuration.m_in_force->m_services)
    {
        for (auto const& target : service.m_targets)
        {
            if (leaving.contains(target.m_name))
            {
                mark_target_leaving(host, service.m_name, target.m_name);
            }
        }
    }
    auto const cleared =
        std::erase_if(host.m_leaving_targets,
                      [&](auto const& mark)
                      {
                          return live.contains(mark.first.second) &&
                                 now() - mark.second > leaving_mark_lifetime;
                      });
    if (cleared > 0)
    {
        update_pools(host);
    }
}

} // namespace hawthornspur::serve
