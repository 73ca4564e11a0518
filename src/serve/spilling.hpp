#ifndef HAWTHORNSPUR_SERVE_SPILLING_HPP
#define HAWTHORNSPUR_SERVE_SPILLING_HPP

#include "net/peer_messages.hpp"

#include <string>

namespace hawthornspur::serve
{

struct entry_host;

/// Sends summaries of busy pools to the owners of the nearest pools of the same
/// service. Called at regular intervals.
void send_summaries(entry_host& host);

/// Handles the summary of a pool in another zone: this host's pools of the same
/// service record it, and those that are not busy reply with their own summary,
/// so that the sender can spill to them.
void on_summary_message(entry_host& host, std::string const& from,
                        net::pool_summary_message const& message);

/// Takes over the counts that the former owner of a pool sent.
void on_handover(entry_host& host, net::handover_message const& message);

} // namespace hawthornspur::serve

#endif
