#include "serve/dispatch.hpp"

#include "base/logging.hpp"
#include "base/text.hpp"
#include "core/pool_effects.hpp"
#include "core/retry_rules.hpp"
#include "serve/account.hpp"
#include "serve/authorize.hpp"
#include "serve/crash_reports.hpp"
#include "serve/deduplicate.hpp"
#include "serve/forwarding.hpp"
#include "serve/host.hpp"
#include "serve/leaving_targets.hpp"
#include "serve/pipeline.hpp"
#include "serve/pools.hpp"
#include "serve/rate_limits.hpp"
#include "serve/relay.hpp"

#include <algorithm>
#include <cassert>
#include <utility>

namespace hawthornspur::serve
{

namespace
{

/// Idle time after which a connection is not reused.
constexpr auto max_idle_time = std::chrono::seconds(5);

/// The same for at-most-once requests, which cannot be retried if the
/// connection turns out to be dead.
constexpr auto max_verified_idle_time = std::chrono::seconds(1);

/// A target in another zone answers within about 10 ms. One that lost power
/// does not refuse the connection.
constexpr auto connect_timeout = std::chrono::milliseconds(300);

constexpr int first_server_error = 500;

void log_attempt(active_call const& call, core::attempt_number number,
                 call_attempt const& attempt, std::string_view message)
{
    logging::write(
        logging::level::info, "serve.dispatch", message,
        {{"request_id", call.m_accepted.m_request_id},
         {"attempt", std::to_string(number)},
         {"target", attempt.m_target_name},
         {"answers_before", std::to_string(attempt.m_connection_use.m_answers)},
         {"refused_there_before",
          attempt.m_connection_use.m_has_refused_request ? "yes" : "no"},
         {"after_ms", milliseconds_text(now() - attempt.m_start_time)}});
}

net::http_request make_target_request(entry_host const& host,
                                      active_call const& call,
                                      attempt_metadata const& metadata)
{
    auto request = call.m_accepted.m_request;
    if (has_customers(call))
    {
        host.m_adapter.m_caller_interface.m_remove_credentials(
            request.m_headers);
    }
    host.m_adapter.m_caller_interface.m_set_target_headers(
        call.m_accepted, metadata, request.m_headers);
    return request;
}

core::attempt_outcome to_attempt_outcome(net::exchange_outcome outcome,
                                         call_attempt const& attempt)
{
    switch (outcome)
    {
    case net::exchange_outcome::complete:
        if (attempt.m_is_other_target)
        {
            return core::attempt_outcome::misdirected;
        }
        if (attempt.m_is_shed)
        {
            return core::attempt_outcome::shed;
        }
        if (attempt.m_is_promise_unfounded)
        {
            return core::attempt_outcome::malformed;
        }
        return attempt.m_is_server_error ? core::attempt_outcome::server_error
                                         : core::attempt_outcome::ok;
    case net::exchange_outcome::connect_failed:
        return core::attempt_outcome::connect_failed;
    case net::exchange_outcome::not_sent:
        return core::attempt_outcome::not_sent;
    case net::exchange_outcome::silent:
        return core::attempt_outcome::silent;
    case net::exchange_outcome::malformed:
        return core::attempt_outcome::malformed;
    case net::exchange_outcome::closed:
    case net::exchange_outcome::truncated:
    case net::exchange_outcome::too_large:
        break;
    }
    return core::attempt_outcome::closed;
}

/// Ends an attempt that received the answer to another request. Whether this
/// request ran is unknown, and the connection must not be reused.
void end_crossed_attempt(entry_host& host, active_call& call,
                         core::attempt_number number)
{
    auto const attempt = call.m_attempts.at(number);
    host.m_metrics.count_event("crossed_answer");
    log_attempt(call, number, attempt, "answer belongs to another request");
    host.m_http_client->cancel(attempt.m_exchange_id);
    call.m_attempts.erase(number);
    call.m_may_have_run = result_code::target_answer_malformed;
    report_attempt_end(
        host, call.m_pool,
        {call.m_id, number, core::attempt_outcome::malformed, {}, false});
}

/// Passes on what the head of an answer says about its target. Pools act on it
/// at once, so that the call and the attempt may have ended afterwards.
void report_target_signals(entry_host& host, active_call const& call,
                           call_attempt const& attempt,
                           answer_signals const& signals)
{
    bool const is_failure = attempt.m_is_shed || attempt.m_is_server_error;
    auto const pool = call.m_pool;
    core::rate_report const report{attempt.m_target, signals.m_rate_limit,
                                   is_failure ? core::rate_source::failure
                                              : core::rate_source::answer,
                                   attempt.m_start_time};
    if (attempt.m_is_draining)
    {
        announce_leaving_target(host, {call.m_classified.m_service->m_name,
                                       attempt.m_target_name,
                                       attempt.m_target_incarnation});
    }
    report_rate_limit(host, pool, report);
}

void on_attempt_head(entry_host& host, core::request_id id,
                     core::attempt_number number, net::http_response_head head,
                     std::optional<std::uint64_t> length)
{
    auto* call = find_call(host, id);
    if (call == nullptr || !call->m_attempts.contains(number))
    {
        return;
    }
    auto& attempt = call->m_attempts.at(number);
    attempt.m_connection_use =
        host.m_http_client->use_of(attempt.m_exchange_id);
    auto const signals = host.m_adapter.m_caller_interface.m_read_signals(
        call->m_accepted, head, *call->m_classified.m_kind);
    if (signals.m_is_crossed)
    {
        end_crossed_attempt(host, *call, number);
        return;
    }
    attempt.m_is_shed = signals.m_is_not_run;
    attempt.m_is_other_target = signals.m_is_other_target;
    attempt.m_is_promise_unfounded = signals.m_is_promise_unfounded &&
                                     call->m_classified.m_kind->m_execution !=
                                         core::execution_rule::idempotent;
    attempt.m_is_server_error = head.m_status >= first_server_error;
    attempt.m_is_draining = signals.m_is_draining;
    attempt.m_load = signals.m_load;
    bool const has_answer = !attempt.m_is_shed && !attempt.m_is_other_target &&
                            !attempt.m_is_promise_unfounded;
    if (has_answer)
    {
        attempt.m_head = std::move(head);
        attempt.m_length = length;
    }
    else if (attempt.m_connection_use.m_has_refused_request)
    {
        host.m_metrics.count_event("refused_again_on_connection");
    }
    if (attempt.m_is_promise_unfounded)
    {
        host.m_metrics.count_event("promise_unfounded");
        log_attempt(*call, number, attempt,
                    "status means not run, without the target's word for it");
    }
    if (!attempt.m_is_other_target)
    {
        report_target_signals(host, *call, attempt, signals);
    }
    // The signals may have changed which calls run.
    call = find_call(host, id);
    if (has_answer && call != nullptr && call->m_attempts.contains(number))
    {
        report_answer_start(host, *call, number);
    }
}

/// Log message for an attempt without a usable answer.
std::string_view describe_failure(net::exchange_outcome outcome,
                                  call_attempt const& attempt)
{
    if (attempt.m_is_other_target)
    {
        return "attempt reached another target";
    }
    switch (outcome)
    {
    case net::exchange_outcome::complete:
        return "attempt refused by the target without running";
    case net::exchange_outcome::connect_failed:
        return "attempt could not connect";
    case net::exchange_outcome::not_sent:
        return "attempt could not be sent by this host";
    case net::exchange_outcome::silent:
        return "attempt timed out";
    case net::exchange_outcome::malformed:
        return "attempt received a malformed answer";
    case net::exchange_outcome::truncated:
        return "attempt received an incomplete answer";
    case net::exchange_outcome::too_large:
        return "attempt received an answer above the size limit";
    case net::exchange_outcome::closed:
        break;
    }
    return "attempt lost its connection";
}

/// Ends a call whose answer was being relayed.
void finish_relayed_answer(entry_host& host, active_call& call,
                           net::exchange_outcome outcome)
{
    switch (outcome)
    {
    case net::exchange_outcome::complete:
        if (call.m_sink.m_end)
        {
            call.m_sink.m_end();
        }
        complete_key_with_answer(host, call);
        end_call(host, call, result_code::ok);
        break;
    case net::exchange_outcome::too_large:
        fail_call(host, call, result_code::answer_too_large);
        break;
    case net::exchange_outcome::silent:
        fail_call(host, call, result_code::deadline_passed_after_dispatch);
        break;
    default:
        fail_call(host, call, result_code::answer_truncated);
        break;
    }
}

/// Passes on what the end of an attempt shows about its target and the request.
void report_evidence(entry_host& host, active_call const& call,
                     call_attempt const& attempt, net::exchange_outcome outcome)
{
    switch (outcome)
    {
    case net::exchange_outcome::complete:
        if (attempt.m_is_other_target)
        {
            on_target_ended(host, attempt.m_target);
            return;
        }
        on_target_alive(host, attempt.m_target, attempt.m_start_time);
        if (!attempt.m_is_shed)
        {
            on_content_answered(host, call);
        }
        return;
    case net::exchange_outcome::closed:
        on_attempt_lost(host, call, attempt.m_target, false);
        return;
    case net::exchange_outcome::truncated:
        on_attempt_lost(host, call, attempt.m_target, true);
        return;
    case net::exchange_outcome::connect_failed:
    {
        // A cut link lets the time pass, which does not show that the target
        // has ended.
        bool const is_refused = now() - attempt.m_start_time < connect_timeout;
        if (is_refused)
        {
            on_target_ended(host, attempt.m_target);
        }
        return;
    }
    case net::exchange_outcome::not_sent:
    case net::exchange_outcome::silent:
    case net::exchange_outcome::malformed:
    case net::exchange_outcome::too_large:
        return;
    }
}

void on_attempt_end(entry_host& host, core::pool_id const& pool_id,
                    core::request_id id, core::attempt_number number,
                    net::exchange_outcome outcome)
{
    auto* call = find_call(host, id);
    if (call == nullptr || !call->m_attempts.contains(number))
    {
        host.m_metrics.count_event("late_answer");
        // The attempt holds a slot of its target until now.
        report_attempt_end(
            host, pool_id,
            {id, number, to_attempt_outcome(outcome, {}), {}, false});
        return;
    }
    auto const attempt = std::move(call->m_attempts.at(number));
    call->m_attempts.erase(number);
    call->m_target_time += now() - attempt.m_start_time;
    auto const result = to_attempt_outcome(outcome, attempt);
    call->m_unsent_attempts += core::has_reached_target(result) ? 0 : 1;
    bool const is_answered = outcome == net::exchange_outcome::complete &&
                             !attempt.m_is_promise_unfounded;
    if (!is_answered && !core::is_certainly_not_run(result))
    {
        call->m_may_have_run = core::result_code_for(result);
    }
    if (outcome != net::exchange_outcome::complete || attempt.m_is_shed ||
        attempt.m_is_other_target)
    {
        log_attempt(*call, number, attempt, describe_failure(outcome, attempt));
    }
    core::attempt_end const end{id, number, result, attempt.m_load,
                                attempt.m_is_draining};
    report_evidence(host, *call, attempt, outcome);
    call = find_call(host, id);
    if (call != nullptr && call->m_relayed_attempt == number)
    {
        finish_relayed_answer(host, *call, outcome);
    }
    report_attempt_end(host, pool_id, end);
}

} // namespace

void dispatch_attempt(entry_host& host, active_call& call,
                      core::dispatch_effect const& effect)
{
    auto const target = host.m_targets.find(effect.m_target);
    assert(target != host.m_targets.end());
    auto const number = effect.m_attempt;
    auto const time_left = std::max<core::duration>(
        std::chrono::milliseconds(1), call.m_classified.m_deadline - now());
    net::exchange_options options;
    options.m_timeout = time_left;
    options.m_connect_timeout = connect_timeout;
    options.m_max_idle_time = effect.m_needs_verified_connection
                                  ? core::duration(max_verified_idle_time)
                                  : core::duration(max_idle_time);
    options.m_max_connections = target->second.m_max_connections;
    options.m_max_answer_bytes =
        call.m_classified.m_service->m_max_answer_bytes;
    options.m_request_id = call.m_accepted.m_request_id;
    options.m_request_id_header =
        host.m_adapter.m_caller_interface.m_request_id_header;
    // The call may end before its answer, its configuration must not.
    options.m_read_reuse =
        [&read = host.m_adapter.m_caller_interface.m_read_reuse,
         id = options.m_request_id,
         configuration = call.m_classified.m_configuration,
         &kind = *call.m_classified.m_kind](net::http_response_head const& head)
    {
        return read(id, head, kind);
    };
    auto& attempt = call.m_attempts[number];
    attempt.m_target = effect.m_target;
    attempt.m_start_time = now();
    attempt.m_target_name = target->second.m_name;
    attempt.m_target_incarnation = target->second.m_incarnation;
    ++call.m_attempt_count;
    call.m_tried_targets.push_back(attempt.m_target_name);
    mark_key_dispatched(host, call);
    host.m_metrics.count_attempt(call.m_classified.m_service->m_name,
                                 effect.m_reason);
    auto const id = call.m_id;
    attempt.m_exchange_id = host.m_http_client->send(
        target->second.m_endpoint,
        make_target_request(host, call,
                            {time_left, target->second.m_name,
                             number + static_cast<core::attempt_number>(
                                          call.m_prior_attempts.m_count),
                             call.m_customer}),
        options,
        {.m_on_head = [&host, id, number](net::http_response_head head,
                                          std::optional<std::uint64_t> length)
         { on_attempt_head(host, id, number, std::move(head), length); },
         .m_on_data = [&host, id, number](std::string_view data)
         { relay_data(host, id, number, data); },
         .m_on_end =
             [&host, pool_id = call.m_pool, id,
              number](net::exchange_outcome outcome)
         {
             on_attempt_end(host, pool_id, id, number, outcome);
         }});
}

void cancel_attempt(entry_host& host, active_call& call,
                    core::attempt_number number)
{
    auto const found = call.m_attempts.find(number);
    if (found != call.m_attempts.end())
    {
        host.m_http_client->cancel(found->second.m_exchange_id);
        call.m_attempts.erase(found);
        call.m_may_have_run = result_code::target_silent;
    }
}

} // namespace hawthornspur::serve
