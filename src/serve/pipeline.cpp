#include "serve/pipeline.hpp"

#include "serve/accept.hpp"
#include "serve/account.hpp"
#include "serve/admit.hpp"
#include "serve/classify.hpp"
#include "serve/deduplicate.hpp"
#include "serve/dispatch.hpp"
#include "serve/forwarding.hpp"
#include "serve/host.hpp"
#include "serve/limits.hpp"
#include "serve/membership_driver.hpp"
#include "serve/pools.hpp"
#include "serve/relay.hpp"

#include <cassert>
#include <utility>

namespace hawthornspur::serve
{

namespace
{

call& add_call(entry_host& h, call_origin origin, answer_sink sink)
{
    auto created = std::make_unique<call>();
    created->m_id = h.m_next_request;
    ++h.m_next_request.m_value;
    created->m_origin = origin;
    created->m_sink = std::move(sink);
    created->m_arrived = now();
    auto& c = *created;
    h.m_calls.emplace(c.m_id, std::move(created));
    return c;
}

/// Classify, deduplicate and admit. The call may have ended on return.
void run_filters(entry_host& h, call& c)
{
    if (!can_route(h))
    {
        fail_call(h, c, result_code::host_not_ready);
        return;
    }
    if (core::find_zone(*h.m_configuration.m_in_force, c.m_accepted.m_zone) ==
        nullptr)
    {
        // Routes are remembered by zone, so names that callers make up must
        // not reach the table.
        c.m_accepted.m_zone = h.m_settings.m_zone;
    }
    auto classified = classify_request(
        c.m_accepted, h.m_configuration.m_in_force, h.m_parts, c.m_arrived);
    if (!has_value(classified))
    {
        // Another host chose service and kind under a configuration that this
        // one does not have.
        bool const is_version_difference = !c.m_accepted.m_kind.empty();
        fail_call(h, c,
                  is_version_difference ? result_code::not_pool_owner
                                        : failure(classified).m_code);
        return;
    }
    c.m_accepted.m_service = value(classified).m_service->m_name;
    c.m_classified = take(std::move(classified));
    if (deduplicate_call(h, c) == deduplicate_result::passed)
    {
        admit_call(h, c);
    }
}

} // namespace

call* find_call(entry_host& h, core::request_id id) noexcept
{
    auto const found = h.m_calls.find(id);
    return found == h.m_calls.end() ? nullptr : found->second.get();
}

void start_call(entry_host& h, net::http_request request, answer_sink sink,
                core::request_id& id_out)
{
    auto& c = add_call(h, call_origin::caller, std::move(sink));
    id_out = c.m_id;
    auto accepted = h.m_adapter.m_caller_interface.m_accept(std::move(request));
    if (!has_value(accepted))
    {
        fail_call(h, c, failure(accepted).m_code);
        return;
    }
    c.m_accepted = take(std::move(accepted));
    run_filters(h, c);
}

void start_forwarded_call(entry_host& h, call_origin origin,
                          net::forward_request const& head, std::string body,
                          answer_sink sink, core::request_id& id_out)
{
    auto& c = add_call(h, origin, std::move(sink));
    id_out = c.m_id;
    c.m_hops = head.m_hops;
    auto& accepted = c.m_accepted;
    accepted.m_request = {head.m_method, head.m_uri, head.m_headers,
                          std::move(body)};
    accepted.m_request_id = head.m_request_id;
    accepted.m_kind = head.m_kind;
    accepted.m_service = head.m_service;
    accepted.m_zone = head.m_zone;
    accepted.m_time_left = head.m_time_left;
    accepted.m_earlier_attempts = head.m_earlier_attempts;
    if (!head.m_once_key.empty())
    {
        accepted.m_once_key = head.m_once_key;
    }
    run_filters(h, c);
}

void on_receiver_gone(entry_host& h, core::request_id id)
{
    auto* c = find_call(h, id);
    if (c == nullptr)
    {
        return;
    }
    c->m_is_receiver_gone = true;
    c->m_sink = {};
    if (c->m_key)
    {
        // Other copies of the request may wait for the answer or ask for it
        // later, so the first one is carried through.
        resume_reading(h, *c);
        return;
    }
    if (c->m_is_joined)
    {
        leave_joined_call(h, *c);
    }
    bool const was_forwarded = c->m_forwarded.has_value();
    if (was_forwarded)
    {
        cancel_forward(h, *c);
    }
    bool const was_dispatched =
        was_forwarded ||
        cancel_in_pool(h, *c) == core::cancel_result::after_dispatch;
    end_call(h, *c,
             was_dispatched ? result_code::cancelled_after_dispatch
                            : result_code::cancelled_before_dispatch);
}

void on_receiver_drained(entry_host& h, core::request_id id)
{
    if (auto* c = find_call(h, id))
    {
        resume_reading(h, *c);
    }
}

namespace
{

/// When the caller of a refused call may come back. A host that forwarded the
/// request passes on what the owner of the pool said.
core::duration retry_after_delay(entry_host& h, call const& c)
{
    if (c.m_retry_after > core::duration(0))
    {
        return c.m_retry_after;
    }
    auto const* hosted = find_pool(h, c.m_pool);
    auto const kind =
        hosted == nullptr || c.m_classified.m_kind == nullptr
            ? std::nullopt
            : core::find_kind(*hosted->m_pool, c.m_classified.m_kind->m_name);
    return kind ? core::retry_after_delay(*hosted->m_pool, *kind, now())
                : elsewhere_delay;
}

} // namespace

void fail_call(entry_host& h, call& c, result_code code)
{
    settle_key(h, c, code);
    if (c.m_sink.m_fail)
    {
        c.m_sink.m_fail(code, retry_after_delay(h, c));
    }
    end_call(h, c, code);
}

} // namespace hawthornspur::serve
