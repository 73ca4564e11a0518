#include "serve/deduplicate.hpp"

#include "core/once_table.hpp"
#include "serve/account.hpp"
#include "serve/forwarding.hpp"
#include "serve/host.hpp"
#include "serve/pipeline.hpp"

#include <xxhash.h>

#include <utility>

namespace hawthornspur::serve
{

namespace
{

/// Hash of a request, to refuse a key that is used for two different requests.
/// Requests of two customers are different, so that neither gets the answer to
/// the other.
std::uint64_t make_fingerprint(active_call const& call)
{
    auto const& request = call.m_accepted.m_request;
    auto const& customer = call.m_customer;
    auto hash = XXH64(request.m_method.data(), request.m_method.size(), 0);
    hash = XXH64(request.m_uri.data(), request.m_uri.size(), hash);
    hash = XXH64(request.m_body.data(), request.m_body.size(), hash);
    return customer.empty() ? hash
                            : XXH64(customer.data(), customer.size(), hash);
}

void send_kept_answer(entry_host& host, active_call& call,
                      core::kept_answer const& answer)
{
    if (call.m_sink.m_start)
    {
        net::http_response_head head{answer.m_status, answer.m_headers};
        call.m_sink.m_start(std::move(head), answer.m_body.size());
        call.m_sink.m_write(answer.m_body);
        call.m_sink.m_end();
    }
    end_call(host, call, result_code::ok);
}

deduplicate_result forward_to_home(entry_host& host, active_call& call,
                                   core::once_key const& key)
{
    auto const& home = key.m_session.m_home;
    auto const* record = core::find_host(host.m_routing, home);
    if (record != nullptr &&
        record->m_incarnation != key.m_session.m_incarnation)
    {
        fail_call(host, call, result_code::once_key_other_incarnation);
    }
    else if (call.m_origin != call_origin::caller)
    {
        fail_call(host, call, result_code::hop_limit_reached);
    }
    else if (!host.m_peer_network->is_reachable(home))
    {
        fail_call(host, call, result_code::home_unreachable);
    }
    else
    {
        forward_call(host, call, home, net::forward_purpose::to_home);
    }
    return deduplicate_result::handled;
}

deduplicate_result check_key_at_home(entry_host& host, active_call& call,
                                     core::once_key const& key)
{
    auto decision = core::begin_request(
        *host.m_once_table, key, make_fingerprint(call), call.m_id, now());
    if (std::holds_alternative<core::once_run>(decision))
    {
        call.m_running_key = key;
        return deduplicate_result::passed;
    }
    if (auto const* refused = std::get_if<core::once_refuse>(&decision))
    {
        fail_call(host, call, refused->m_code);
    }
    else if (auto const* replay = std::get_if<core::once_replay>(&decision))
    {
        host.m_metrics.count_event("once_replay");
        send_kept_answer(host, call, replay->m_answer);
    }
    else
    {
        host.m_metrics.count_event("once_join");
        call.m_is_joined_copy = true;
    }
    return deduplicate_result::handled;
}

} // namespace

deduplicate_result deduplicate_call(entry_host& host, active_call& call)
{
    bool const is_keyed = call.m_accepted.m_once_key.has_value() &&
                          call.m_classified.m_kind->m_execution ==
                              core::execution_rule::at_most_once;
    // Before a request reaches the owner, its home has checked the key.
    bool const is_checked_by_home =
        call.m_origin == call_origin::forwarded_to_owner ||
        call.m_origin == call_origin::spilled;
    if (!is_keyed || is_checked_by_home)
    {
        return deduplicate_result::passed;
    }
    auto const key = core::parse_once_key(*call.m_accepted.m_once_key);
    if (!has_value(key))
    {
        fail_call(host, call, failure(key).m_code);
        return deduplicate_result::handled;
    }
    if (value(key).m_session.m_home != host.m_settings.m_name)
    {
        return forward_to_home(host, call, value(key));
    }
    return check_key_at_home(host, call, value(key));
}

void mark_key_dispatched(entry_host& host, active_call const& call)
{
    if (call.m_running_key)
    {
        core::mark_dispatched(*host.m_once_table, *call.m_running_key);
    }
}

void complete_key(entry_host& host, active_call& call, result_code code)
{
    if (!call.m_running_key)
    {
        return;
    }
    auto const key = *std::exchange(call.m_running_key, std::nullopt);
    auto const copies = info(code).m_execution == execution::not_run
                            ? core::release_key(*host.m_once_table, key)
                            : core::finish_request(*host.m_once_table, key,
                                                   std::nullopt, code, now());
    for (auto const id : copies)
    {
        if (auto* copy = find_call(host, id))
        {
            copy->m_is_joined_copy = false;
            fail_call(host, *copy, code);
        }
    }
}

void complete_key_with_answer(entry_host& host, active_call& call)
{
    if (!call.m_running_key)
    {
        return;
    }
    auto const key = *std::exchange(call.m_running_key, std::nullopt);
    auto kept_answer =
        call.m_is_answer_kept ? std::move(call.m_kept_answer) : std::nullopt;
    auto const copies =
        core::finish_request(*host.m_once_table, key, kept_answer,
                             result_code::answer_not_kept, now());
    for (auto const id : copies)
    {
        auto* copy = find_call(host, id);
        if (copy == nullptr)
        {
            continue;
        }
        if (kept_answer)
        {
            send_kept_answer(host, *copy, *kept_answer);
        }
        else
        {
            fail_call(host, *copy, result_code::answer_not_kept);
        }
    }
}

void remove_joined_call(entry_host& host, active_call& call)
{
    auto const key = core::parse_once_key(*call.m_accepted.m_once_key);
    if (has_value(key))
    {
        core::remove_copy(*host.m_once_table, value(key), call.m_id);
    }
}

} // namespace hawthornspur::serve
