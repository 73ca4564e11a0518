#include "serve/authorize.hpp"

#include "core/customers.hpp"
#include "serve/configuration_proofs.hpp"
#include "serve/host.hpp"
#include "serve/pipeline.hpp"
#include "serve/start_queue.hpp"

namespace hawthornspur::serve
{

namespace
{

/// Refuses a request that another host forwarded without a customer: that host
/// has a configuration in which its kind needs no key. The code tells that host
/// not to try a third one, or to run the request itself.
bool check_forwarded_call(entry_host& host, active_call& call)
{
    if (!call.m_customer.empty())
    {
        return true;
    }
    fail_call(host, call, result_code::access_keys_unconfirmed);
    return false;
}

} // namespace

bool has_customers(active_call const& call) noexcept
{
    auto const& configuration = call.m_classified.m_configuration;
    return !call.m_customer.empty() ||
           (configuration != nullptr && configuration->m_customers != nullptr);
}

bool authorize_call(entry_host& host, active_call& call)
{
    auto const& customers = call.m_classified.m_configuration->m_customers;
    if (customers == nullptr || call.m_classified.m_kind->m_is_public)
    {
        return true;
    }
    if (call.m_origin != call_origin::caller)
    {
        return check_forwarded_call(host, call);
    }
    // A key may have been added or withdrawn since the configuration was last
    // confirmed, so neither its absence nor its presence shows anything. A call
    // that passes a second time was sent before its key was checked first.
    if (call.m_customer.empty() && !is_configuration_proved(host))
    {
        host.m_metrics.count_event("access_keys_unconfirmed");
        call.m_proof_awaited_since = call.m_proof_awaited_since.value_or(now());
        if (!hold_call(host, call, hold_reason::proof))
        {
            refuse_unconfirmed_call(host, call);
        }
        return false;
    }
    auto const& key = call.m_accepted.m_access_key;
    auto const* customer = core::find_customer_by_key(*customers, key);
    if (customer == nullptr && core::is_undecided(*customers, key))
    {
        host.m_metrics.count_event("access_key_undecided");
        call.m_retry_after = unreadable_document_retry_delay;
        fail_call(host, call, result_code::access_keys_unconfirmed);
        return false;
    }
    if (customer == nullptr)
    {
        fail_call(host, call, result_code::access_key_unknown);
        return false;
    }
    call.m_customer = customer->m_name;
    return true;
}

} // namespace hawthornspur::serve
