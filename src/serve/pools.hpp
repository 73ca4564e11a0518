#ifndef HAWTHORNSPUR_SERVE_POOLS_HPP
#define HAWTHORNSPUR_SERVE_POOLS_HPP

#include "core/ids.hpp"
#include "core/pool.hpp"

#include <string>

namespace hawthornspur::serve
{

struct entry_host;
struct local_pool;
struct active_call;

/// Filters queue and bind: adds the call to its pool on this host, which is
/// created if necessary.
void enqueue_call(entry_host& host, active_call& call);

/// Removes the call from its pool and cancels its attempts in flight.
core::cancel_result cancel_in_pool(entry_host& host, active_call& call);

/// Reports to the pool that an attempt ended. Its call may have ended on
/// return.
void report_attempt_end(entry_host& host, core::pool_id const& pool_id,
                        core::attempt_end const& end);

/// Reports to the pool of the call that the head of an answer arrived. The call
/// may have ended on return.
void report_answer_start(entry_host& host, active_call const& call,
                         core::attempt_number attempt);

/// Returns a spilled request that the other zone refused to its pool. The call
/// may have ended on return.
void requeue_spilled_call(entry_host& host, active_call& call);

/// Removes the record of a spilled request that was answered or has ended.
void remove_spilled_call(entry_host& host, active_call const& call);

/// Applies a new configuration or membership to all pools: updates their rules
/// and targets, and hands over those that other hosts own now.
void update_pools(entry_host& host);

/// Returns the pool on this host, or null.
local_pool* find_pool(entry_host& host, core::pool_id const& id) noexcept;

/// Returns the pool and creates it if necessary. Null if the configuration does
/// not have the service.
local_pool* get_or_create_pool(entry_host& host, core::pool_id const& id);

/// Returns the budgets that the pools of a service share on this host.
core::service_budgets& get_or_create_budgets(entry_host& host,
                                             std::string const& service);

/// Performs the effects that a pool returned, then restarts its timer.
void apply_effects(entry_host& host, local_pool& pool,
                   core::pool_effects effects);

/// Returns the id of a target and adds the target if it is new.
core::target_id intern_target(entry_host& host, std::string const& service,
                              core::target_config const& target);

} // namespace hawthornspur::serve

#endif
