#include "serve/evacuations.hpp"

#include "base/logging.hpp"
#include "core/store_role.hpp"
#include "platform/store_layout.hpp"
#include "serve/configuration_driver.hpp"
#include "serve/host.hpp"
#include "serve/store_sync.hpp"

#include <optional>
#include <set>
#include <utility>

namespace hawthornspur::serve
{

namespace
{

/// The zone that the key evacuates, or nothing.
std::optional<std::string> evacuated_zone(entry_host const& host,
                                          std::string const& key)
{
    auto const& read_zone = host.m_adapter.m_store_layout->m_evacuated_zone;
    return read_zone ? read_zone(key) : std::nullopt;
}

/// Whether the value evacuates a zone. Logs the reason if it does not.
bool is_accepted(entry_host& host, std::string const& key,
                 std::string const& value)
{
    auto const checked =
        host.m_adapter.m_store_layout->m_check_evacuation(value);
    auto& rejected = host.m_evacuation.m_rejected_values;
    if (has_value(checked))
    {
        rejected.erase(key);
        return true;
    }
    if (auto const known = rejected.find(key);
        known == rejected.end() || known->second != value)
    {
        rejected[key] = value;
        host.m_metrics.count_event("evacuation_not_taken");
        logging::write(logging::level::error, "serve.evacuations",
                       "evacuation not taken, the zone keeps its state",
                       {{"key", key}, {"reason", failure(checked).m_message}});
    }
    return false;
}

net::evacuated_zones_message make_message(entry_host const& host)
{
    auto const& known = host.m_evacuation.m_known;
    return {known.m_position.m_epoch,
            known.m_position.m_revision.value_or(0),
            {known.m_zones.begin(), known.m_zones.end()}};
}

/// Informs all linked hosts. The sender of the news is left out.
void share_evacuated_zones(entry_host& host, std::string const& sender = {})
{
    for (auto const& record : core::hosts(*host.m_membership))
    {
        if (record.m_name != sender &&
            host.m_peer_network->is_linked(record.m_name))
        {
            send_evacuated_zones(host, record.m_name);
        }
    }
}

/// Stores a set that was read later than the known one. Returns whether it
/// names other zones.
bool take_zones(entry_host& host, core::evacuated_zones zones)
{
    auto& record = host.m_evacuation;
    bool const is_changed = record.m_known.m_zones != zones.m_zones;
    record.m_known = std::move(zones);
    record.m_is_shared = record.m_is_shared || !record.m_known.m_zones.empty();
    return is_changed;
}

void log_update(entry_host& host, core::evacuation_update const& update)
{
    auto const revision = std::to_string(
        host.m_evacuation.m_known.m_position.m_revision.value_or(0));
    for (auto const& zone : update.m_begun)
    {
        host.m_metrics.count_event("zone_evacuated");
        logging::write(logging::level::warn, "serve.evacuations",
                       "zone evacuated",
                       {{"zone", zone}, {"revision", revision}});
    }
    for (auto const& zone : update.m_ended)
    {
        host.m_metrics.count_event("zone_evacuation_ended");
        logging::write(logging::level::info, "serve.evacuations",
                       "zone evacuation ended",
                       {{"zone", zone}, {"revision", revision}});
    }
}

/// Logs what is new in the part of a decision that has no effect.
void log_ignored(core::evacuation_decision const& former,
                 core::evacuation_decision const& decision)
{
    std::set<std::string> const known(former.m_unknown.begin(),
                                      former.m_unknown.end());
    for (auto const& zone : decision.m_unknown)
    {
        if (!known.contains(zone))
        {
            logging::write(logging::level::error, "serve.evacuations",
                           "zone not evacuated",
                           {{"zone", zone},
                            {"reason", "the configuration has no such zone"}});
        }
    }
    if (decision.m_names_all && !former.m_names_all)
    {
        logging::write(logging::level::error, "serve.evacuations",
                       "no zone evacuated",
                       {{"reason", "all zones of the configuration are named, "
                                   "no target would be left"}});
    }
}

} // namespace

void apply_evacuation_snapshot(entry_host& host,
                               platform::stored_range const& snapshot,
                               bool is_latest)
{
    auto const& known = host.m_evacuation.m_known;
    core::evacuated_zones zones{{snapshot.m_epoch, snapshot.m_store_revision},
                                {}};
    // A store without epochs that was restored has lower revisions.
    bool const may_go_back = is_latest && snapshot.m_epoch == 0;
    if (core::is_newer(known, zones) && !may_go_back)
    {
        return;
    }
    for (auto const& item : snapshot.m_items)
    {
        auto const zone = evacuated_zone(host, item.m_key);
        if (zone && (is_accepted(host, item.m_key, item.m_value) ||
                     known.m_zones.contains(*zone)))
        {
            zones.m_zones.insert(*zone);
        }
    }
    if (take_zones(host, std::move(zones)))
    {
        share_evacuated_zones(host);
        update_evacuations(host);
    }
}

void apply_evacuation_changes(entry_host& host,
                              platform::range_changes const& changes)
{
    auto known = host.m_evacuation.m_known;
    for (auto const& event : changes.m_events)
    {
        auto const zone = evacuated_zone(host, event.m_key);
        if (!event.m_value)
        {
            host.m_evacuation.m_rejected_values.erase(event.m_key);
        }
        if (zone &&
            (!event.m_value || is_accepted(host, event.m_key, *event.m_value)))
        {
            core::apply_change(
                known, {*zone, event.m_value.has_value(), event.m_revision},
                changes.m_epoch);
        }
    }
    if (take_zones(host, std::move(known)))
    {
        share_evacuated_zones(host);
        update_evacuations(host);
    }
}

void update_evacuations(entry_host& host)
{
    auto const& document = host.m_configuration.m_in_force;
    if (document == nullptr)
    {
        return;
    }
    auto& state = host.m_evacuation.m_in_force;
    auto decision =
        core::decide_evacuation(*document, host.m_evacuation.m_known.m_zones);
    log_ignored(state.m_decision, decision);
    auto const update = core::apply_decision(state, std::move(decision), now());
    log_update(host, update);
    bool const is_changed = !update.m_begun.empty() || !update.m_ended.empty();
    if (is_changed && host.m_store_sync != nullptr && has_target_list(host))
    {
        refresh_targets(host);
    }
}

core::evacuation_state evacuation_under(entry_host const& host,
                                        core::configuration const& document)
{
    auto state = host.m_evacuation.m_in_force;
    state.m_decision =
        core::decide_evacuation(document, host.m_evacuation.m_known.m_zones);
    return state;
}

void send_evacuated_zones(entry_host& host, std::string const& peer)
{
    if (host.m_evacuation.m_is_shared &&
        host.m_evacuation.m_known.m_position.m_revision)
    {
        static_cast<void>(host.m_peer_network->send(peer, make_message(host)));
    }
}

void on_evacuated_zones(entry_host& host, std::string const& from,
                        net::evacuated_zones_message const& message)
{
    core::evacuated_zones received{
        {message.m_epoch, message.m_revision},
        {message.m_zones.begin(), message.m_zones.end()}};
    auto const& known = host.m_evacuation.m_known;
    if (!core::is_newer(received, known))
    {
        if (core::is_newer(known, received) &&
            known.m_zones != received.m_zones)
        {
            static_cast<void>(
                host.m_peer_network->send(from, make_message(host)));
        }
        return;
    }
    if (!take_zones(host, std::move(received)))
    {
        return;
    }
    if (host.m_store_sync != nullptr &&
        host.m_store_sync->m_role == core::store_role::watcher)
    {
        share_evacuated_zones(host, from);
    }
    update_evacuations(host);
}

} // namespace hawthornspur::serve
