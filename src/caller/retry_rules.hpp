#ifndef HAWTHORNSPUR_CALLER_RETRY_RULES_HPP
#define HAWTHORNSPUR_CALLER_RETRY_RULES_HPP

#include <hawthornspur/caller.hpp>
#include <hawthornspur/result_code.hpp>

#include <cstdint>

namespace hawthornspur::calling
{

/// What is known when an attempt has ended without an answer of the service.
struct failed_attempt
{
    result_code m_code = result_code::ok;
    execution m_execution = execution::unknown;
};

enum class next_step : std::uint8_t
{
    /// The caller gets the failure.
    give_up,
    /// Sends the request to the next address. An at-most-once request gets a
    /// new key, since the old one certainly ran nothing.
    send_again,
    /// Sends the request with the same key to the next address, where it joins
    /// the first copy.
    send_copy,
};

struct retry_conditions
{
    call_rule m_rule = call_rule::at_most_once;
    bool m_has_key = false;
    bool m_send_copies = false;
    /// An earlier attempt of the same call may have run. A later refusal as
    /// not run then speaks for its own attempt only.
    bool m_may_have_run = false;
    /// Another address and another attempt within the deadline.
    bool m_can_send = false;
};

/// Decides what follows a failed attempt. A request is sent again only if the
/// failure says "not run" and another entry host may do better, or if its kind
/// is idempotent (design section 5, "Retries").
next_step decide(failed_attempt const& failure,
                 retry_conditions const& conditions);

/// What is known about the whole call after its last attempt.
execution execution_of_call(failed_attempt const& failure, bool may_have_run);

/// True when the failure concerns the entry host alone, so that trying the
/// next one adds no load to the service and needs no retry budget.
bool concerns_entry_host(failed_attempt const& failure);

/// True when no further key of the session can succeed.
bool ends_session(result_code code);

} // namespace hawthornspur::calling

#endif
