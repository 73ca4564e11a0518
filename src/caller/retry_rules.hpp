#ifndef HAWTHORNSPUR_CALLER_RETRY_RULES_HPP
#define HAWTHORNSPUR_CALLER_RETRY_RULES_HPP

#include <hawthornspur/caller.hpp>
#include <hawthornspur/result_code.hpp>

#include <cstdint>

namespace hawthornspur::calling
{

/// The result of an attempt that ended without an answer of the service.
struct failed_attempt
{
    result_code m_code = result_code::ok;
    execution m_execution = execution::unknown;
};

enum class next_step : std::uint8_t
{
    /// Reports the failure to the caller.
    give_up,
    /// Sends the request to the next address. An at-most-once request gets a
    /// new key, since nothing ran under the old one.
    send_again,
    /// Sends the request to the next address with the same key, so that the
    /// home joins it to the first copy.
    send_copy,
};

struct retry_conditions
{
    call_rule m_rule = call_rule::at_most_once;
    bool m_has_key = false;
    bool m_send_copies = false;
    /// An earlier attempt of the same call may have run, whatever the outcome
    /// of the last attempt.
    bool m_may_have_run = false;
    /// An untried address, an attempt and time before the deadline are left.
    bool m_can_retry = false;
};

/// Returns the step after a failed attempt. A request is sent again only if it
/// did not run and another entry host may accept it, or if its outcome is
/// unknown and its kind is idempotent (design section 5, "Retries").
next_step choose_next_step(failed_attempt const& failure,
                           retry_conditions const& conditions);

/// The execution state of the whole call after its last attempt.
execution get_call_execution(failed_attempt const& failure, bool may_have_run);

/// True when the request did not run because of the entry host alone. Sending
/// it to the next host adds no load to the service and needs no retry budget.
bool is_entry_host_failure(failed_attempt const& failure);

/// True when no request with a key of the same session can succeed any more.
bool invalidates_session(result_code code);

} // namespace hawthornspur::calling

#endif
