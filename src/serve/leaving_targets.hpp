#ifndef HAWTHORNSPUR_SERVE_LEAVING_TARGETS_HPP
#define HAWTHORNSPUR_SERVE_LEAVING_TARGETS_HPP

#include "core/target_departures.hpp"
#include "net/peer_messages.hpp"
#include "platform/platform_calls.hpp"

#include <string>
#include <vector>

namespace hawthornspur::serve
{

struct entry_host;

/// Handles an answer in which a target announces that it is leaving: its pools
/// stop using it, and all linked hosts are informed, among them the one that
/// passes the answer on to the caller.
void announce_leaving_target(entry_host& host,
                             core::target_process const& process);

/// Handles a registration in which a target says that it is leaving, and
/// informs the hosts that may own its pool, whose own reads may fail.
void announce_registered_departure(entry_host& host,
                                   core::target_process const& process);

/// Informs a host to which a link has just come up of all leaving targets.
void send_departures(entry_host& host, std::string const& peer);

/// Handles a peer's message that a target is leaving.
void on_target_leaving(entry_host& host, net::target_leaving const& message);

/// Applies the platform's list. A target listed as leaving is marked at once.
/// One listed as live is unmarked only if it has not announced for a while that
/// it is leaving, since the list lags.
void on_listed_targets(entry_host& host,
                       std::vector<platform::listed_host> const& listed);

} // namespace hawthornspur::serve

#endif
