#ifndef HAWTHORNSPUR_SERVE_RATE_LIMITS_HPP
#define HAWTHORNSPUR_SERVE_RATE_LIMITS_HPP

#include "core/advertised_rate.hpp"
#include "core/ids.hpp"
#include "net/peer_messages.hpp"

#include <string>

namespace hawthornspur::serve
{

struct entry_host;
struct local_pool;

/// Reports to the pool what an answer of a target says about its rate limit.
void report_rate_limit(entry_host& host, core::pool_id const& pool_id,
                       core::rate_report const& report);

/// Informs the next owners of the limits of all pools that this host owns, so
/// that a host which takes over a pool keeps them from its first request.
void share_rate_limits(entry_host& host);

/// Informs the next owner of a pool of the limits of its targets.
void hand_over_rate_limits(entry_host& host, local_pool const& pool,
                           std::string const& owner);

/// Handles a message of a pool's owner.
void on_rate_limits_message(entry_host& host,
                            net::rate_limits_message const& message);

/// Applies the limits received for a pool that this host has created.
void apply_received_rate_limits(entry_host& host, local_pool& pool);

/// Updates the part of the limits that this host may use, after a change of the
/// hosts or the owner of the pool.
void update_rate_share(entry_host& host, local_pool& pool);

/// Logs what this host sent to targets that advertise a rate limit since the
/// last call.
void log_rate_usage(entry_host& host);

} // namespace hawthornspur::serve

#endif
