#include "serve/incoming_forwards.hpp"

#include "base/logging.hpp"
#include "serve/forwarding.hpp"
#include "serve/host.hpp"
#include "serve/limits.hpp"
#include "serve/pipeline.hpp"
#include "serve/relay.hpp"

#include <algorithm>
#include <iterator>
#include <utility>
#include <vector>

namespace hawthornspur::serve
{

namespace
{

void send_refusal(entry_host& host, incoming_forward_id const& id,
                  result_code code,
                  core::duration retry_after = core::duration(0),
                  net::attempt_record attempts = {})
{
    static_cast<void>(host.m_peer_network->send(
        id.first,
        net::refusal{id.second, code, retry_after, std::move(attempts)}));
}

/// Aborts an answer of which a part could not be queued, so that the receiver
/// does not treat it as complete. If the refusal cannot be queued either, the
/// receiver fails the call at its deadline.
void abort_answer(entry_host& host, incoming_forward_id const& id)
{
    auto const call_id = host.m_outgoing_answers.at(id).m_call_id;
    host.m_outgoing_answers.erase(id);
    host.m_metrics.count_event("answer_broken_by_full_link");
    send_refusal(host, id, result_code::peer_link_lost);
    // Deferred, since this may be called while the call writes its answer.
    host.m_loop->post([&host, call_id] { on_receiver_closed(host, call_id); });
}

/// Sends as much of the pending answer as the window allows.
void flush_answer(entry_host& host, incoming_forward_id const& id)
{
    auto const found = host.m_outgoing_answers.find(id);
    if (found == host.m_outgoing_answers.end())
    {
        return;
    }
    auto& answer = found->second;
    auto const size = std::min<std::size_t>(answer.m_send_window,
                                            answer.m_pending_data.size());
    if (size > 0)
    {
        auto const sent = host.m_peer_network->send(
            id.first, net::answer_chunk{id.second,
                                        answer.m_pending_data.substr(0, size)});
        if (!has_value(sent))
        {
            abort_answer(host, id);
            return;
        }
        answer.m_pending_data.erase(0, size);
        answer.m_send_window -= static_cast<std::uint32_t>(size);
    }
    if (!answer.m_pending_data.empty())
    {
        return;
    }
    if (answer.m_is_complete)
    {
        host.m_outgoing_answers.erase(found);
        static_cast<void>(
            host.m_peer_network->send(id.first, net::answer_end{id.second}));
        return;
    }
    if (size > 0)
    {
        on_receiver_drained(host, answer.m_call_id);
    }
}

answer_sink make_sink(entry_host& host, incoming_forward_id const& id)
{
    answer_sink sink;
    sink.m_start = [&host, id](net::http_response_head head,
                               std::optional<std::uint64_t> length)
    {
        static_cast<void>(host.m_peer_network->send(
            id.first, net::answer_head{id.second, std::move(head), length}));
    };
    sink.m_write = [&host, id](std::string_view data)
    {
        auto const found = host.m_outgoing_answers.find(id);
        if (found != host.m_outgoing_answers.end())
        {
            found->second.m_pending_data += data;
            flush_answer(host, id);
        }
    };
    sink.m_end = [&host, id]
    {
        auto const found = host.m_outgoing_answers.find(id);
        if (found != host.m_outgoing_answers.end())
        {
            found->second.m_is_complete = true;
            flush_answer(host, id);
        }
    };
    sink.m_fail = [&host, id](result_code code, core::duration retry_after)
    {
        net::attempt_record attempts;
        auto const answer = host.m_outgoing_answers.find(id);
        if (answer != host.m_outgoing_answers.end())
        {
            // Without a call, it failed before it could be sent to a target.
            if (auto const* call = find_call(host, answer->second.m_call_id))
            {
                attempts = all_attempts(*call);
            }
            host.m_outgoing_answers.erase(answer);
        }
        send_refusal(host, id, code, retry_after, std::move(attempts));
    };
    sink.m_buffered_bytes = [&host, id]() -> std::size_t
    {
        auto const found = host.m_outgoing_answers.find(id);
        return found == host.m_outgoing_answers.end()
                   ? 0
                   : found->second.m_pending_data.size();
    };
    return sink;
}

void log_lost_sender(entry_host& host, core::request_id id,
                     std::string const& peer)
{
    auto const* call = find_call(host, id);
    if (call == nullptr)
    {
        return;
    }
    logging::write(
        logging::level::warn, "serve.forwarding",
        "link down to the sender of a request",
        {{"request_id", call->m_accepted.m_request_id},
         {"host", peer},
         {"attempts", std::to_string(call->m_attempts.size())},
         {"is_answer_started", call->m_is_answer_started ? "yes" : "no"}});
}

call_origin to_call_origin(net::forward_purpose purpose)
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

void start_incoming_call(entry_host& host, incoming_forward_id const& id,
                         incoming_forward forward)
{
    auto& answer = host.m_outgoing_answers[id];
    answer.m_send_window = static_cast<std::uint32_t>(max_buffered_bytes(host));
    core::request_id call_id;
    start_forwarded_call(host, to_call_origin(forward.m_head.m_purpose),
                         forward.m_head, std::move(forward.m_body),
                         make_sink(host, id), call_id);
    auto const found = host.m_outgoing_answers.find(id);
    if (found != host.m_outgoing_answers.end())
    {
        found->second.m_call_id = call_id;
    }
}

} // namespace

void on_forward_request(entry_host& host, std::string const& from,
                        net::forward_request head)
{
    incoming_forward_id const id{from, head.m_id};
    if (host.m_incoming_forwards.contains(id) ||
        host.m_outgoing_answers.contains(id))
    {
        host.m_metrics.count_event("duplicate_forward");
        return;
    }
    if (host.m_stop_stage == stop_stage::finished)
    {
        // The process may end before the body has arrived.
        send_refusal(host, id, result_code::host_leaving);
        return;
    }
    if (head.m_body_size > limits::max_request_body_bytes)
    {
        send_refusal(host, id, result_code::body_too_large);
        return;
    }
    if (head.m_body_size == 0)
    {
        start_incoming_call(host, id, {std::move(head), {}});
        return;
    }
    host.m_incoming_forwards.emplace(id, incoming_forward{std::move(head), {}});
}

void on_body_chunk(entry_host& host, std::string const& from,
                   net::body_chunk const& chunk)
{
    incoming_forward_id const id{from, chunk.m_id};
    auto const found = host.m_incoming_forwards.find(id);
    if (found == host.m_incoming_forwards.end())
    {
        host.m_metrics.count_event("late_body_chunk");
        return;
    }
    auto& forward = found->second;
    forward.m_body += chunk.m_data;
    auto const announced = forward.m_head.m_body_size;
    if (forward.m_body.size() < announced)
    {
        return;
    }
    auto complete_forward = std::move(forward);
    host.m_incoming_forwards.erase(found);
    if (complete_forward.m_body.size() > announced)
    {
        send_refusal(host, id, result_code::malformed_request);
        return;
    }
    start_incoming_call(host, id, std::move(complete_forward));
}

void on_cancel_request(entry_host& host, std::string const& from,
                       net::cancel_request const& cancel)
{
    incoming_forward_id const id{from, cancel.m_id};
    host.m_incoming_forwards.erase(id);
    auto const found = host.m_outgoing_answers.find(id);
    if (found == host.m_outgoing_answers.end())
    {
        return;
    }
    auto const call_id = found->second.m_call_id;
    host.m_outgoing_answers.erase(found);
    on_receiver_closed(host, call_id);
}

void on_window_update(entry_host& host, std::string const& from,
                      net::window_update const& update)
{
    incoming_forward_id const id{from, update.m_id};
    auto const found = host.m_outgoing_answers.find(id);
    if (found != host.m_outgoing_answers.end())
    {
        found->second.m_send_window += update.m_bytes;
        flush_answer(host, id);
    }
}

std::size_t count_calls_from(entry_host const& host, std::string const& peer)
{
    // Both maps are ordered by the sending host.
    auto const count = [&](auto const& calls)
    {
        auto const is_from_peer = [&](auto const& entry)
        {
            return entry.first.first == peer;
        };
        auto const first = calls.lower_bound({peer, net::forward_id{0}});
        auto const last = std::find_if_not(first, calls.end(), is_from_peer);
        return static_cast<std::size_t>(std::distance(first, last));
    };
    return count(host.m_incoming_forwards) + count(host.m_outgoing_answers);
}

void on_incoming_link_down(entry_host& host, std::string const& peer)
{
    std::erase_if(host.m_incoming_forwards,
                  [&](auto const& entry) { return entry.first.first == peer; });
    std::vector<core::request_id> cancelled_calls;
    for (auto const& [id, answer] : host.m_outgoing_answers)
    {
        if (id.first == peer)
        {
            cancelled_calls.push_back(answer.m_call_id);
        }
    }
    std::erase_if(host.m_outgoing_answers,
                  [&](auto const& entry) { return entry.first.first == peer; });
    for (auto const call_id : cancelled_calls)
    {
        log_lost_sender(host, call_id, peer);
        on_receiver_closed(host, call_id);
    }
}

} // namespace hawthornspur::serve
