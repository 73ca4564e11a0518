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

/// A target that has not announced itself as leaving for this long and is
/// listed as live takes part again.
constexpr auto mark_lifetime = std::chrono::seconds(30);

void tell_peers(entry_host& h, net::target_leaving const& message)
{
    for (auto const& record : core::hosts(*h.m_membership))
    {
        static_cast<void>(h.m_peer_network->send(record.m_name, message));
    }
}

} // namespace

void announce_leaving_target(entry_host& h, core::target_id target)
{
    auto const known = h.m_targets.find(target);
    if (known == h.m_targets.end())
    {
        return;
    }
    auto const& [service, name, endpoint, connections] = known->second;
    if (mark_target_leaving(h, service, name))
    {
        tell_peers(h, {service, name});
    }
}

void on_target_leaving(entry_host& h, net::target_leaving const& message)
{
    mark_target_leaving(h, message.m_service, message.m_target);
}

void on_listed_targets(entry_host& h,
                       std::vector<platform::listed_host> const& listed)
{
    if (h.m_configuration.m_in_force == nullptr)
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
    for (auto const& service : h.m_configuration.m_in_force->m_services)
    {
        for (auto const& target : service.m_targets)
        {
            if (leaving.contains(target.m_name))
            {
                mark_target_leaving(h, service.m_name, target.m_name);
            }
        }
    }
    auto const cleared =
        std::erase_if(h.m_leaving_targets,
                      [&](auto const& mark)
                      {
                          return live.contains(mark.first.second) &&
                                 now() - mark.second > mark_lifetime;
                      });
    if (cleared > 0)
    {
        update_pools(h);
    }
}

} // namespace hawthornspur::serve
