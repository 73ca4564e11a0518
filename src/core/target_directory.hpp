#ifndef HAWTHORNSPUR_CORE_TARGET_DIRECTORY_HPP
#define HAWTHORNSPUR_CORE_TARGET_DIRECTORY_HPP

#include "core/configuration.hpp"
#include "core/evacuated_zones.hpp"
#include "core/time.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace hawthornspur::core
{

/// An entry of the platform's target registry, written by the target itself.
struct registered_target
{
    std::string m_service;
    std::string m_name;
    std::string m_zone;
    std::string m_address;
    std::uint16_t m_port = 0;
    int m_slots = 1;
    target_state m_state = target_state::active;
    /// Time for which the target is still slow after its start.
    duration m_warm_up_left{0};
    /// Distinguishes processes under the same name; 0 if not reported.
    std::uint64_t m_incarnation = 0;
    /// Counts the entries that the process has written.
    std::optional<std::uint64_t> m_sequence;
};

/// The registered targets known to one host.
struct target_directory
{
    struct entry
    {
        registered_target m_target;
        time_point m_cold_until{};
        /// Time at which the entry was read.
        time_point m_read_at{};
        /// Set while the entry is missing in the registry after an outage of
        /// it: the target may still run and register again until then.
        std::optional<time_point> m_remove_at;
    };
    std::map<std::string, entry> m_entries;
    /// Incarnations of targets whose entries were removed in the last minute.
    struct removal
    {
        std::uint64_t m_incarnation = 0;
        time_point m_removed_at{};
    };
    std::map<std::string, removal> m_removals;
    /// Until this time, the registry may show a state from before a restore of
    /// it, with entries that have been removed since.
    time_point m_is_restoring_until{};
    /// Entries that go missing before this time may have lapsed in an outage of
    /// the registry; they are not removed before it.
    time_point m_removals_deferred_until{};
};

/// Time after an outage of the registry within which lapsed entries are written
/// again. The platform states about two seconds.
inline constexpr duration lapsed_entry_grace = std::chrono::milliseconds(2200);

/// Limits the use of a lapsed entry, from the last failed call to the registry.
/// The platform requires that hosts follow the store from 3 s after the end of
/// a disruption.
inline constexpr duration max_lapsed_entry_use =
    std::chrono::milliseconds(2800);

/// Records that the registry answers again after an outage. `last_failure` is
/// the time at which the last failed call was sent. Defers removals.
void record_registry_recovery(target_directory& directory,
                              time_point last_failure, time_point now);

/// Records that the registry came back from an earlier state. Within
/// lapsed_entry_grace, removals are deferred and removed targets stay removed;
/// after that, the registry must be read again.
void record_registry_restore(target_directory& directory, time_point now);

/// Adds or replaces an entry. An entry that the same process wrote before the
/// known one is ignored. Returns whether anything that hosts use changed.
bool put_target(target_directory& directory, registered_target target,
                time_point now);

/// Removes an entry that was deleted or cannot be read, now or, shortly after
/// an outage, at the end of the grace time. Returns whether it was removed now.
bool remove_target(target_directory& directory, std::string const& name,
                   time_point now);

/// Replaces all entries by those of a snapshot of the registry; missing ones
/// are removed as by remove_target(). Returns whether anything changed.
bool replace_targets(target_directory& directory,
                     std::vector<registered_target> targets, time_point now);

/// Removes lapsed entries whose grace time is over. Returns whether there were
/// any.
bool remove_lapsed_entries(target_directory& directory, time_point now);

/// Returns the time at which remove_lapsed_entries() has to be called next, if
/// at all.
std::optional<time_point>
next_lapsed_removal(target_directory const& directory);

/// Returns the document with the registered targets in place of its own.
/// Targets of services that are not in the document are left out. Those of
/// evacuated zones are marked. Those of a zone that was taken back count as
/// cold for the warm-up time of their service, unless a later entry says
/// otherwise.
configuration with_registered_targets(configuration const& document,
                                      target_directory const& directory,
                                      evacuation_state const& evacuation = {});

} // namespace hawthornspur::core

#endif
