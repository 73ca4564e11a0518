#ifndef HAWTHORNSPUR_CORE_POOL_EFFECTS_HPP
#define HAWTHORNSPUR_CORE_POOL_EFFECTS_HPP

#include "core/ids.hpp"
#include <hawthornspur/result_code.hpp>

#include <string>
#include <variant>
#include <vector>

namespace hawthornspur::core
{

/// Reason of an attempt. The metrics count attempts by reason.
enum class attempt_reason : std::uint8_t
{
    first,
    retry_after_shed,
    retry_after_connect_failure,
    retry_after_silence,
    retry_after_close,
    retry_after_malformed_answer,
    hedge,
    /// Attempts of other hosts have ended without an answer.
    retry_after_other_host,
};

/// Send the request to a target.
struct dispatch_effect
{
    request_id m_request;
    attempt_number m_attempt = 0;
    target_id m_target;
    attempt_reason m_reason = attempt_reason::first;
    /// At-most-once requests need a new connection or one that delivered an
    /// answer very recently.
    bool m_needs_verified_connection = false;
};

/// Answer the caller with a result code, which also says whether the request
/// ran. No further effect answers the request.
struct refuse_effect
{
    request_id m_request;
    result_code m_code = result_code::ok;
};

/// Relay this attempt's answer to the caller.
struct relay_effect
{
    request_id m_request;
    attempt_number m_attempt = 0;
};

/// Cancel the attempt at its target; its answer is no longer needed.
struct cancel_attempt_effect
{
    request_id m_request;
    attempt_number m_attempt = 0;
    target_id m_target;
};

/// Forward the request to the owner of the service's pool in another zone.
struct spill_effect
{
    request_id m_request;
    std::string m_zone;
};

/// Request the health endpoint of the target. The cost is already charged to
/// the probe budget.
struct probe_effect
{
    target_id m_target;
};

using pool_effect =
    std::variant<dispatch_effect, refuse_effect, relay_effect,
                 cancel_attempt_effect, spill_effect, probe_effect>;
using pool_effects = std::vector<pool_effect>;

} // namespace hawthornspur::core

#endif
