#include "caller/retry_rules.hpp"

namespace hawthornspur::calling
{

namespace
{

/// Refusals that another entry host would repeat: the request is at fault, or
/// the one owner of the pool is overloaded, so that trying again adds load.
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

next_step decide(failed_attempt const& failure,
                 retry_conditions const& conditions)
{
    if (!conditions.m_can_send)
    {
        return next_step::give_up;
    }
    if (failure.m_execution == execution::not_run && is_final(failure.m_code))
    {
        return next_step::give_up;
    }
    auto const known = execution_of_call(failure, conditions.m_may_have_run);
    if (known == execution::not_run)
    {
        return next_step::send_again;
    }
    if (known != execution::unknown)
    {
        return next_step::give_up;
    }
    if (conditions.m_rule == call_rule::idempotent)
    {
        return next_step::send_again;
    }
    // The home knows its keys only as long as it is the same process.
    if (conditions.m_has_key && conditions.m_send_copies &&
        !ends_session(failure.m_code))
    {
        return next_step::send_copy;
    }
    return next_step::give_up;
}

execution execution_of_call(failed_attempt const& failure, bool may_have_run)
{
    return failure.m_execution == execution::not_run && may_have_run
               ? execution::unknown
               : failure.m_execution;
}

bool concerns_entry_host(failed_attempt const& failure)
{
    return failure.m_execution == execution::not_run &&
           !is_final(failure.m_code);
}

bool ends_session(result_code code)
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
