#ifndef HAWTHORNSPUR_CORE_EVACUATED_ZONES_HPP
#define HAWTHORNSPUR_CORE_EVACUATED_ZONES_HPP

#include "core/configuration.hpp"
#include "core/store_position.hpp"
#include "core/time.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace hawthornspur::core
{

/// The zones that operators have evacuated in the platform's store, and where
/// in the history of the store they were read. The names are not checked.
struct evacuated_zones
{
    store_position m_position;
    std::set<std::string> m_zones;
};

/// Whether `offered` was read later in the history of the store than `known`.
/// A set without a revision was never read.
bool is_newer(evacuated_zones const& offered, evacuated_zones const& known);

/// A zone that operators evacuate or take back.
struct evacuation_change
{
    std::string m_zone;
    bool m_is_evacuated = false;
    std::uint64_t m_revision = 0;
};

/// Applies a change read in `epoch`, unless the set was read after it. Returns
/// whether the set differs.
bool apply_change(evacuated_zones& known, evacuation_change const& change,
                  std::uint64_t epoch);

/// What a set of zones means under a document.
struct evacuation_decision
{
    /// Zones whose targets get no requests.
    std::set<std::string> m_zones;
    /// Named zones that the document does not have. They are left out.
    std::vector<std::string> m_unknown;
    /// All zones of the document are named. None is evacuated then, since no
    /// target would be left.
    bool m_names_all = false;

    friend bool operator==(evacuation_decision const&,
                           evacuation_decision const&) = default;
};

/// Combines the zones of the store with those that the document evacuates.
evacuation_decision decide_evacuation(configuration const& document,
                                      std::set<std::string> const& named);

/// The zones that are evacuated now, and when others were taken back.
struct evacuation_state
{
    evacuation_decision m_decision;
    std::map<std::string, time_point> m_taken_back;
};

/// The zones that an update evacuates and takes back.
struct evacuation_update
{
    std::vector<std::string> m_begun;
    std::vector<std::string> m_ended;
};

/// Puts a decision in force.
evacuation_update apply_decision(evacuation_state& state,
                                 evacuation_decision decision, time_point now);

/// Until when targets of the zone count as cold since it was taken back, if
/// their service has this warm-up time; empty if the zone was not.
std::optional<time_point> cold_end_after_return(evacuation_state const& state,
                                                std::string const& zone,
                                                duration warm_up);

/// Marks the targets of the zones as evacuated. They count as draining.
void mark_evacuated_targets(configuration& document,
                            std::set<std::string> const& zones);

/// Whether the service has a target in the zone, which is evacuated.
bool is_evacuated(service_config const& service,
                  std::string const& zone) noexcept;

} // namespace hawthornspur::core

#endif
