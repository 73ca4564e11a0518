#include "serve/forwarding.hpp"

#include "base/logging.hpp"
#include "base/text.hpp"
#include "core/repeat_decision.hpp"
#include "core/retry_rules.hpp"
#include "serve/account.hpp"
#include "serve/admit.hpp"
#include "serve/authorize.hpp"
#include "serve/classify.hpp"
#include "serve/deduplicate.hpp"
#include "serve/host.hpp"
#include "serve/limits.hpp"
#include "serve/pipeline.hpp"
#include "serve/pools.hpp"
#include "serve/relay.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace hawthornspur::serve
{

namespace
{

/// Longest path: entry host -> home -> owner -> owner in another zone.
constexpr int max_hops = 3;

/// Time after the deadline in which the refusal of the owner may still arrive.
constexpr auto deadline_grace = std::chrono::milliseconds(50);

std::string_view to_string(net::forward_purpose purpose)
{
    switch (purpose)
    {
    case net::forward_purpose::to_owner:
        return "to_owner";
    case net::forward_purpose::spill:
        return "spill";
    case net::forward_purpose::to_home:
        break;
    }
    return "to_home";
}

net::forward_request make_head(entry_host const& host, active_call const& call,
                               net::forward_purpose purpose,
                               std::string const& zone, net::forward_id id)
{
    net::forward_request head;
    auto const& accepted = call.m_accepted;
    head.m_id = id;
    head.m_purpose = purpose;
    head.m_service = call.m_classified.m_service->m_name;
    head.m_zone = zone;
    head.m_kind = call.m_classified.m_kind->m_name;
    head.m_generation = call.m_classified.m_configuration->m_generation;
    head.m_time_left = call.m_classified.m_deadline - now();
    head.m_once_key = accepted.m_once_key.value_or("");
    head.m_earlier_attempts = accepted.m_earlier_attempts;
    head.m_hops = call.m_hops + 1;
    head.m_method = accepted.m_request.m_method;
    head.m_uri = accepted.m_request.m_uri;
    head.m_headers = accepted.m_request.m_headers;
    head.m_customer = call.m_customer;
    if (has_customers(call))
    {
        host.m_adapter.m_caller_interface.m_remove_credentials(head.m_headers);
    }
    head.m_body_size = accepted.m_request.m_body.size();
    head.m_request_id = accepted.m_request_id;
    head.m_attempts = all_attempts(call);
    return head;
}

std::string forward_zone(active_call const& call, net::forward_purpose purpose,
                         std::string const& zone)
{
    if (!zone.empty())
    {
        return zone;
    }
    return purpose == net::forward_purpose::to_home ? call.m_classified.m_zone
                                                    : call.m_pool.m_zone;
}

/// Returns the call to which a message of a peer belongs. Null if the message
/// is late, repeated or from another host.
active_call* find_forwarded_call(entry_host& host, std::string const& from,
                                 net::forward_id id)
{
    auto const found = host.m_forwarded_calls.find(id);
    auto* call = found == host.m_forwarded_calls.end()
                     ? nullptr
                     : find_call(host, found->second);
    if (call == nullptr || !call->m_forward ||
        call->m_forward->m_host_name != from || call->m_forward->m_id != id)
    {
        host.m_metrics.count_event("late_forward_answer");
        return nullptr;
    }
    return call;
}

std::vector<core::request_id> calls_at(entry_host const& host,
                                       std::string const& peer)
{
    std::vector<core::request_id> calls;
    for (auto const& [id, request] : host.m_forwarded_calls)
    {
        auto const call = host.m_calls.find(request);
        if (call != host.m_calls.end() && call->second->m_forward &&
            call->second->m_forward->m_host_name == peer)
        {
            calls.push_back(request);
        }
    }
    return calls;
}

forwarded_call detach_forward(entry_host& host, active_call& call)
{
    auto forward = *std::exchange(call.m_forward, std::nullopt);
    host.m_forwarded_calls.erase(forward.m_id);
    return forward;
}

/// Whether the refusal concerns only the host that sent it, so that another
/// host may run the request.
bool is_host_refusal(result_code code)
{
    return code == result_code::host_leaving ||
           code == result_code::host_not_ready ||
           code == result_code::host_paused ||
           code == result_code::not_pool_owner;
}

/// Admits the request again, to the owner of its pool at this time.
void readmit_call(entry_host& host, active_call& call)
{
    // Under the same generation, the request stays with the part of its route
    // that was chosen for it, but the targets may have changed.
    auto const& in_force = host.m_configuration.m_in_force;
    auto& classified = call.m_classified;
    bool const is_same_generation =
        in_force->m_generation == classified.m_configuration->m_generation;
    if (is_same_generation && replace_document(classified, in_force))
    {
        admit_call(host, call);
        return;
    }
    run_filters(host, call);
}

void reroute_call(entry_host& host, active_call& call,
                  std::string const& failed, std::string_view reason)
{
    host.m_metrics.count_forward(reason);
    call.m_excluded_hosts.push_back(failed);
    readmit_call(host, call);
}

core::repeat_proposal make_proposal(active_call const& call,
                                    core::attempt_outcome outcome)
{
    auto const& kind = *call.m_classified.m_kind;
    core::repeat_proposal proposal;
    proposal.m_is_decided_here = decides_on_repeats(call);
    proposal.m_is_idempotent =
        kind.m_execution == core::execution_rule::idempotent;
    proposal.m_outcome = outcome;
    proposal.m_attempts = all_attempts(call).m_count;
    proposal.m_max_attempts = kind.m_max_attempts;
    proposal.m_target_ends = call.m_target_ends;
    proposal.m_deadline = call.m_classified.m_deadline;
    return proposal;
}

/// Decides whether a request is repeated whose last attempt was made, or may
/// have been made, by another host.
core::repeat_decision decide_after_forward(entry_host& host,
                                           active_call const& call,
                                           forwarded_call const& forward,
                                           core::attempt_outcome outcome)
{
    auto const& service = call.m_classified.m_service->m_name;
    auto const proposal = make_proposal(call, outcome);
    auto const decision = core::decide_repeat(
        proposal, get_or_create_budgets(host, service).m_repeat, now());
    bool const is_allowed = decision == core::repeat_decision::allowed;
    host.m_metrics.count_forward(is_allowed ? "repeat_allowed"
                                            : "repeat_denied");
    logging::write(logging::level::info, "serve.forwarding",
                   is_allowed ? "request is repeated after another host's "
                                "attempt"
                              : "request is not repeated after another host's "
                                "attempt",
                   {{"request_id", call.m_accepted.m_request_id},
                    {"service", service},
                    {"host", forward.m_host_name},
                    {"attempts", std::to_string(proposal.m_attempts)},
                    {"max_attempts", std::to_string(proposal.m_max_attempts)},
                    {"decision", std::to_string(static_cast<int>(decision))}});
    return decision;
}

/// Sends a request again whose repeat is decided and paid for.
void repeat_call(entry_host& host, active_call& call,
                 forwarded_call const& forward, core::attempt_outcome outcome)
{
    if (!core::is_certainly_not_run(outcome))
    {
        call.m_may_have_run = result_code::peer_link_lost;
    }
    if (forward.m_purpose == net::forward_purpose::spill)
    {
        requeue_spilled_call(host, call);
        return;
    }
    readmit_call(host, call);
}

void log_lost_forward(active_call const& call, forwarded_call const& forward)
{
    logging::write(
        logging::level::warn, "serve.forwarding",
        "link down under a forwarded request",
        {{"request_id", call.m_accepted.m_request_id},
         {"host", forward.m_host_name},
         {"purpose", std::string(to_string(forward.m_purpose))},
         {"is_answer_started", call.m_is_answer_started ? "yes" : "no"},
         {"age_ms", milliseconds_text(now() - call.m_arrival_time)},
         {"left_ms", milliseconds_text(call.m_classified.m_deadline - now())}});
}

void handle_lost_forward(entry_host& host, active_call& call,
                         forwarded_call const& forward)
{
    log_lost_forward(call, forward);
    if (call.m_is_answer_started)
    {
        fail_call(host, call, result_code::peer_link_lost);
        return;
    }
    if (forward.m_purpose == net::forward_purpose::to_home)
    {
        fail_call(host, call, result_code::home_gone);
        return;
    }
    // The lost host may have sent the request to a target.
    ++call.m_prior_attempts.m_count;
    constexpr auto outcome = core::attempt_outcome::silent;
    if (decide_after_forward(host, call, forward, outcome) !=
        core::repeat_decision::allowed)
    {
        remove_spilled_call(host, call);
        fail_call(host, call, result_code::peer_link_lost);
        return;
    }
    host.m_metrics.count_forward("retry_after_link_loss");
    call.m_excluded_hosts.push_back(forward.m_host_name);
    repeat_call(host, call, forward, outcome);
}

/// Sends a request to another host if it may be repeated, or lets the host that
/// decides on it do so. Otherwise it stays with the host that is silent, whose
/// answer may still come.
void repeat_silent_forward(entry_host& host, active_call& call)
{
    bool const is_idempotent = call.m_classified.m_kind->m_execution ==
                               core::execution_rule::idempotent;
    if (call.m_is_answer_started || !is_idempotent ||
        call.m_forward->m_purpose == net::forward_purpose::to_home)
    {
        return;
    }
    constexpr auto outcome = core::attempt_outcome::silent;
    bool const is_decided_here = decides_on_repeats(call);
    ++call.m_prior_attempts.m_count;
    if (is_decided_here &&
        decide_after_forward(host, call, *call.m_forward, outcome) !=
            core::repeat_decision::allowed)
    {
        --call.m_prior_attempts.m_count;
        return;
    }
    auto const forward = detach_forward(host, call);
    static_cast<void>(host.m_peer_network->send(
        forward.m_host_name, net::cancel_request{forward.m_id}));
    if (!is_decided_here)
    {
        remove_spilled_call(host, call);
        fail_call(host, call, result_code::peer_link_lost);
        return;
    }
    host.m_metrics.count_forward("retry_after_silence");
    call.m_excluded_hosts.push_back(forward.m_host_name);
    repeat_call(host, call, forward, outcome);
}

/// Handles a refusal after the other host, or one to which it passed the
/// request on, made an attempt.
void handle_failed_attempt(entry_host& host, active_call& call,
                           forwarded_call const& forward, result_code code)
{
    auto const outcome = code == result_code::peer_link_lost
                             ? core::attempt_outcome::silent
                             : core::outcome_of(code);
    bool const is_decided_here =
        decides_on_repeats(call) &&
        forward.m_purpose != net::forward_purpose::to_home;
    if (!outcome || call.m_is_answer_started || !is_decided_here)
    {
        remove_spilled_call(host, call);
        fail_call(host, call, code);
        return;
    }
    if (*outcome == core::attempt_outcome::closed)
    {
        ++call.m_target_ends;
    }
    auto const decision = decide_after_forward(host, call, forward, *outcome);
    if (decision == core::repeat_decision::allowed)
    {
        repeat_call(host, call, forward, *outcome);
        return;
    }
    remove_spilled_call(host, call);
    fail_call(host, call, core::refusal_code(decision, *outcome));
}

} // namespace

net::attempt_record all_attempts(active_call const& call)
{
    auto attempts = call.m_prior_attempts;
    attempts.m_count += call.m_attempt_count - call.m_unsent_attempts;
    attempts.m_targets.insert(attempts.m_targets.end(),
                              call.m_tried_targets.begin(),
                              call.m_tried_targets.end());
    return attempts;
}

bool decides_on_repeats(active_call const& call) noexcept
{
    return call.m_origin == call_origin::caller ||
           call.m_origin == call_origin::forwarded_to_home;
}

bool forward_call(entry_host& host, active_call& call, std::string const& to,
                  net::forward_purpose purpose, std::string const& zone)
{
    bool const is_spill = purpose == net::forward_purpose::spill;
    if (call.m_hops + 1 > max_hops)
    {
        if (!is_spill)
        {
            fail_call(host, call, result_code::hop_limit_reached);
        }
        return false;
    }
    auto const id = host.m_next_forward_id++;
    auto const head =
        make_head(host, call, purpose, forward_zone(call, purpose, zone), id);
    if (!host.m_peer_network->is_reachable(to) ||
        !has_value(host.m_peer_network->send(to, head)))
    {
        if (purpose == net::forward_purpose::to_home)
        {
            fail_call(host, call, result_code::home_unreachable);
        }
        else if (!is_spill)
        {
            reroute_call(host, call, to, "retry_after_send_failure");
        }
        return false;
    }
    host.m_metrics.count_forward(to_string(purpose));
    mark_key_dispatched(host, call);
    call.m_forward = forwarded_call{to, id, purpose, 0};
    host.m_forwarded_calls[id] = call.m_id;
    auto const& body = call.m_accepted.m_request.m_body;
    if (!body.empty() &&
        !has_value(host.m_peer_network->send(to, net::body_chunk{id, body})))
    {
        // The other host starts a request only after its whole body has
        // arrived, so this one has not run.
        cancel_forward(host, call);
        fail_call(host, call, result_code::owner_unreachable);
        return true;
    }
    return true;
}

void cancel_forward(entry_host& host, active_call& call)
{
    auto const forward = detach_forward(host, call);
    remove_spilled_call(host, call);
    static_cast<void>(host.m_peer_network->send(
        forward.m_host_name, net::cancel_request{forward.m_id}));
}

void grant_window(entry_host& host, active_call& call)
{
    auto& forward = *call.m_forward;
    auto const bytes = std::exchange(forward.m_ungranted_bytes, 0);
    if (bytes > 0)
    {
        static_cast<void>(host.m_peer_network->send(
            forward.m_host_name, net::window_update{forward.m_id, bytes}));
    }
}

void on_answer_head(entry_host& host, std::string const& from,
                    net::answer_head head)
{
    auto* call = find_forwarded_call(host, from, head.m_id);
    if (call == nullptr || call->m_is_answer_started)
    {
        return;
    }
    call->m_is_answer_started = true;
    remove_spilled_call(host, *call);
    if (call->m_running_key)
    {
        call->m_is_answer_kept = true;
        call->m_kept_answer =
            core::kept_answer{head.m_head.m_status, head.m_head.m_headers, {}};
    }
    if (call->m_sink.m_start)
    {
        call->m_sink.m_start(std::move(head.m_head), head.m_length);
    }
}

void on_answer_chunk(entry_host& host, std::string const& from,
                     net::answer_chunk const& chunk)
{
    auto* call = find_forwarded_call(host, from, chunk.m_id);
    if (call == nullptr || !call->m_is_answer_started)
    {
        return;
    }
    keep_answer_data(*call, chunk.m_data);
    call->m_forward->m_ungranted_bytes +=
        static_cast<std::uint32_t>(chunk.m_data.size());
    if (call->m_sink.m_write)
    {
        call->m_sink.m_write(chunk.m_data);
    }
    if (!call->m_sink.m_buffered_bytes ||
        call->m_sink.m_buffered_bytes() <= max_buffered_bytes(host))
    {
        grant_window(host, *call);
    }
}

void on_answer_end(entry_host& host, std::string const& from,
                   net::answer_end const& end)
{
    auto* call = find_forwarded_call(host, from, end.m_id);
    if (call == nullptr || !call->m_is_answer_started)
    {
        return;
    }
    static_cast<void>(detach_forward(host, *call));
    if (call->m_sink.m_end)
    {
        call->m_sink.m_end();
    }
    complete_key_with_answer(host, *call);
    end_call(host, *call, result_code::ok);
}

void on_refusal(entry_host& host, std::string const& from,
                net::refusal const& refusal)
{
    auto* call = find_forwarded_call(host, from, refusal.m_id);
    if (call == nullptr)
    {
        return;
    }
    auto const forward = detach_forward(host, *call);
    // A code that is never sent to callers is a fault of the peer. Whether the
    // request ran is then unknown.
    auto const code = info(refusal.m_code).m_http_status == 0 ||
                              refusal.m_code == result_code::ok
                          ? result_code::peer_link_lost
                          : refusal.m_code;
    call->m_retry_after = refusal.m_retry_after;
    if (refusal.m_attempts.m_count > all_attempts(*call).m_count)
    {
        call->m_prior_attempts = refusal.m_attempts;
        handle_failed_attempt(host, *call, forward, code);
        return;
    }
    bool const is_not_run = !call->m_is_answer_started &&
                            info(code).m_execution == execution::not_run;
    bool const is_refused_everywhere = code == result_code::request_suspected;
    if (is_not_run && !is_refused_everywhere &&
        forward.m_purpose == net::forward_purpose::spill)
    {
        host.m_metrics.count_forward("spill_returned");
        requeue_spilled_call(host, *call);
        return;
    }
    if (is_not_run && is_host_refusal(code) &&
        forward.m_purpose == net::forward_purpose::to_owner)
    {
        reroute_call(host, *call, from, "retry_after_host_refusal");
        return;
    }
    remove_spilled_call(host, *call);
    fail_call(host, *call, code);
}

std::size_t count_calls_at(entry_host const& host, std::string const& peer)
{
    return calls_at(host, peer).size();
}

void on_forward_link_silent(entry_host& host, std::string const& peer)
{
    for (auto const request : calls_at(host, peer))
    {
        auto* call = find_call(host, request);
        if (call != nullptr && call->m_forward &&
            call->m_forward->m_host_name == peer)
        {
            repeat_silent_forward(host, *call);
        }
    }
}

void on_forward_link_down(entry_host& host, std::string const& peer)
{
    auto const lost_calls = calls_at(host, peer);
    for (auto const request : lost_calls)
    {
        auto* call = find_call(host, request);
        if (call != nullptr && call->m_forward &&
            call->m_forward->m_host_name == peer)
        {
            auto const forward = detach_forward(host, *call);
            handle_lost_forward(host, *call, forward);
        }
    }
}

void expire_forwards(entry_host& host)
{
    std::vector<core::request_id> late_calls;
    for (auto const& [id, request] : host.m_forwarded_calls)
    {
        auto* call = find_call(host, request);
        if (call != nullptr &&
            call->m_classified.m_deadline + deadline_grace < now())
        {
            late_calls.push_back(request);
        }
    }
    for (auto const request : late_calls)
    {
        if (auto* call = find_call(host, request))
        {
            cancel_forward(host, *call);
            fail_call(host, *call, result_code::deadline_passed_after_dispatch);
        }
    }
}

} // namespace hawthornspur::serve
