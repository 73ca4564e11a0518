#ifndef HAWTHORNSPUR_CORE_RETRY_RULES_HPP
#define HAWTHORNSPUR_CORE_RETRY_RULES_HPP

#include "core/pool.hpp"
#include "core/pool_effects.hpp"

namespace hawthornspur::core
{

/// True if an attempt with this outcome certainly did not run: no byte
/// reached the target, or the target itself said so.
bool is_certainly_not_run(attempt_outcome outcome);

/// True if the target did not deliver a whole answer without a fault. Whole
/// server errors count against the target but are relayed.
bool is_failure(attempt_outcome outcome);

/// Whether a request may be sent again after this outcome.
bool may_retry(attempt_outcome outcome, bool is_idempotent);

/// The result code of a request whose last attempt ended like this. The
/// outcome must not be a whole answer.
result_code code_of(attempt_outcome outcome);

/// The reason that is counted for the next attempt.
attempt_reason reason_after(attempt_outcome outcome);

} // namespace hawthornspur::core

#endif
