#ifndef HAWTHORNSPUR_CORE_TARGET_DEPARTURES_HPP
#define HAWTHORNSPUR_CORE_TARGET_DEPARTURES_HPP

#include "core/time.hpp"

#include <cstdint>
#include <map>
#include <string>
#include <utility>

namespace hawthornspur::core
{

/// One process of a target.
struct target_process
{
    std::string m_service;
    std::string m_target;
    /// Increases with each start; 0 if the target does not report it.
    std::uint64_t m_incarnation = 0;
};

/// Targets that have said themselves that they are leaving, in an answer or in
/// their registration, to this host or another one.
///
/// The word is about a process and cannot be taken back: a registration that is
/// still or again listed as active, a stale copy of it or a passing probe does
/// not bring the target back, only a later incarnation does.
struct target_departures
{
    struct departure
    {
        std::uint64_t m_incarnation = 0;
        time_point m_heard_at{};
    };
    /// By service and target.
    std::map<std::pair<std::string, std::string>, departure> m_departures;
};

/// Records that the process is leaving. Returns whether this was unknown.
bool record_departure(target_departures& departures,
                      target_process const& process, time_point now);

/// Whether the process has said that it is leaving.
bool is_departing(target_departures const& departures,
                  target_process const& process);

} // namespace hawthornspur::core

#endif
