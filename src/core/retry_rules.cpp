#include "core/retry_rules.hpp"

namespace hawthornspur::core
{

bool is_certainly_not_run(attempt_outcome outcome)
{
    return outcome == attempt_outcome::shed ||
           outcome == attempt_outcome::connect_failed ||
           outcome == attempt_outcome::not_sent ||
           outcome == attempt_outcome::misdirected;
}

bool has_reached_target(attempt_outcome outcome)
{
    return outcome != attempt_outcome::connect_failed &&
           outcome != attempt_outcome::not_sent;
}

bool is_failure(attempt_outcome outcome)
{
    return outcome != attempt_outcome::ok &&
           outcome != attempt_outcome::cancelled &&
           outcome != attempt_outcome::shed &&
           outcome != attempt_outcome::not_sent;
}

bool may_retry(attempt_outcome outcome, bool is_idempotent)
{
    switch (outcome)
    {
    case attempt_outcome::shed:
    case attempt_outcome::connect_failed:
    case attempt_outcome::not_sent:
    case attempt_outcome::misdirected:
        return true;
    case attempt_outcome::silent:
    case attempt_outcome::closed:
    case attempt_outcome::malformed:
        return is_idempotent;
    case attempt_outcome::ok:
    case attempt_outcome::server_error:
    case attempt_outcome::cancelled:
        return false;
    }
    return false;
}

result_code result_code_for(attempt_outcome outcome)
{
    switch (outcome)
    {
    case attempt_outcome::shed:
        return result_code::target_shed;
    case attempt_outcome::connect_failed:
    case attempt_outcome::not_sent:
    case attempt_outcome::misdirected:
        return result_code::connect_failed;
    case attempt_outcome::silent:
        return result_code::target_silent;
    case attempt_outcome::malformed:
        return result_code::target_answer_malformed;
    case attempt_outcome::cancelled:
        return result_code::cancelled_after_dispatch;
    case attempt_outcome::ok:
    case attempt_outcome::server_error:
    case attempt_outcome::closed:
        return result_code::target_closed;
    }
    return result_code::target_closed;
}

attempt_reason retry_reason_for(attempt_outcome outcome)
{
    switch (outcome)
    {
    case attempt_outcome::shed:
        return attempt_reason::retry_after_shed;
    case attempt_outcome::connect_failed:
    case attempt_outcome::not_sent:
    case attempt_outcome::misdirected:
        return attempt_reason::retry_after_connect_failure;
    case attempt_outcome::silent:
        return attempt_reason::retry_after_silence;
    case attempt_outcome::malformed:
        return attempt_reason::retry_after_malformed_answer;
    default:
        return attempt_reason::retry_after_close;
    }
}

} // namespace hawthornspur::core
