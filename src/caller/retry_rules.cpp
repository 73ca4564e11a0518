#include "caller/retry_rules.hpp"

namespace hawthornspur::calling
{

namespace
{

/// True for refusals that another entry host would repeat: the request is
/// invalid, or the owner of the pool is overloaded and a retry adds load.
bool is_final(result_code code)
{
    switch (code)
    {
    case result_code::host_leaving:
    case result_code::host_not_ready:
    case result_code::host_paused:
    case result_code::owner_unreachable:
    case result_code::not_pool_owner:
    case result_code::once_table_full:
    case result_code::once_session_required:
    case result_code::address_unavailable:
        return false;
    default:
        return true;
    }
}

} // namespace

next_step choose_next_step(failed_attempt const& failure,
                           retry_conditions const& conditions)
{
    if (!conditions.m_can_retry)
    {
        return next_step::give_up;
    }
    if (failure.m_execution == execution::not_run && is_final(failure.m_code))
    {
        return next_step::give_up;
    }
    auto const call_execution =
        get_call_execution(failure, conditions.m_may_have_run);
    if (call_execution == execution::not_run)
    {
        return next_step::send_again;
    }
    if (call_execution != execution::unknown)
    {
        return next_step::give_up;
    }
    if (conditions.m_rule == call_rule::idempotent)
    {
        return next_step::send_again;
    }
    // The home loses its table of keys when its process restarts.
    if (conditions.m_has_key && conditions.m_send_copies &&
        !invalidates_session(failure.m_code))
    {
        return next_step::send_copy;
    }
    return next_step::give_up;
}

execution get_call_execution(failed_attempt const& failure, bool may_have_run)
{
    return failure.m_execution == execution::not_run && may_have_run
               ? execution::unknown
               : failure.m_execution;
}

bool is_entry_host_failure(failed_attempt const& failure)
{
    return failure.m_execution == execution::not_run &&
           !is_final(failure.m_code);
}

bool invalidates_session(result_code code)
{
    switch (code)
    {
    case result_code::once_key_expired:
    case result_code::once_key_other_incarnation:
    case result_code::once_key_malformed:
    case result_code::once_session_required:
    case result_code::once_table_full:
    case result_code::home_gone:
    case result_code::home_unreachable:
    case result_code::host_leaving:
        return true;
    default:
        return false;
    }
}

} // namespace hawthornspur::calling
