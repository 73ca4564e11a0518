#ifndef HAWTHORNSPUR_SERVE_LEAVING_TARGETS_HPP
#define HAWTHORNSPUR_SERVE_LEAVING_TARGETS_HPP

#include "core/ids.hpp"
#include "net/peer_messages.hpp"
#include "platform/platform_calls.hpp"

#include <vector>

namespace hawthornspur::serve
{

struct entry_host;

/// Handles an answer in which a target announces that it is leaving: its pools
/// stop using it, and all peers are informed so that no host sends it new
/// requests.
void announce_leaving_target(entry_host& host, core::target_id target);

/// Handles a peer's message that a target is leaving.
void on_target_leaving(entry_host& host, net::target_leaving const& message);

/// Applies the platform's list. A target listed as leaving is marked at once.
/// One listed as live is unmarked only if it has not announced for a while that
/// it is leaving, since the list lags.
void on_listed_targets(entry_host& host,
                       std::vector<platform::listed_host> const& listed);

} // namespace hawthornspur::serve

#endif
