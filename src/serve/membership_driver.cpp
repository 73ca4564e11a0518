#include "serve/membership_driver.hpp"

#include "base/activity.hpp"
#include "base/logging.hpp"
#include "core/link_choice.hpp"
#include "core/once_table.hpp"
#include "serve/configuration_driver.hpp"
#include "serve/host.hpp"
#include "serve/pools.hpp"
#include "serve/quotas.hpp"
#include "serve/readiness.hpp"
#include "serve/start_queue.hpp"
#include "serve/store_role_inputs.hpp"
#include "serve/store_sync.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace hawthornspur::serve
{

namespace
{

void update_peer_links(entry_host& host)
{
    auto const others = core::hosts(*host.m_membership);
    auto const linked_hosts = core::choose_links(
        core::self(*host.m_membership), others, max_owners_per_zone(host));
    std::vector<net::peer_address> peers;
    for (auto const& record : others)
    {
        if (linked_hosts.contains(record.m_name))
        {
            peers.push_back(
                {record.m_name, record.m_address, record.m_peer_port});
        }
    }
    host.m_peer_network->set_peers(std::move(peers));
}

void set_isolated(entry_host& host, bool is_isolated)
{
    host.m_is_isolated = is_isolated;
    // Also at the end, since a second pause within the isolation is not
    // reported.
    reset_quotas_after_pause(host);
    host.m_metrics.count_event(is_isolated ? "isolated" : "isolation_ended");
    logging::write(logging::level::warn, "serve.membership",
                   is_isolated ? "isolated after a pause" : "isolation ended");
}

/// How soon the routing table must follow the effects.
enum class routing_change
{
    none,
    /// Concerns a host to which this one forwards nothing.
    remote,
    linked,
};

struct effect_visitor
{
    entry_host& m_host;
    routing_change& m_change;

    void operator()(core::send_effect const& effect) const
    {
        m_host.m_peer_network->send_datagram(effect.m_address, effect.m_port,
                                             effect.m_message);
    }

    void operator()(core::host_changed_effect const& effect) const
    {
        auto const* known =
            core::find_host(m_host.m_routing, effect.m_record.m_name);
        if (known != nullptr && core::has_same_route(*known, effect.m_record))
        {
            // After a change of the configuration, the generation of each host
            // changes.
            return;
        }
        m_change = std::max(
            m_change, m_host.m_peer_network->is_linked(effect.m_record.m_name)
                          ? routing_change::linked
                          : routing_change::remote);
        logging::write(
            logging::level::info, "serve.membership", "host changed",
            {{"host", effect.m_record.m_name},
             {"state", std::string(to_string(effect.m_record.m_state))}});
    }

    void operator()(core::isolation_effect const& effect) const
    {
        set_isolated(m_host, effect.m_isolated);
    }

    void operator()(core::newer_generation_effect const& effect) const
    {
        on_newer_generation(m_host, effect.m_host, effect.m_generation);
    }
};

void restart_timer(entry_host& host)
{
    auto const next = core::next_timer(*host.m_membership);
    if (next)
    {
        host.m_membership_timer->start(*next - now());
    }
}

/// Performs the effects that membership returned.
void apply_membership_effects(entry_host& host,
                              core::membership_effects const& effects)
{
    auto change = routing_change::none;
    for (auto const& effect : effects)
    {
        std::visit(effect_visitor{host, change}, effect);
    }
    if (change == routing_change::linked)
    {
        update_routing(host);
    }
    else if (change == routing_change::remote)
    {
        schedule_routing_update(host);
    }
    restart_timer(host);
}

void on_routing_timer(entry_host& host)
{
    diagnostics::activity_scope const scope("routing.timer");
    detect_pause(host);
    if (host.m_readiness.m_has_started)
    {
        update_routing(host);
    }
    else
    {
        announce_self(host);
    }
}

void on_membership_timer(entry_host& host)
{
    diagnostics::activity_scope const scope("membership.timer");
    detect_pause(host);
    core::membership_effects effects;
    core::on_timer(*host.m_membership, now(), effects);
    apply_membership_effects(host, effects);
}

core::host_record make_self_record(entry_host const& host)
{
    core::host_record self;
    self.m_name = host.m_settings.m_name;
    self.m_zone = host.m_settings.m_zone;
    self.m_address = host.m_settings.m_peers.m_address;
    self.m_caller_port = host.m_caller_server->port();
    self.m_peer_port = host.m_peer_network->port();
    self.m_incarnation = host.m_incarnation;
    self.m_state = core::host_state::joining;
    constexpr double millicores_per_core = 1000;
    self.m_millicores = static_cast<int>(
        std::lround(host.m_settings.m_cores *
                    host.m_settings.m_processor_share * millicores_per_core));
    return self;
}

} // namespace

int max_owners_per_zone(entry_host const& host)
{
    auto const& document = host.m_configuration.m_in_force;
    return document == nullptr ? host.m_settings.m_max_owners_per_zone
                               : document->m_max_owners_per_zone;
}

std::string_view to_string(core::host_state state) noexcept
{
    switch (state)
    {
    case core::host_state::joining:
        return "joining";
    case core::host_state::live:
        return "live";
    case core::host_state::suspected:
        return "suspected";
    case core::host_state::leaving:
        return "leaving";
    case core::host_state::dead:
        break;
    }
    return "dead";
}

status start_membership(entry_host& host)
{
    auto timer = net::timer::create(*host.m_loop,
                                    [&host] { on_membership_timer(host); });
    if (!has_value(timer))
    {
        return failure(timer);
    }
    host.m_membership_timer = take(std::move(timer));
    auto routing_timer =
        net::timer::create(*host.m_loop, [&host] { on_routing_timer(host); });
    if (!has_value(routing_timer))
    {
        return failure(routing_timer);
    }
    host.m_routing_timer = take(std::move(routing_timer));
    host.m_membership = core::make_membership({}, make_self_record(host),
                                              host.m_random(), now());
    contact_seeds(host);
    return success();
}

void schedule_routing_update(entry_host& host)
{
    constexpr auto max_routing_delay = std::chrono::milliseconds(20);
    if (!std::exchange(host.m_is_routing_update_pending, true))
    {
        host.m_routing_timer->start(max_routing_delay);
    }
}

void contact_seeds(entry_host& host)
{
    std::vector<core::seed_address> seeds;
    for (auto const& seed : host.m_settings.m_seeds)
    {
        seeds.push_back({seed.m_address, host.m_peer_network->port()});
    }
    core::membership_effects effects;
    core::set_seeds(*host.m_membership, std::move(seeds), now(), effects);
    apply_membership_effects(host, effects);
}

void detect_pause(entry_host& host)
{
    if (host.m_membership == nullptr)
    {
        return;
    }
    core::membership_effects effects;
    core::on_loop_iteration(*host.m_membership, now(), effects);
    if (!effects.empty())
    {
        apply_membership_effects(host, effects);
    }
}

void on_datagram(entry_host& host, core::membership_message const& message)
{
    diagnostics::activity_scope const scope("peer.datagram");
    detect_pause(host);
    core::membership_effects effects;
    core::on_message(*host.m_membership, message, now(), effects);
    apply_membership_effects(host, effects);
}

void on_peer_link_lost(entry_host& host, std::string const& peer)
{
    core::membership_effects effects;
    core::on_link_lost(*host.m_membership, peer, now(), effects);
    apply_membership_effects(host, effects);
}

void on_listed_entry_hosts(entry_host& host,
                           std::vector<platform::listed_host> const& listed)
{
    std::vector<core::listed_host> seeds;
    for (auto const& entry : listed)
    {
        if (entry.m_role == platform::listed_role::entry &&
            entry.m_name != host.m_settings.m_name)
        {
            seeds.push_back({entry.m_name, entry.m_zone, entry.m_address,
                             entry.m_port, entry.m_peer_port, entry.m_leaving});
        }
    }
    core::membership_effects effects;
    core::on_host_list(*host.m_membership, seeds, now(), effects);
    apply_membership_effects(host, effects);
}

bool can_route(entry_host const& host) noexcept
{
    return host.m_readiness.m_has_started ||
           (host.m_store_sync != nullptr &&
            core::is_current(host.m_configuration));
}

void announce_self(entry_host& host)
{
    judge_readiness(host);
    auto state = core::host_state::joining;
    if (host.m_stop_stage != stop_stage::running)
    {
        state = core::host_state::leaving;
    }
    else if (is_ready(host))
    {
        state = core::host_state::live;
    }
    core::membership_effects effects;
    core::set_self(*host.m_membership, state,
                   host.m_configuration.m_in_force == nullptr
                       ? 0
                       : host.m_configuration.m_in_force->m_generation,
                   host.m_once_table == nullptr
                       ? 0
                       : core::current_epoch(*host.m_once_table, now()),
                   now(), effects);
    apply_membership_effects(host, effects);
    update_routing(host);
}

void announce_to_linked_hosts(entry_host& host)
{
    auto const linked = host.m_peer_network->linked_hosts();
    core::membership_effects effects;
    core::announce_to(*host.m_membership, linked, now(), effects);
    apply_membership_effects(host, effects);
}

void update_routing(entry_host& host)
{
    diagnostics::activity_scope const scope("routing.update");
    host.m_is_routing_update_pending = false;
    update_peer_links(host);
    auto records = core::hosts(*host.m_membership);
    core::observe_start(host.m_fleet_start, records, now());
    records.push_back(core::self(*host.m_membership));
    core::reset(host.m_routing, std::move(records));
    update_pools(host);
    update_quotas(host);
    update_store_role(host);
    release_held_calls(host);
}

} // namespace hawthornspur::serve
