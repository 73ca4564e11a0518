#include "serve/store_role_inputs.hpp"

#include "core/link_choice.hpp"
#include "serve/host.hpp"
#include "serve/membership_driver.hpp"
#include "serve/store_sync.hpp"

#include <algorithm>
#include <string>

namespace hawthornspur::serve
{

namespace
{

/// If all hosts were lost, the owners start within this time of each other. A
/// host that has found no other one by then serves its zone alone.
constexpr auto max_zone_discovery_time = std::chrono::milliseconds(500);

bool is_linked_to_watcher(entry_host const& host,
                          std::span<core::host_record const> others)
{
    auto const watchers = core::store_watchers(
        core::self(*host.m_membership), others, max_owners_per_zone(host));
    return std::any_of(watchers.begin(), watchers.end(),
                       [&](std::string const& name)
                       {
                           return name == host.m_settings.m_name ||
                                  host.m_peer_network->is_reachable(name);
                       });
}

/// Whether the other hosts of the deployment contact this one when they start.
bool is_seed(config::host_settings const& settings)
{
    return settings.m_seeds.empty() ||
           std::any_of(settings.m_seeds.begin(), settings.m_seeds.end(),
                       [&](config::listen_address const& seed) {
                           return seed.m_address == settings.m_peers.m_address;
                       });
}

} // namespace

core::store_role_inputs
observe_role_inputs(entry_host& host, std::span<core::host_record const> others)
{
    auto& sync = *host.m_store_sync;
    if (!core::has_living_peer(*host.m_membership))
    {
        sync.m_contact_time.reset();
    }
    else if (!sync.m_contact_time)
    {
        sync.m_contact_time = now();
    }
    if (is_linked_to_watcher(host, others))
    {
        sync.m_without_watcher_since.reset();
    }
    else if (!sync.m_without_watcher_since)
    {
        sync.m_without_watcher_since = now();
    }
    core::store_role_inputs inputs;
    inputs.m_since_start = now() - sync.m_start_time;
    if (sync.m_contact_time)
    {
        inputs.m_since_contact = now() - *sync.m_contact_time;
    }
    if (sync.m_without_watcher_since)
    {
        inputs.m_without_watcher = now() - *sync.m_without_watcher_since;
    }
    inputs.m_is_seed = is_seed(host.m_settings);
    return inputs;
}

bool has_discovered_zone(entry_host const& host)
{
    if (host.m_store_sync == nullptr)
    {
        return true;
    }
    auto const others = core::hosts(*host.m_membership);
    bool const has_live_owner =
        std::any_of(others.begin(), others.end(),
                    [&](core::host_record const& other)
                    {
                        return other.m_zone == host.m_settings.m_zone &&
                               other.m_state == core::host_state::live &&
                               host.m_peer_network->is_reachable(other.m_name);
                    });
    auto const order = core::zone_order(core::self(*host.m_membership), others);
    bool const is_first =
        !order.empty() && order.front() == host.m_settings.m_name;
    if (!has_target_list(host))
    {
        // Requests are forwarded to the owner until this host becomes one.
        return has_live_owner && !is_first;
    }
    return has_live_owner || host.m_store_sync->m_is_preferred_owner ||
           (is_first && host.m_store_sync->m_has_settled_contact) ||
           now() - host.m_store_sync->m_targets_read_time >=
               max_zone_discovery_time;
}

} // namespace hawthornspur::serve
