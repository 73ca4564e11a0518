#include "core/repeat_decision.hpp"

#include "core/retry_rules.hpp"

namespace hawthornspur::core
{

namespace
{

// A request that may have ended this many targets is not sent to another one.
// One target may end by chance while it runs the request.
constexpr int max_target_ends = 2;

} // namespace

repeat_decision check_repeat(repeat_proposal const& proposal, time_point now)
{
    if (proposal.m_is_suspected || (!is_certainly_not_run(proposal.m_outcome) &&
                                    proposal.m_target_ends >= max_target_ends))
    {
        return repeat_decision::suspected;
    }
    if (!proposal.m_is_decided_here)
    {
        return repeat_decision::decided_elsewhere;
    }
    if (!may_retry(proposal.m_outcome, proposal.m_is_idempotent))
    {
        return repeat_decision::may_have_run;
    }
    if (proposal.m_attempts >= proposal.m_max_attempts)
    {
        return repeat_decision::attempts_used;
    }
    return proposal.m_deadline > now ? repeat_decision::allowed
                                     : repeat_decision::too_late;
}

repeat_decision decide_repeat(repeat_proposal const& proposal,
                              repeat_budget& budget, time_point now)
{
    auto const decision = check_repeat(proposal, now);
    if (decision != repeat_decision::allowed)
    {
        return decision;
    }
    return try_spend(budget, now) ? repeat_decision::allowed
                                  : repeat_decision::budget_empty;
}

result_code refusal_code(repeat_decision decision, attempt_outcome outcome)
{
    if (is_certainly_not_run(outcome))
    {
        if (decision == repeat_decision::suspected)
        {
            return result_code::request_suspected;
        }
        if (decision == repeat_decision::budget_empty)
        {
            return result_code::retry_budget_empty;
        }
    }
    return result_code_for(outcome);
}

std::optional<attempt_outcome> outcome_of(result_code code)
{
    switch (code)
    {
    case result_code::target_shed:
        return attempt_outcome::shed;
    case result_code::connect_failed:
        // Reported by a host that has made an attempt, so it was no failed
        // connection.
        return attempt_outcome::misdirected;
    case result_code::target_silent:
        return attempt_outcome::silent;
    case result_code::target_closed:
        return attempt_outcome::closed;
    case result_code::target_answer_malformed:
        return attempt_outcome::malformed;
    default:
        return std::nullopt;
    }
}

} // namespace hawthornspur::core
