#include "serve/dispatch.hpp"

#include "base/logging.hpp"
#include "base/text.hpp"
#include "core/pool_effects.hpp"
#include "serve/account.hpp"
#include "serve/deduplicate.hpp"
#include "serve/forwarding.hpp"
#include "serve/host.hpp"
#include "serve/leaving_targets.hpp"
#include "serve/pipeline.hpp"
#include "serve/pools.hpp"
#include "serve/relay.hpp"

#include <algorithm>
#include <utility>

namespace hawthornspur::serve
{

namespace
{

/// A kept connection is trusted for this long after its last answer.
constexpr auto max_connection_age = std::chrono::seconds(5);

/// The same for at-most-once requests, which cannot be repeated when the
/// connection turns out to be dead.
constexpr auto max_proved_age = std::chrono::seconds(1);

/// A target in another zone answers within some 10 ms; one that lost power does
/// not answer at all.
constexpr auto connect_timeout = std::chrono::milliseconds(300);

constexpr int first_server_error = 500;

void log_attempt(call const& c, core::attempt_number number,
                 call_attempt const& attempt, std::string_view message)
{
    logging::write(
        logging::level::info, "serve.dispatch", message,
        {{"request_id", c.m_accepted.m_request_id},
         {"attempt", std::to_string(number)},
         {"target", attempt.m_target_name},
         {"after_ms", milliseconds_text(now() - attempt.m_started)}});
}

net::http_request request_for_target(entry_host const& h, call const& c,
                                     attempt_metadata const& notice)
{
    auto request = c.m_accepted.m_request;
    h.m_adapter.m_caller_interface.m_set_target_headers(c.m_accepted, notice,
                                                        request.m_headers);
    return request;
}

core::attempt_outcome outcome_of(net::exchange_outcome outcome,
                                 call_attempt const& attempt)
{
    switch (outcome)
    {
    case net::exchange_outcome::complete:
        if (attempt.m_is_other_target)
        {
            // The meant target is gone from its address.
            return core::attempt_outcome::connect_failed;
        }
        if (attempt.m_is_shed)
        {
            return core::attempt_outcome::shed;
        }
        return attempt.m_is_server_error ? core::attempt_outcome::server_error
                                         : core::attempt_outcome::ok;
    case net::exchange_outcome::connect_failed:
        return core::attempt_outcome::connect_failed;
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

/// Another request's answer came: nothing is known about this one, and the
/// connection cannot be used any more.
void end_crossed_attempt(entry_host& h, call& c, core::attempt_number number)
{
    auto const attempt = c.m_attempts.at(number);
    h.m_metrics.count_event("crossed_answer");
    log_attempt(c, number, attempt, "crossed answer");
    h.m_client->cancel(attempt.m_exchange);
    c.m_attempts.erase(number);
    finish_attempt(
        h, c.m_pool,
        {c.m_id, number, core::attempt_outcome::malformed, {}, false});
}

void on_head(entry_host& h, core::request_id id, core::attempt_number number,
             net::http_response_head head, std::optional<std::uint64_t> length)
{
    auto* c = find_call(h, id);
    if (c == nullptr || !c->m_attempts.contains(number))
    {
        return;
    }
    auto& attempt = c->m_attempts.at(number);
    auto const signals = h.m_adapter.m_caller_interface.m_read_signals(
        c->m_accepted, head, *c->m_classified.m_kind);
    if (signals.m_is_crossed)
    {
        end_crossed_attempt(h, *c, number);
        return;
    }
    attempt.m_is_shed = signals.m_is_not_run;
    attempt.m_is_other_target = signals.m_is_other_target;
    attempt.m_is_server_error = head.m_status >= first_server_error;
    attempt.m_is_draining = signals.m_is_draining;
    attempt.m_load = signals.m_load;
    if (attempt.m_is_draining)
    {
        announce_leaving_target(h, attempt.m_target);
    }
    if (attempt.m_is_shed || attempt.m_is_other_target)
    {
        return;
    }
    attempt.m_head = std::move(head);
    attempt.m_length = length;
    announce_answer(h, *c, number);
}

/// Why an attempt gave no answer.
std::string_view describe(net::exchange_outcome outcome,
                          call_attempt const& attempt)
{
    if (attempt.m_is_other_target)
    {
        return "attempt reached another target";
    }
    switch (outcome)
    {
    case net::exchange_outcome::complete:
        return "attempt refused by its target as not run";
    case net::exchange_outcome::connect_failed:
        return "attempt found no connection";
    case net::exchange_outcome::silent:
        return "attempt got no answer in time";
    case net::exchange_outcome::malformed:
        return "attempt got an answer that cannot be parsed";
    case net::exchange_outcome::truncated:
        return "attempt got a part of an answer";
    case net::exchange_outcome::too_large:
        return "attempt got an answer above the cap";
    case net::exchange_outcome::closed:
        break;
    }
    return "attempt lost its connection";
}

/// The answer that is being relayed ended.
void finish_relayed(entry_host& h, call& c, net::exchange_outcome outcome)
{
    switch (outcome)
    {
    case net::exchange_outcome::complete:
        if (c.m_sink.m_end)
        {
            c.m_sink.m_end();
        }
        settle_key_with_answer(h, c);
        end_call(h, c, result_code::ok);
        break;
    case net::exchange_outcome::too_large:
        fail_call(h, c, result_code::answer_too_large);
        break;
    case net::exchange_outcome::silent:
        fail_call(h, c, result_code::deadline_passed_after_dispatch);
        break;
    default:
        fail_call(h, c, result_code::answer_truncated);
        break;
    }
}

void on_end(entry_host& h, core::request_id id, core::attempt_number number,
            net::exchange_outcome outcome)
{
    auto* c = find_call(h, id);
    if (c == nullptr || !c->m_attempts.contains(number))
    {
        h.m_metrics.count_event("late_answer");
        return;
    }
    auto const attempt = std::move(c->m_attempts.at(number));
    c->m_attempts.erase(number);
    c->m_target_time += now() - attempt.m_started;
    if (outcome != net::exchange_outcome::complete || attempt.m_is_shed ||
        attempt.m_is_other_target)
    {
        log_attempt(*c, number, attempt, describe(outcome, attempt));
    }
    core::attempt_end const end{id, number, outcome_of(outcome, attempt),
                                attempt.m_load, attempt.m_is_draining};
    auto const pool = c->m_pool;
    if (c->m_relayed_attempt == number)
    {
        finish_relayed(h, *c, outcome);
    }
    finish_attempt(h, pool, end);
}

} // namespace

void dispatch_attempt(entry_host& h, call& c,
                      core::dispatch_effect const& effect)
{
    auto const target = h.m_targets.find(effect.m_target);
    auto const number = effect.m_attempt;
    auto const left = std::max<core::duration>(
        std::chrono::milliseconds(1), c.m_classified.m_deadline - now());
    net::exchange_options options;
    options.m_timeout = left;
    options.m_connect_timeout = connect_timeout;
    options.m_max_idle_time = effect.m_needs_verified_connection
                                  ? core::duration(max_proved_age)
                                  : core::duration(max_connection_age);
    options.m_max_connections = target->second.m_max_connections;
    options.m_max_answer_bytes = c.m_classified.m_service->m_max_answer_bytes;
    auto& attempt = c.m_attempts[number];
    attempt.m_target = effect.m_target;
    attempt.m_started = now();
    attempt.m_target_name = target->second.m_name;
    ++c.m_attempts_made;
    c.m_last_target = attempt.m_target_name;
    mark_key_dispatched(h, c);
    h.m_metrics.count_attempt(c.m_classified.m_service->m_name,
                              effect.m_reason);
    auto const id = c.m_id;
    attempt.m_exchange = h.m_client->send(
        target->second.m_endpoint,
        request_for_target(h, c, {left, target->second.m_name, number}),
        options,
        {.m_on_head = [&h, id, number](net::http_response_head head,
                                       std::optional<std::uint64_t> length)
         { on_head(h, id, number, std::move(head), length); },
         .m_on_data = [&h, id, number](std::string_view data)
         { relay_data(h, id, number, data); },
         .m_on_end =
             [&h, id, number](net::exchange_outcome outcome)
         {
             on_end(h, id, number, outcome);
         }});
}

void cancel_attempt(entry_host& h, call& c, core::attempt_number number)
{
    auto const found = c.m_attempts.find(number);
    if (found != c.m_attempts.end())
    {
        h.m_client->cancel(found->second.m_exchange);
        c.m_attempts.erase(found);
    }
}

} // namespace hawthornspur::serve
