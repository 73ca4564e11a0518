#include "serve/incoming_forwards.hpp"

#include "serve/host.hpp"
#include "serve/limits.hpp"
#include "serve/pipeline.hpp"

#include <algorithm>
#include <utility>
#include <vector>

namespace hawthornspur::serve
{

namespace
{

/// Bodies above this are refused before they are held.
constexpr std::uint64_t max_forwarded_body_bytes = std::uint64_t{64} << 20U;

void send_refusal(entry_host& h, incoming_id const& id, result_code code,
                  core::duration retry_after = core::duration(0))
{
    static_cast<void>(h.m_peer_network->send(
        id.first, net::refusal{id.second, code, retry_after}));
}

/// A piece of the answer could not be queued: the answer must not look whole
/// to the receiver. If the refusal cannot be queued either, the receiver gives
/// up at the deadline.
void break_answer(entry_host& h, incoming_id const& id)
{
    auto const call_id = h.m_outgoing.at(id).m_call;
    h.m_outgoing.erase(id);
    h.m_metrics.count_event("answer_broken_by_full_link");
    send_refusal(h, id, result_code::peer_link_lost);
    // The call may be the one that is writing just now.
    h.m_loop->post([&h, call_id] { on_receiver_gone(h, call_id); });
}

/// Sends as much of the pending answer as the window allows.
void flush_answer(entry_host& h, incoming_id const& id)
{
    auto const found = h.m_outgoing.find(id);
    if (found == h.m_outgoing.end())
    {
        return;
    }
    auto& answer = found->second;
    auto const size =
        std::min<std::size_t>(answer.m_credit, answer.m_pending.size());
    if (size > 0)
    {
        auto const sent = h.m_peer_network->send(
            id.first,
            net::answer_chunk{id.second, answer.m_pending.substr(0, size)});
        if (!has_value(sent))
        {
            break_answer(h, id);
            return;
        }
        answer.m_pending.erase(0, size);
        answer.m_credit -= static_cast<std::uint32_t>(size);
    }
    if (!answer.m_pending.empty())
    {
        return;
    }
    if (answer.m_ended)
    {
        h.m_outgoing.erase(found);
        static_cast<void>(
            h.m_peer_network->send(id.first, net::answer_end{id.second}));
        return;
    }
    if (size > 0)
    {
        on_receiver_drained(h, answer.m_call);
    }
}

answer_sink make_sink(entry_host& h, incoming_id const& id)
{
    answer_sink sink;
    sink.m_start = [&h, id](net::http_response_head head,
                            std::optional<std::uint64_t> length)
    {
        static_cast<void>(h.m_peer_network->send(
            id.first, net::answer_head{id.second, std::move(head), length}));
    };
    sink.m_write = [&h, id](std::string_view data)
    {
        auto const found = h.m_outgoing.find(id);
        if (found != h.m_outgoing.end())
        {
            found->second.m_pending += data;
            flush_answer(h, id);
        }
    };
    sink.m_end = [&h, id]
    {
        auto const found = h.m_outgoing.find(id);
        if (found != h.m_outgoing.end())
        {
            found->second.m_ended = true;
            flush_answer(h, id);
        }
    };
    sink.m_fail = [&h, id](result_code code, core::duration retry_after)
    {
        h.m_outgoing.erase(id);
        send_refusal(h, id, code, retry_after);
    };
    sink.m_buffered = [&h, id]() -> std::size_t
    {
        auto const found = h.m_outgoing.find(id);
        return found == h.m_outgoing.end() ? 0 : found->second.m_pending.size();
    };
    return sink;
}

call_origin origin_of(net::forward_purpose purpose)
{
    switch (purpose)
    {
    case net::forward_purpose::to_owner:
        return call_origin::forwarded_to_owner;
    case net::forward_purpose::spill:
        return call_origin::spilled;
    case net::forward_purpose::to_home:
        break;
    }
    return call_origin::forwarded_to_home;
}

void start(entry_host& h, incoming_id const& id, incoming_forward forward)
{
    auto& answer = h.m_outgoing[id];
    answer.m_credit = static_cast<std::uint32_t>(limits::buffered_answer_bytes);
    core::request_id call_id;
    start_forwarded_call(h, origin_of(forward.m_head.m_purpose), forward.m_head,
                         std::move(forward.m_body), make_sink(h, id), call_id);
    auto const found = h.m_outgoing.find(id);
    if (found != h.m_outgoing.end())
    {
        found->second.m_call = call_id;
    }
}

} // namespace

void on_forward_request(entry_host& h, std::string const& from,
                        net::forward_request head)
{
    incoming_id const id{from, head.m_id};
    if (h.m_incoming.contains(id) || h.m_outgoing.contains(id))
    {
        h.m_metrics.count_event("duplicate_forward");
        return;
    }
    if (head.m_body_size > max_forwarded_body_bytes)
    {
        send_refusal(h, id, result_code::body_too_large);
        return;
    }
    if (head.m_body_size == 0)
    {
        start(h, id, {std::move(head), {}});
        return;
    }
    h.m_incoming.emplace(id, incoming_forward{std::move(head), {}});
}

void on_body_chunk(entry_host& h, std::string const& from,
                   net::body_chunk const& chunk)
{
    incoming_id const id{from, chunk.m_id};
    auto const found = h.m_incoming.find(id);
    if (found == h.m_incoming.end())
    {
        h.m_metrics.count_event("late_body_chunk");
        return;
    }
    auto& forward = found->second;
    forward.m_body += chunk.m_data;
    auto const announced = forward.m_head.m_body_size;
    if (forward.m_body.size() < announced)
    {
        return;
    }
    auto complete = std::move(forward);
    h.m_incoming.erase(found);
    if (complete.m_body.size() > announced)
    {
        send_refusal(h, id, result_code::malformed_request);
        return;
    }
    start(h, id, std::move(complete));
}

void on_cancel_request(entry_host& h, std::string const& from,
                       net::cancel_request const& cancel)
{
    incoming_id const id{from, cancel.m_id};
    h.m_incoming.erase(id);
    auto const found = h.m_outgoing.find(id);
    if (found == h.m_outgoing.end())
    {
        return;
    }
    auto const call_id = found->second.m_call;
    h.m_outgoing.erase(found);
    on_receiver_gone(h, call_id);
}

void on_window_update(entry_host& h, std::string const& from,
                      net::window_update const& update)
{
    incoming_id const id{from, update.m_id};
    auto const found = h.m_outgoing.find(id);
    if (found != h.m_outgoing.end())
    {
        found->second.m_credit += update.m_bytes;
        flush_answer(h, id);
    }
}

void on_incoming_link_down(entry_host& h, std::string const& peer)
{
    std::erase_if(h.m_incoming,
                  [&](auto const& entry) { return entry.first.first == peer; });
    std::vector<core::request_id> orphans;
    for (auto const& [id, answer] : h.m_outgoing)
    {
        if (id.first == peer)
        {
            orphans.push_back(answer.m_call);
        }
    }
    std::erase_if(h.m_outgoing,
                  [&](auto const& entry) { return entry.first.first == peer; });
    for (auto const call_id : orphans)
    {
        on_receiver_gone(h, call_id);
    }
}

} // namespace hawthornspur::serve
