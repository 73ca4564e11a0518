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

/// Filters queue and bind: hands the call to its pool on this host, which is
/// created when it is first needed.
void enqueue_call(entry_host& host, active_call& call);

/// Takes the call out of its pool; an attempt in flight is cancelled.
core::cancel_result cancel_in_pool(entry_host& host, active_call& call);

/// Tells the call's pool that an attempt ended. The call may have ended on
/// return.
void report_attempt_end(entry_host& host, core::pool_id const& pool_id,
                        core::attempt_end const& end);

/// Tells the call's pool that the head of an answer arrived. The call may
/// have ended on return.
void report_answer_start(entry_host& host, active_call const& call,
                         core::attempt_number attempt);

/// The other zone refused a spilled request: it goes back into its pool.
void requeue_spilled_call(entry_host& host, active_call& call);

/// The other zone answered a spilled request or it ended here.
void remove_spilled_call(entry_host& host, active_call const& call);

/// Applies a new configuration or membership to all pools: rules, targets,
/// and the hand-over of pools that other hosts own now.
void update_pools(entry_host& host);

/// Marks a target as leaving in all its pools. Returns false when that was
/// known already.
bool mark_target_leaving(entry_host& host, std::string const& service,
                         std::string const& target);

/// The pool on this host, or null.
local_pool* find_pool(entry_host& host, core::pool_id const& id) noexcept;

/// Creates the pool if this host does not have it. Null when the
/// configuration no longer has the service.
local_pool* get_or_create_pool(entry_host& host, core::pool_id const& id);

core::service_budgets& get_or_create_budgets(entry_host& host,
                                             std::string const& service);

/// Carries out what a pool asked for, then restarts its timer.
void apply_effects(entry_host& host, local_pool& pool,
                   core::pool_effects effects);

/// The number for a target of a service, new ones included.
core::target_id intern_target(entry_host& host, std::string const& service,
                              core::target_config const& target);

} // namespace hawthornspur::serve

#endif
