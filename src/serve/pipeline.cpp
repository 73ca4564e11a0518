#include "serve/pipeline.hpp"

#include "base/logging.hpp"
#include "serve/accept.hpp"
#include "serve/account.hpp"
#include "serve/admit.hpp"
#include "serve/authorize.hpp"
#include "serve/classify.hpp"
#include "serve/deduplicate.hpp"
#include "serve/dispatch.hpp"
#include "serve/forwarding.hpp"
#include "serve/host.hpp"
#include "serve/limits.hpp"
#include "serve/membership_driver.hpp"
#include "serve/pool_arrivals.hpp"
#include "serve/pools.hpp"
#include "serve/quotas.hpp"
#include "serve/relay.hpp"
#include "serve/start_queue.hpp"
#include "serve/stop.hpp"

#include <cassert>
#include <utility>

namespace hawthornspur::serve
{

namespace
{

active_call& add_call(entry_host& host, call_origin origin, answer_sink sink)
{
    auto created = std::make_unique<active_call>();
    created->m_id = host.m_next_request_id;
    ++host.m_next_request_id.m_value;
    created->m_origin = origin;
    created->m_sink = std::move(sink);
    created->m_arrival_time = now();
    auto& call = *created;
    host.m_calls.emplace(call.m_id, std::move(created));
    return call;
}

} // namespace

void run_filters(entry_host& host, active_call& call)
{
    if (!can_route(host))
    {
        if (!hold_call(host, call))
        {
            fail_call(host, call, result_code::host_not_ready);
        }
        return;
    }
    auto const& document = *host.m_configuration.m_in_force;
    call.m_classification = {call.m_classification.m_passes + 1,
                             choose_lookup(document, call.m_accepted),
                             document.m_generation};
    if (call.m_classification.m_passes > 1)
    {
        host.m_metrics.count_event("classified_again");
    }
    auto classified = classify_request(
        call.m_accepted, host.m_configuration.m_in_force, host.m_part_selector,
        host.m_settings.m_zone, call.m_arrival_time);
    if (!has_value(classified))
    {
        // The forwarding host chose the service and kind under a configuration
        // that this host does not have.
        bool const is_version_difference = !call.m_accepted.m_kind.empty();
        auto const code = is_version_difference ? result_code::not_pool_owner
                                                : failure(classified).m_code;
        fail_call(host, call, call.m_may_have_run.value_or(code));
        return;
    }
    call.m_classified = take(std::move(classified));
    if (call.m_may_have_run && call.m_classified.m_kind->m_execution !=
                                   core::execution_rule::idempotent)
    {
        fail_call(host, call, *call.m_may_have_run);
        return;
    }
    if (!authorize_call(host, call))
    {
        return;
    }
    // A held or rerouted call that runs under a key passes the filters a second
    // time.
    if (!call.m_running_key &&
        deduplicate_call(host, call) != deduplicate_result::passed)
    {
        return;
    }
    if (!is_accepted(host, call))
    {
        host.m_metrics.count_event("stop_too_short");
        call.m_retry_after = other_host_retry_delay;
        fail_call(host, call, result_code::host_leaving);
        return;
    }
    admit_call(host, call);
}

active_call* find_call(entry_host& host, core::request_id id) noexcept
{
    auto const found = host.m_calls.find(id);
    return found == host.m_calls.end() ? nullptr : found->second.get();
}

void start_call(entry_host& host, net::http_request request, answer_sink sink,
                core::request_id& id_out)
{
    auto& call = add_call(host, call_origin::caller, std::move(sink));
    id_out = call.m_id;
    auto accepted =
        host.m_adapter.m_caller_interface.m_accept(std::move(request));
    if (!has_value(accepted))
    {
        fail_call(host, call, failure(accepted).m_code);
        return;
    }
    call.m_accepted = take(std::move(accepted));
    run_filters(host, call);
}

void start_forwarded_call(entry_host& host, call_origin origin,
                          net::forward_request const& head, std::string body,
                          answer_sink sink, core::request_id& id_out)
{
    auto& call = add_call(host, origin, std::move(sink));
    id_out = call.m_id;
    call.m_hops = head.m_hops;
    auto& accepted = call.m_accepted;
    accepted.m_request = {head.m_method, head.m_uri, head.m_headers,
                          std::move(body)};
    accepted.m_request_id = head.m_request_id;
    accepted.m_kind = head.m_kind;
    accepted.m_service = head.m_service;
    accepted.m_zone = head.m_zone;
    accepted.m_time_left = head.m_time_left;
    accepted.m_earlier_attempts = head.m_earlier_attempts;
    call.m_customer = head.m_customer;
    call.m_prior_attempts = head.m_attempts;
    if (!head.m_once_key.empty())
    {
        accepted.m_once_key = head.m_once_key;
    }
    run_filters(host, call);
}

void on_receiver_closed(entry_host& host, core::request_id id)
{
    auto* call = find_call(host, id);
    if (call == nullptr)
    {
        return;
    }
    call->m_is_receiver_closed = true;
    call->m_sink = {};
    if (call->m_running_key)
    {
        // Copies of the request may have joined it or may request its answer
        // later, so the request goes on.
        resume_reading(host, *call);
        return;
    }
    if (call->m_is_joined_copy)
    {
        remove_joined_call(host, *call);
    }
    bool const was_forwarded = call->m_forward.has_value();
    if (was_forwarded)
    {
        cancel_forward(host, *call);
    }
    bool const was_dispatched =
        was_forwarded ||
        cancel_in_pool(host, *call) == core::cancel_result::after_dispatch;
    if (!was_dispatched)
    {
        return_quota(host, *call);
    }
    end_call(host, *call,
             was_dispatched ? result_code::cancelled_after_dispatch
                            : result_code::cancelled_before_dispatch);
}

void on_receiver_drained(entry_host& host, core::request_id id)
{
    if (auto* call = find_call(host, id))
    {
        resume_reading(host, *call);
    }
}

namespace
{

/// Delay after which the caller may retry a refused call. A host that forwarded
/// the request uses the delay reported by the owner of the pool.
core::duration retry_after_delay(entry_host& host, active_call const& call,
                                 result_code code)
{
    if (call.m_retry_after > core::duration(0))
    {
        return call.m_retry_after;
    }
    return retry_delay_in_pool(host, call, code)
        .value_or(other_host_retry_delay);
}

/// The code to end a call with. "Not run" must be true: it releases the key and
/// allows the caller to send the request again. All refusals of calls pass
/// here, whichever place decided on them.
result_code check_promise(entry_host& host, active_call const& call,
                          result_code code)
{
    if (info(code).m_execution != execution::not_run)
    {
        return code;
    }
    if (call.m_may_have_run)
    {
        return *call.m_may_have_run;
    }
    if (call.m_is_answer_started)
    {
        return result_code::answer_truncated;
    }
    if (call.m_is_joined_copy)
    {
        // The request of the same key that it has joined may run.
        return result_code::home_gone;
    }
    if (!call.m_attempts.empty() || call.m_forward)
    {
        host.m_metrics.count_event("refused_after_dispatch");
        logging::write(
            logging::level::warn, "serve.pipeline",
            "refused while an attempt is in flight",
            {{"request_id", call.m_accepted.m_request_id},
             {"name", std::string(info(code).m_name)},
             {"attempts", std::to_string(call.m_attempts.size())},
             {"forwarded_to",
              call.m_forward ? call.m_forward->m_host_name : std::string()}});
        return call.m_forward ? result_code::peer_link_lost
                              : result_code::target_silent;
    }
    return code;
}

} // namespace

void fail_call(entry_host& host, active_call& call, result_code code)
{
    code = check_promise(host, call, code);
    if (info(code).m_execution == execution::not_run)
    {
        return_quota(host, call);
    }
    complete_key(host, call, code);
    if (call.m_sink.m_fail)
    {
        call.m_sink.m_fail(code, retry_after_delay(host, call, code));
    }
    end_call(host, call, code);
}

} // namespace hawthornspur::serve
