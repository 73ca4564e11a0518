#ifndef HAWTHORNSPUR_SERVE_STORED_TARGETS_HPP
#define HAWTHORNSPUR_SERVE_STORED_TARGETS_HPP

#include "platform/platform_calls.hpp"

namespace hawthornspur::serve
{

struct entry_host;

/// Replaces the registered targets by those of a snapshot. Entries that cannot
/// be read are counted.
void apply_target_snapshot(entry_host& host,
                           platform::stored_range const& snapshot);

/// Applies changes of registered targets. An entry that cannot be read removes
/// its target.
void apply_target_changes(entry_host& host,
                          platform::range_changes const& changes);

/// Updates the document in force and the lapse timer after a change of the
/// registered targets.
void apply_registered_targets(entry_host& host);

} // namespace hawthornspur::serve

#endif
