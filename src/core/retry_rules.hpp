#ifndef HAWTHORNSPUR_CORE_RETRY_RULES_HPP
#define HAWTHORNSPUR_CORE_RETRY_RULES_HPP

#include "core/pool.hpp"
#include "core/pool_effects.hpp"

namespace hawthornspur::core
{

/// Whether an attempt with this outcome certainly did not run: no byte reached
/// the target, or the target declared it.
bool is_certainly_not_run(attempt_outcome outcome);

/// Whether the attempt reached a target, which a repeat has to be paid for.
bool has_reached_target(attempt_outcome outcome);

/// Whether the outcome counts as a failure of the target. Complete server
/// errors do, although they are relayed.
bool is_failure(attempt_outcome outcome);

/// Whether a request may be retried after this outcome.
bool may_retry(attempt_outcome outcome, bool is_idempotent);

/// The result code of a request whose last attempt had this outcome. The
/// outcome must not be a complete answer.
result_code result_code_for(attempt_outcome outcome);

/// The reason of the retry after this outcome.
attempt_reason retry_reason_for(attempt_outcome outcome);

} // namespace hawthornspur::core

#endif
