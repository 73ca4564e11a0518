#ifndef HAWTHORNSPUR_SERVE_LEAVING_TARGETS_HPP
#define HAWTHORNSPUR_SERVE_LEAVING_TARGETS_HPP

#include "core/ids.hpp"
#include "net/peer_messages.hpp"
#include "platform/platform_calls.hpp"

#include <vector>

namespace hawthornspur::serve
{

struct entry_host;

/// A target announced in an answer that it is leaving: its pools stop using
/// it and all peers are told, so that no host gives it new work.
void announce_leaving_target(entry_host& host, core::target_id target);

/// A peer heard that a target is leaving.
void on_target_leaving(entry_host& host, net::target_leaving const& message);

/// The platform's list: listed as leaving is believed at once; listed as live
/// clears a mark only after the target has not announced itself for a while,
/// since the list lags.
void on_listed_targets(entry_host& host,
                       std::vector<platform::listed_host> const& listed);

} // namespace hawthornspur::serve

#endif
