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

/// Identifies a request, so that a key cannot be used for two different ones.
std::uint64_t fingerprint(net::http_request const& request)
{
    auto hash = XXH64(request.m_method.data(), request.m_method.size(), 0);
    hash = XXH64(request.m_uri.data(), request.m_uri.size(), hash);
    return XXH64(request.m_body.data(), request.m_body.size(), hash);
}

void answer_with(entry_host& h, call& c, core::kept_answer const& answer)
{
    if (c.m_sink.m_start)
    {
        net::http_response_head head{answer.m_status, answer.m_headers};
        c.m_sink.m_start(std::move(head), answer.m_body.size());
        c.m_sink.m_write(answer.m_body);
        c.m_sink.m_end();
    }
    end_call(h, c, result_code::ok);
}

deduplicate_result forward_to_home(entry_host& h, call& c,
                                   core::once_key const& key)
{
    auto const& home = key.m_session.m_home;
    auto const* record = core::find_host(h.m_routing, home);
    if (record != nullptr &&
        record->m_incarnation != key.m_session.m_incarnation)
    {
        fail_call(h, c, result_code::once_key_other_incarnation);
    }
    else if (c.m_origin != call_origin::caller)
    {
        fail_call(h, c, result_code::hop_limit_reached);
    }
    else if (!h.m_peer_network->is_linked(home))
    {
        fail_call(h, c, result_code::home_unreachable);
    }
    else
    {
        forward_call(h, c, home, net::forward_purpose::to_home);
    }
    return deduplicate_result::taken;
}

deduplicate_result decide_at_home(entry_host& h, call& c,
                                  core::once_key const& key)
{
    auto decision =
        core::begin_request(*h.m_once_table, key,
                            fingerprint(c.m_accepted.m_request), c.m_id, now());
    if (std::holds_alternative<core::once_run>(decision))
    {
        c.m_key = key;
        return deduplicate_result::passed;
    }
    if (auto const* refused = std::get_if<core::once_refuse>(&decision))
    {
        fail_call(h, c, refused->m_code);
    }
    else if (auto const* replay = std::get_if<core::once_replay>(&decision))
    {
        h.m_metrics.count_event("once_replay");
        answer_with(h, c, replay->m_answer);
    }
    else
    {
        h.m_metrics.count_event("once_join");
        c.m_is_joined = true;
    }
    return deduplicate_result::taken;
}

} // namespace

deduplicate_result deduplicate_call(entry_host& h, call& c)
{
    bool const is_keyed = c.m_accepted.m_once_key.has_value() &&
                          c.m_classified.m_kind->m_execution ==
                              core::execution_rule::at_most_once;
    // The home has decided already when a request comes to the owner.
    bool const is_decided = c.m_origin == call_origin::forwarded_to_owner ||
                            c.m_origin == call_origin::spilled;
    if (!is_keyed || is_decided)
    {
        return deduplicate_result::passed;
    }
    auto const key = core::parse_once_key(*c.m_accepted.m_once_key);
    if (!has_value(key))
    {
        fail_call(h, c, failure(key).m_code);
        return deduplicate_result::taken;
    }
    if (value(key).m_session.m_home != h.m_settings.m_name)
    {
        return forward_to_home(h, c, value(key));
    }
    return decide_at_home(h, c, value(key));
}

void mark_key_dispatched(entry_host& h, call const& c)
{
    if (c.m_key)
    {
        core::mark_dispatched(*h.m_once_table, *c.m_key);
    }
}

void settle_key(entry_host& h, call& c, result_code code)
{
    if (!c.m_key)
    {
        return;
    }
    auto const key = *std::exchange(c.m_key, std::nullopt);
    auto const waiting = info(code).m_execution == execution::not_run
                             ? core::release_key(*h.m_once_table, key)
                             : core::finish_request(*h.m_once_table, key,
                                                    std::nullopt, code, now());
    for (auto const id : waiting)
    {
        if (auto* copy = find_call(h, id))
        {
            fail_call(h, *copy, code);
        }
    }
}

void settle_key_with_answer(entry_host& h, call& c)
{
    if (!c.m_key)
    {
        return;
    }
    auto const key = *std::exchange(c.m_key, std::nullopt);
    auto kept = c.m_keeps_answer ? std::move(c.m_kept) : std::nullopt;
    auto const waiting = core::finish_request(
        *h.m_once_table, key, kept, result_code::answer_not_kept, now());
    for (auto const id : waiting)
    {
        auto* copy = find_call(h, id);
        if (copy == nullptr)
        {
            continue;
        }
        if (kept)
        {
            answer_with(h, *copy, *kept);
        }
        else
        {
            fail_call(h, *copy, result_code::answer_not_kept);
        }
    }
}

void leave_joined_call(entry_host& h, call& c)
{
    auto const key = core::parse_once_key(*c.m_accepted.m_once_key);
    if (has_value(key))
    {
        core::remove_copy(*h.m_once_table, value(key), c.m_id);
    }
}

} // namespace hawthornspur::serve
