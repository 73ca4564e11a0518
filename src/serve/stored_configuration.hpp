#ifndef HAWTHORNSPUR_SERVE_STORED_CONFIGURATION_HPP
#define HAWTHORNSPUR_SERVE_STORED_CONFIGURATION_HPP

#include "core/time.hpp"
#include "platform/platform_calls.hpp"

namespace hawthornspur::serve
{

struct entry_host;

/// Applies the operators' range as a read that was sent at `asked` has shown
/// it. A document that is missing from the latest state was removed.
void apply_configuration_snapshot(entry_host& host,
                                  platform::stored_range const& snapshot,
                                  bool is_latest, core::time_point asked);

/// Applies changes of the operators' range. Of several versions of the document
/// all are applied, oldest first, and only the last one is known to have been
/// the newest.
void apply_configuration_changes(entry_host& host,
                                 platform::range_changes const& changes,
                                 core::time_point asked);

} // namespace hawthornspur::serve

#endif
