#ifndef HAWTHORNSPUR_CORE_MISSED_CHANGE_HPP
#define HAWTHORNSPUR_CORE_MISSED_CHANGE_HPP

#include "core/configuration_state.hpp"
#include "core/time.hpp"

#include <optional>

namespace hawthornspur::core
{

/// How long a host has known of a document that it does not have.
struct missed_change
{
    std::optional<time_point> m_next_read;
    duration m_interval{0};
};

/// Whether a host that learns of changes from other hosts is to read the store
/// itself now: a newer document was announced a while ago and none of the
/// others has sent it, whatever the reason, or the host has been in doubt about
/// the newest document. Reads that do not help become rarer.
///
/// Load pattern: the links to the hosts that have a new document are lost, or
/// the document is too large for them. Without an own read the host would stay
/// under the old document until the next change.
bool is_own_read_due(missed_change& state, configuration_state const& known,
                     bool is_in_doubt, time_point now);

} // namespace hawthornspur::core

#endif
