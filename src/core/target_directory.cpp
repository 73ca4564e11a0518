#include "core/target_directory.hpp"

#include <algorithm>
#include <cassert>
#include <set>
#include <utility>

namespace hawthornspur::core
{

namespace
{

bool is_same_target(registered_target const& a, registered_target const& b)
{
    return a.m_service == b.m_service && a.m_zone == b.m_zone &&
           a.m_address == b.m_address && a.m_port == b.m_port &&
           a.m_slots == b.m_slots && a.m_state == b.m_state &&
           a.m_incarnation == b.m_incarnation;
}

// The same warm-up is reported with a later end if its entry arrives late.
constexpr duration cold_end_tolerance = std::chrono::milliseconds(250);

bool is_other_cold_end(time_point a, time_point b)
{
    return (a == time_point{}) != (b == time_point{}) ||
           std::chrono::abs(a - b) > cold_end_tolerance;
}

/// When the target ceases to be cold.
time_point cold_end(target_directory::entry const& entry,
                    service_config const& service,
                    evacuation_state const& evacuation)
{
    auto const end = cold_end_after_return(evacuation, entry.m_target.m_zone,
                                           service.m_warm_up);
    bool const is_reported_since =
        end && entry.m_read_at > *end - service.m_warm_up;
    return end && !is_reported_since ? std::max(entry.m_cold_until, *end)
                                     : entry.m_cold_until;
}

// Longer than a registry goes back.
constexpr duration removal_memory = std::chrono::seconds(60);

void erase_entry(target_directory& directory,
                 std::map<std::string, target_directory::entry>::iterator entry,
                 time_point now)
{
    std::erase_if(directory.m_removals, [&](auto const& item)
                  { return item.second.m_removed_at + removal_memory < now; });
    directory.m_removals[entry->first] = {entry->second.m_target.m_incarnation,
                                          now};
    directory.m_entries.erase(entry);
}

/// Whether the same process wrote `known` after `read`.
bool is_superseded(registered_target const& read,
                   registered_target const& known)
{
    return read.m_incarnation == known.m_incarnation && read.m_sequence &&
           known.m_sequence && *read.m_sequence < *known.m_sequence;
}

/// Whether `read` is the entry that is known already. The time for which it
/// says the target is cold counts from the first read.
bool is_read_again(registered_target const& read,
                   registered_target const& known)
{
    return is_same_target(read, known) && read.m_sequence &&
           read.m_sequence == known.m_sequence;
}

/// Whether this process was removed before the registry was restored.
bool is_removed(target_directory const& directory,
                registered_target const& target, time_point now)
{
    auto const removal = directory.m_removals.find(target.m_name);
    return now < directory.m_is_restoring_until &&
           removal != directory.m_removals.end() &&
           removal->second.m_incarnation == target.m_incarnation;
}

} // namespace

void record_registry_restore(target_directory& directory, time_point now)
{
    record_registry_recovery(directory, now, now);
    directory.m_is_restoring_until = now + lapsed_entry_grace;
}

void record_registry_recovery(target_directory& directory,
                              time_point last_failure, time_point now)
{
    assert(last_failure <= now);
    directory.m_removals_deferred_until =
        std::min(now + lapsed_entry_grace, last_failure + max_lapsed_entry_use);
}

bool put_target(target_directory& directory, registered_target target,
                time_point now)
{
    auto const cold_until = target.m_warm_up_left > duration::zero()
                                ? now + target.m_warm_up_left
                                : time_point{};
    auto const known = directory.m_entries.find(target.m_name);
    bool const is_new = known == directory.m_entries.end();
    if (is_new ? is_removed(directory, target, now)
               : is_superseded(target, known->second.m_target))
    {
        return false;
    }
    auto& entry = directory.m_entries[target.m_name];
    entry.m_remove_at.reset();
    if (!is_new && is_read_again(target, entry.m_target))
    {
        return false;
    }
    bool const is_changed = is_new || !is_same_target(entry.m_target, target) ||
                            is_other_cold_end(cold_until, entry.m_cold_until);
    entry.m_target = std::move(target);
    entry.m_cold_until = cold_until;
    entry.m_read_at = now;
    return is_changed;
}

bool remove_target(target_directory& directory, std::string const& name,
                   time_point now)
{
    auto const found = directory.m_entries.find(name);
    if (found == directory.m_entries.end())
    {
        return false;
    }
    if (now >= directory.m_removals_deferred_until)
    {
        erase_entry(directory, found, now);
        return true;
    }
    if (!found->second.m_remove_at)
    {
        found->second.m_remove_at = directory.m_removals_deferred_until;
    }
    return false;
}

bool replace_targets(target_directory& directory,
                     std::vector<registered_target> targets, time_point now)
{
    bool is_changed = false;
    std::set<std::string> present;
    for (auto& target : targets)
    {
        present.insert(target.m_name);
        is_changed =
            put_target(directory, std::move(target), now) || is_changed;
    }
    std::vector<std::string> missing;
    for (auto const& [name, entry] : directory.m_entries)
    {
        if (!present.contains(name))
        {
            missing.push_back(name);
        }
    }
    for (auto const& name : missing)
    {
        is_changed = remove_target(directory, name, now) || is_changed;
    }
    return is_changed;
}

bool remove_lapsed_entries(target_directory& directory, time_point now)
{
    auto const count = directory.m_entries.size();
    for (auto next = directory.m_entries.begin();
         next != directory.m_entries.end();)
    {
        auto const entry = next++;
        auto const& remove_at = entry->second.m_remove_at;
        if (remove_at && *remove_at <= now)
        {
            erase_entry(directory, entry, now);
        }
    }
    return directory.m_entries.size() < count;
}

std::optional<time_point> next_lapsed_removal(target_directory const& directory)
{
    std::optional<time_point> next;
    for (auto const& [name, entry] : directory.m_entries)
    {
        if (entry.m_remove_at && (!next || *entry.m_remove_at < *next))
        {
            next = entry.m_remove_at;
        }
    }
    return next;
}

configuration with_registered_targets(configuration const& document,
                                      target_directory const& directory,
                                      evacuation_state const& evacuation)
{
    auto merged = document;
    std::map<std::string, service_config*> services;
    for (auto& service : merged.m_services)
    {
        service.m_targets.clear();
        services[service.m_name] = &service;
    }
    for (auto const& [name, entry] : directory.m_entries)
    {
        auto const& target = entry.m_target;
        auto const service = services.find(target.m_service);
        if (service == services.end())
        {
            continue;
        }
        target_config config;
        config.m_name = target.m_name;
        config.m_zone = target.m_zone;
        config.m_address = target.m_address;
        config.m_port = target.m_port;
        config.m_slots = target.m_slots;
        config.m_max_connections = service->second->m_max_connections;
        config.m_state = target.m_state;
        config.m_cold_until = cold_end(entry, *service->second, evacuation);
        config.m_incarnation = target.m_incarnation;
        service->second->m_targets.push_back(std::move(config));
    }
    mark_evacuated_targets(merged, evacuation.m_decision.m_zones);
    return merged;
}

} // namespace hawthornspur::core
