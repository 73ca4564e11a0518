#ifndef HAWTHORNSPUR_SERVE_EVACUATIONS_HPP
#define HAWTHORNSPUR_SERVE_EVACUATIONS_HPP

#include "core/evacuated_zones.hpp"
#include "net/peer_messages.hpp"
#include "platform/platform_calls.hpp"

#include <map>
#include <string>

namespace hawthornspur::serve
{

struct entry_host;

/// What a host knows of evacuated zones.
struct evacuation_record
{
    /// As read from the store, by this host or another one.
    core::evacuated_zones m_known;
    core::evacuation_state m_in_force;
    /// A zone was evacuated since the start of this host. Other hosts hear
    /// nothing of evacuations before.
    bool m_is_shared = false;
    /// Values that were not taken, by key; each is logged once.
    std::map<std::string, std::string> m_rejected_values;
};

/// Replaces the known zones by those of a snapshot of the operators' range,
/// unless the known ones were read later. `is_latest` is false if the snapshot
/// may be stale. A zone whose value cannot be read keeps its state.
void apply_evacuation_snapshot(entry_host& host,
                               platform::stored_range const& snapshot,
                               bool is_latest);

/// Applies changes of the operators' range.
void apply_evacuation_changes(entry_host& host,
                              platform::range_changes const& changes);

/// Decides anew which zones are evacuated, after a change of the known zones or
/// of the document in force. Writes a line for each change.
void update_evacuations(entry_host& host);

/// The state that holds under `document`, which is not yet in force.
core::evacuation_state evacuation_under(entry_host const& host,
                                        core::configuration const& document);

/// Informs a host to which a link has just come up of the evacuated zones.
void send_evacuated_zones(entry_host& host, std::string const& peer);

/// Handles the evacuated zones that another host knows. A host that knows a
/// later state answers with it.
void on_evacuated_zones(entry_host& host, std::string const& from,
                        net::evacuated_zones_message const& message);

} // namespace hawthornspur::serve

#endif
