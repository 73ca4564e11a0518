#include "serve/leaving_targets.hpp"

#include "base/logging.hpp"
#include "core/link_choice.hpp"
#include "serve/host.hpp"
#include "serve/membership_driver.hpp"
#include "serve/pools.hpp"

#include <algorithm>
#include <set>
#include <string>
#include <utility>

namespace hawthornspur::serve
{

namespace
{

/// Time without an announcement after which a target that is listed as live is
/// used again, if it does not report its incarnation.
constexpr auto leaving_mark_lifetime = std::chrono::seconds(30);

net::target_leaving to_message(core::target_process const& process)
{
    return {process.m_service, process.m_target, process.m_incarnation};
}

/// Records the word and takes the target out of use. Returns whether it was
/// unknown.
bool mark_target_leaving(entry_host& host, core::target_process const& process,
                         std::string_view source)
{
    if (!core::record_departure(host.m_target_departures, process, now()))
    {
        return false;
    }
    host.m_metrics.count_event("target_leaving");
    logging::write(logging::level::info, "serve.targets", "target is leaving",
                   {{"service", process.m_service},
                    {"target", process.m_target},
                    {"incarnation", std::to_string(process.m_incarnation)},
                    {"source", std::string(source)}});
    update_pools(host);
    return true;
}

} // namespace

void announce_leaving_target(entry_host& host,
                             core::target_process const& process)
{
    if (!mark_target_leaving(host, process, "answer"))
    {
        return;
    }
    for (auto const& record : core::hosts(*host.m_membership))
    {
        static_cast<void>(
            host.m_peer_network->send(record.m_name, to_message(process)));
    }
}

void announce_registered_departure(entry_host& host,
                                   core::target_process const& process)
{
    // Without an incarnation, a later process of the name could not be told
    // from this one. The registration itself keeps the target out of use.
    if (process.m_incarnation == 0 ||
        !mark_target_leaving(host, process, "store"))
    {
        return;
    }
    auto const others = core::hosts(*host.m_membership);
    auto const watchers = core::store_watchers(
        core::self(*host.m_membership), others, max_owners_per_zone(host));
    for (auto const& record : others)
    {
        bool const may_own_pool = record.m_zone != host.m_settings.m_zone ||
                                  std::find(watchers.begin(), watchers.end(),
                                            record.m_name) != watchers.end();
        if (may_own_pool && host.m_peer_network->is_linked(record.m_name))
        {
            static_cast<void>(
                host.m_peer_network->send(record.m_name, to_message(process)));
        }
    }
}

void send_departures(entry_host& host, std::string const& peer)
{
    for (auto const& [name, departure] : host.m_target_departures.m_departures)
    {
        static_cast<void>(host.m_peer_network->send(
            peer, net::target_leaving{name.first, name.second,
                                      departure.m_incarnation}));
    }
}

void on_target_leaving(entry_host& host, net::target_leaving const& message)
{
    mark_target_leaving(
        host, {message.m_service, message.m_target, message.m_incarnation},
        "peer");
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
                mark_target_leaving(
                    host, {service.m_name, target.m_name, target.m_incarnation},
                    "list");
            }
        }
    }
    auto const cleared = std::erase_if(
        host.m_target_departures.m_departures,
        [&](auto const& item)
        {
            return item.second.m_incarnation == 0 &&
                   live.contains(item.first.second) &&
                   now() - item.second.m_heard_at > leaving_mark_lifetime;
        });
    if (cleared > 0)
    {
        update_pools(host);
    }
}

} // namespace hawthornspur::serve
