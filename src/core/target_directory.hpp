#ifndef HAWTHORNSPUR_CORE_TARGET_DIRECTORY_HPP
#define HAWTHORNSPUR_CORE_TARGET_DIRECTORY_HPP

#include "core/configuration.hpp"
#include "core/time.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace hawthornspur::core
{

/// What a target says of itself in the platform's registry.
struct registered_target
{
    std::string m_service;
    std::string m_name;
    std::string m_zone;
    std::string m_address;
    std::uint16_t m_port = 0;
    int m_slots = 1;
    target_state m_state = target_state::active;
    /// Remaining time in which the target is slow after its start.
    duration m_warm_up_left{0};
    /// Distinguishes starts under the same name; 0 when it is not told.
    std::uint64_t m_incarnation = 0;
};

/// The registered targets as one host knows them. It lives as long as the
/// host.
struct target_directory
{
    struct entry
    {
        registered_target m_target;
        time_point m_cold_until{};
        /// Set while the entry is missing after an outage of the registry: the
        /// target may live and register again.
        std::optional<time_point> m_drop_at;
    };
    std::map<std::string, entry> m_entries;
    /// Removals before this time may come from an outage of the registry.
    time_point m_removals_trusted_from{};
};

/// How long after the end of an outage a lapsed entry may still come back.
/// The platform promises about two seconds.
inline constexpr duration lapsed_entry_grace = std::chrono::milliseconds(2200);

/// Longest use of an entry that is missing after an outage, from the last call
/// that failed. From 3 s after the end of a disruption on, the platform holds a
/// host to what the store says.
inline constexpr duration longest_lapsed_use = std::chrono::milliseconds(2800);

/// The registry answers again after an outage, which lasted at least until the
/// last failed call was sent.
void record_registry_recovery(target_directory& directory,
                              time_point last_failure, time_point now);

/// An entry as it was written. Returns whether anything that hosts use
/// changed.
bool put_target(target_directory& directory, registered_target target,
                time_point now);

/// The entry is gone or cannot be read. Returns whether anything changed.
bool remove_target(target_directory& directory, std::string const& name,
                   time_point now);

/// All entries at one revision. Returns whether anything changed.
bool replace_targets(target_directory& directory,
                     std::vector<registered_target> targets, time_point now);

/// Drops entries that did not come back in time. Returns whether anything
/// changed.
bool remove_lapsed_entries(target_directory& directory, time_point now);

/// When remove_lapsed_entries has to be called next, if at all.
std::optional<time_point>
next_lapsed_removal(target_directory const& directory);

/// The document with the registered targets in place of its own ones. A target
/// of a service that the document does not have is left out.
configuration with_registered_targets(configuration const& document,
                                      target_directory const& directory);

} // namespace hawthornspur::core

#endif
