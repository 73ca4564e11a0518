#ifndef HAWTHORNSPUR_SERVE_SPILLING_HPP
#define HAWTHORNSPUR_SERVE_SPILLING_HPP

#include "net/peer_messages.hpp"

#include <string>

namespace hawthornspur::serve
{

struct entry_host;

/// Sends summaries of busy pools to the owners of the nearest pools of the
/// same service. Called twice a second.
void send_summaries(entry_host& host);

/// A summary arrived: the pool here learns of it, and an owner that is not
/// busy itself answers with its own, so that the sender can spill to it.
void on_summary_message(entry_host& host, std::string const& from,
                        net::pool_summary_message const& message);

/// The former owner of a pool handed over its counts.
void on_handover(entry_host& host, net::handover_message const& message);

} // namespace hawthornspur::serve

#endif
