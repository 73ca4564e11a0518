#include "serve/forwarding.hpp"

#include "core/retry_budget.hpp"
#include "serve/account.hpp"
#include "serve/admit.hpp"
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

/// caller -> entry host -> home -> owner -> owner in another zone.
constexpr int max_hops = 3;

/// The owner answers at the deadline itself; its refusal needs this long to
/// arrive before the forwarding host gives up.
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

net::forward_request make_head(call const& c, net::forward_purpose purpose,
                               std::string const& zone, net::forward_id id)
{
    net::forward_request head;
    auto const& accepted = c.m_accepted;
    head.m_id = id;
    head.m_purpose = purpose;
    head.m_service = accepted.m_service;
    head.m_zone = zone;
    head.m_kind = c.m_classified.m_kind->m_name;
    head.m_generation = c.m_classified.m_configuration->m_generation;
    head.m_time_left = c.m_classified.m_deadline - now();
    head.m_once_key = accepted.m_once_key.value_or("");
    head.m_earlier_attempts = accepted.m_earlier_attempts;
    head.m_hops = c.m_hops + 1;
    head.m_method = accepted.m_request.m_method;
    head.m_uri = accepted.m_request.m_uri;
    head.m_headers = accepted.m_request.m_headers;
    head.m_body_size = accepted.m_request.m_body.size();
    head.m_request_id = accepted.m_request_id;
    return head;
}

std::string zone_for(call const& c, net::forward_purpose purpose,
                     std::string const& zone)
{
    if (!zone.empty())
    {
        return zone;
    }
    return purpose == net::forward_purpose::to_home ? c.m_accepted.m_zone
                                                    : c.m_pool.m_zone;
}

/// The call that a message of a peer belongs to, or null for a late, crossed
/// or repeated one.
call* find_forwarded(entry_host& h, std::string const& from, net::forward_id id)
{
    auto const found = h.m_forwards.find(id);
    auto* c =
        found == h.m_forwards.end() ? nullptr : find_call(h, found->second);
    if (c == nullptr || !c->m_forwarded || c->m_forwarded->m_host != from ||
        c->m_forwarded->m_id != id)
    {
        h.m_metrics.count_event("late_forward_answer");
        return nullptr;
    }
    return c;
}

forwarded_call take_forward(entry_host& h, call& c)
{
    auto forwarded = *std::exchange(c.m_forwarded, std::nullopt);
    h.m_forwards.erase(forwarded.m_id);
    return forwarded;
}

/// Whether another host may run a request that this one refused.
bool is_refused_by_host(result_code code)
{
    return code == result_code::host_leaving ||
           code == result_code::host_not_ready ||
           code == result_code::host_paused ||
           code == result_code::not_pool_owner;
}

void route_anew(entry_host& h, call& c, std::string const& failed,
                std::string_view reason)
{
    h.m_metrics.count_forward(reason);
    c.m_excluded_hosts.push_back(failed);
    admit_call(h, c);
}

void settle_lost_forward(entry_host& h, call& c,
                         forwarded_call const& forwarded)
{
    if (c.m_is_answer_started)
    {
        fail_call(h, c, result_code::peer_link_lost);
        return;
    }
    if (forwarded.m_purpose == net::forward_purpose::to_home)
    {
        fail_call(h, c, result_code::home_gone);
        return;
    }
    bool const may_repeat =
        c.m_classified.m_kind->m_execution ==
            core::execution_rule::idempotent &&
        c.m_classified.m_deadline > now() &&
        core::try_spend(budgets_of(h, c.m_accepted.m_service).m_retry);
    if (!may_repeat)
    {
        fail_call(h, c, result_code::peer_link_lost);
        return;
    }
    if (forwarded.m_purpose == net::forward_purpose::spill)
    {
        h.m_metrics.count_forward("retry_after_link_loss");
        return_spilled_call(h, c);
        return;
    }
    route_anew(h, c, forwarded.m_host, "retry_after_link_loss");
}

} // namespace

bool forward_call(entry_host& h, call& c, std::string const& to,
                  net::forward_purpose purpose, std::string const& zone)
{
    bool const is_spill = purpose == net::forward_purpose::spill;
    if (c.m_hops + 1 > max_hops)
    {
        if (!is_spill)
        {
            fail_call(h, c, result_code::hop_limit_reached);
        }
        return false;
    }
    auto const id = h.m_next_forward++;
    auto const head = make_head(c, purpose, zone_for(c, purpose, zone), id);
    if (!has_value(h.m_peer_network->send(to, head)))
    {
        if (purpose == net::forward_purpose::to_home)
        {
            fail_call(h, c, result_code::home_unreachable);
        }
        else if (!is_spill)
        {
            route_anew(h, c, to, "retry_after_send_failure");
        }
        return false;
    }
    h.m_metrics.count_forward(to_string(purpose));
    mark_key_dispatched(h, c);
    c.m_forwarded = forwarded_call{to, id, purpose, 0};
    h.m_forwards[id] = c.m_id;
    auto const& body = c.m_accepted.m_request.m_body;
    if (!body.empty() &&
        !has_value(h.m_peer_network->send(to, net::body_chunk{id, body})))
    {
        // The other host starts a request only with its whole body, so this
        // one has not run.
        cancel_forward(h, c);
        fail_call(h, c, result_code::owner_unreachable);
        return true;
    }
    return true;
}

void cancel_forward(entry_host& h, call& c)
{
    auto const forwarded = take_forward(h, c);
    forget_spilled_call(h, c);
    static_cast<void>(h.m_peer_network->send(
        forwarded.m_host, net::cancel_request{forwarded.m_id}));
}

void grant_window(entry_host& h, call& c)
{
    auto& forwarded = *c.m_forwarded;
    auto const bytes = std::exchange(forwarded.m_ungranted, 0);
    if (bytes > 0)
    {
        static_cast<void>(h.m_peer_network->send(
            forwarded.m_host, net::window_update{forwarded.m_id, bytes}));
    }
}

void on_answer_head(entry_host& h, std::string const& from,
                    net::answer_head head)
{
    auto* c = find_forwarded(h, from, head.m_id);
    if (c == nullptr || c->m_is_answer_started)
    {
        return;
    }
    c->m_is_answer_started = true;
    forget_spilled_call(h, *c);
    if (c->m_key)
    {
        c->m_keeps_answer = true;
        c->m_kept =
            core::kept_answer{head.m_head.m_status, head.m_head.m_headers, {}};
    }
    if (c->m_sink.m_start)
    {
        c->m_sink.m_start(std::move(head.m_head), head.m_length);
    }
}

void on_answer_chunk(entry_host& h, std::string const& from,
                     net::answer_chunk const& chunk)
{
    auto* c = find_forwarded(h, from, chunk.m_id);
    if (c == nullptr || !c->m_is_answer_started)
    {
        return;
    }
    keep_answer_data(*c, chunk.m_data);
    c->m_forwarded->m_ungranted +=
        static_cast<std::uint32_t>(chunk.m_data.size());
    if (c->m_sink.m_write)
    {
        c->m_sink.m_write(chunk.m_data);
    }
    if (!c->m_sink.m_buffered ||
        c->m_sink.m_buffered() <= limits::buffered_answer_bytes)
    {
        grant_window(h, *c);
    }
}

void on_answer_end(entry_host& h, std::string const& from,
                   net::answer_end const& end)
{
    auto* c = find_forwarded(h, from, end.m_id);
    if (c == nullptr || !c->m_is_answer_started)
    {
        return;
    }
    static_cast<void>(take_forward(h, *c));
    if (c->m_sink.m_end)
    {
        c->m_sink.m_end();
    }
    core::earn(budgets_of(h, c->m_accepted.m_service).m_retry);
    settle_key_with_answer(h, *c);
    end_call(h, *c, result_code::ok);
}

void on_refusal(entry_host& h, std::string const& from,
                net::refusal const& refusal)
{
    auto* c = find_forwarded(h, from, refusal.m_id);
    if (c == nullptr)
    {
        return;
    }
    auto const forwarded = take_forward(h, *c);
    // Codes that callers never see are a fault of the peer; nothing is known
    // about the request then.
    auto const code = info(refusal.m_code).m_http_status == 0 ||
                              refusal.m_code == result_code::ok
                          ? result_code::peer_link_lost
                          : refusal.m_code;
    c->m_retry_after = refusal.m_retry_after;
    bool const did_not_run =
        !c->m_is_answer_started && info(code).m_execution == execution::not_run;
    if (did_not_run && forwarded.m_purpose == net::forward_purpose::spill)
    {
        h.m_metrics.count_forward("spill_returned");
        return_spilled_call(h, *c);
        return;
    }
    if (did_not_run && is_refused_by_host(code) &&
        forwarded.m_purpose == net::forward_purpose::to_owner)
    {
        route_anew(h, *c, from, "retry_after_host_refusal");
        return;
    }
    forget_spilled_call(h, *c);
    fail_call(h, *c, code);
}

void on_forward_link_down(entry_host& h, std::string const& peer)
{
    std::vector<core::request_id> lost;
    for (auto const& [id, request] : h.m_forwards)
    {
        auto* c = find_call(h, request);
        if (c != nullptr && c->m_forwarded && c->m_forwarded->m_host == peer)
        {
            lost.push_back(request);
        }
    }
    for (auto const request : lost)
    {
        auto* c = find_call(h, request);
        if (c != nullptr && c->m_forwarded)
        {
            auto const forwarded = take_forward(h, *c);
            settle_lost_forward(h, *c, forwarded);
        }
    }
}

void expire_forwards(entry_host& h)
{
    std::vector<core::request_id> late;
    for (auto const& [id, request] : h.m_forwards)
    {
        auto* c = find_call(h, request);
        if (c != nullptr && c->m_classified.m_deadline + deadline_grace < now())
        {
            late.push_back(request);
        }
    }
    for (auto const request : late)
    {
        if (auto* c = find_call(h, request))
        {
            cancel_forward(h, *c);
            fail_call(h, *c, result_code::deadline_passed_after_dispatch);
        }
    }
}

} // namespace hawthornspur::serve
