#include "serve/stored_targets.hpp"

#include "base/activity.hpp"
#include "base/logging.hpp"
#include "platform/store_layout.hpp"
#include "serve/configuration_driver.hpp"
#include "serve/host.hpp"
#include "serve/leaving_targets.hpp"
#include "serve/membership_driver.hpp"
#include "serve/store_sync.hpp"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

namespace hawthornspur::serve
{

namespace
{

void log_target_entry(core::registered_target const& target,
                      std::uint64_t revision)
{
    logging::write(
        logging::level::info, "serve.store", "target entry",
        {{"target", target.m_name},
         {"service", target.m_service},
         {"address", target.m_address + ":" + std::to_string(target.m_port)},
         {"state", target.m_state == core::target_state::draining ? "draining"
                                                                  : "active"},
         {"revision", std::to_string(revision)}});
}

void log_target_removal(std::string const& name, std::uint64_t revision)
{
    logging::write(logging::level::info, "serve.store", "target entry removed",
                   {{"target", name}, {"revision", std::to_string(revision)}});
}

std::string target_name(entry_host const& host, std::string const& key)
{
    return key.substr(host.m_adapter.m_store_layout->m_target_prefix.size());
}

bool update_target_entry(entry_host& host, std::string const& key,
                         std::string const& value, std::uint64_t revision)
{
    auto parsed = host.m_adapter.m_store_layout->m_read_target(key, value);
    if (!has_value(parsed))
    {
        host.m_metrics.count_event("target_entry_unreadable");
        logging::write(logging::level::warn, "serve.store",
                       "target entry not taken",
                       {{"reason", failure(parsed).m_message},
                        {"revision", std::to_string(revision)}});
        // The entry no longer describes a target, whatever it held before.
        return core::remove_target(host.m_store_sync->m_target_directory,
                                   target_name(host, key), now());
    }
    auto target = take(std::move(parsed));
    auto const logged = target;
    bool const is_changed = core::put_target(
        host.m_store_sync->m_target_directory, std::move(target), now());
    if (is_changed)
    {
        log_target_entry(logged, revision);
    }
    return is_changed;
}

} // namespace

void apply_registered_targets(entry_host& host)
{
    for (auto const& [name, entry] :
         host.m_store_sync->m_target_directory.m_entries)
    {
        auto const& target = entry.m_target;
        if (target.m_state == core::target_state::draining)
        {
            announce_registered_departure(
                host, {target.m_service, name, target.m_incarnation});
        }
    }
    refresh_targets(host);
    auto const next =
        core::next_lapsed_removal(host.m_store_sync->m_target_directory);
    if (next)
    {
        host.m_store_sync->m_lapse_timer->start(
            std::max(core::duration(0), *next - now()));
    }
}

void apply_target_snapshot(entry_host& host,
                           platform::stored_range const& snapshot)
{
    diagnostics::activity_scope const scope("targets.snapshot");
    std::vector<core::registered_target> targets;
    for (auto const& item : snapshot.m_items)
    {
        auto target = host.m_adapter.m_store_layout->m_read_target(
            item.m_key, item.m_value);
        if (has_value(target))
        {
            targets.push_back(take(std::move(target)));
        }
        else
        {
            host.m_metrics.count_event("target_entry_unreadable");
        }
    }
    logging::write(logging::level::info, "serve.store", "targets read",
                   {{"targets", std::to_string(targets.size())},
                    {"revision", std::to_string(snapshot.m_store_revision)}});
    core::replace_targets(host.m_store_sync->m_target_directory,
                          std::move(targets), now());
    if (!std::exchange(host.m_store_sync->m_has_read_targets, true))
    {
        host.m_store_sync->m_targets_read_time = now();
    }
    apply_registered_targets(host);
    announce_self(host);
}

void apply_target_changes(entry_host& host,
                          platform::range_changes const& changes)
{
    bool is_changed = false;
    for (auto const& event : changes.m_events)
    {
        if (event.m_value)
        {
            is_changed = update_target_entry(host, event.m_key, *event.m_value,
                                             event.m_revision) ||
                         is_changed;
            continue;
        }
        auto const name = target_name(host, event.m_key);
        log_target_removal(name, event.m_revision);
        is_changed = core::remove_target(host.m_store_sync->m_target_directory,
                                         name, now()) ||
                     is_changed;
    }
    if (is_changed ||
        core::next_lapsed_removal(host.m_store_sync->m_target_directory))
    {
        apply_registered_targets(host);
    }
}

} // namespace hawthornspur::serve
