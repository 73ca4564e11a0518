#ifndef HAWTHORNSPUR_CORE_REPEAT_DECISION_HPP
#define HAWTHORNSPUR_CORE_REPEAT_DECISION_HPP

#include "core/pool.hpp"
#include "core/repeat_budget.hpp"

#include <optional>

namespace hawthornspur::core
{

/// A request that may be sent to a further target, and what is known of its
/// earlier attempts at all hosts.
struct repeat_proposal
{
    /// This host took the request from its caller, or is the home of its key.
    /// Only that host decides on repeats, so that each request has one place
    /// that knows all of its attempts and one budget that pays.
    bool m_is_decided_here = true;
    bool m_is_idempotent = false;
    /// How the last attempt ended.
    attempt_outcome m_outcome = attempt_outcome::silent;
    int m_attempts = 0;
    int m_max_attempts = 1;
    /// Targets that may have crashed under the request.
    int m_target_ends = 0;
    /// The request is suspected to crash its targets.
    bool m_is_suspected = false;
    time_point m_deadline{};
};

/// Why a request is repeated or not.
enum class repeat_decision : std::uint8_t
{
    allowed,
    decided_elsewhere,
    /// The last attempt may have run, and the request may run once only.
    may_have_run,
    attempts_used,
    /// Further targets might crash.
    suspected,
    too_late,
    budget_empty,
};

/// Whether the request may be repeated, apart from the budget.
repeat_decision check_repeat(repeat_proposal const& proposal, time_point now);

/// Decides on an arrival of a request beyond its first one, whichever host made
/// that, and pays for it.
repeat_decision decide_repeat(repeat_proposal const& proposal,
                              repeat_budget& budget, time_point now);

/// The code with which a request that is not repeated is refused.
result_code refusal_code(repeat_decision decision, attempt_outcome outcome);

/// How the attempt of another host ended that refused the request with this
/// code; empty if the code does not say that an attempt ended.
std::optional<attempt_outcome> outcome_of(result_code code);

} // namespace hawthornspur::core

#endif
