#include "serve/relay.hpp"

#include "serve/forwarding.hpp"
#include "serve/host.hpp"
#include "serve/limits.hpp"

#include <algorithm>
#include <cassert>
#include <utility>

namespace hawthornspur::serve
{

namespace
{

void remove_internal_headers(entry_host const& host, net::http_headers& headers)
{
    net::remove_hop_by_hop_headers(headers);
    host.m_adapter.m_caller_interface.m_remove_signal_headers(headers);
    net::remove_header(headers, "Content-Length");
}

} // namespace

std::size_t max_buffered_bytes(entry_host const& host)
{
    return std::clamp(limits::max_buffered_bytes_of_all /
                          std::max<std::size_t>(1, host.m_calls.size()),
                      limits::min_buffered_answer_bytes,
                      limits::max_buffered_answer_bytes);
}

void keep_answer_data(active_call& call, std::string_view data)
{
    if (!call.m_is_answer_kept)
    {
        return;
    }
    if (call.m_kept_answer->m_body.size() + data.size() >
        limits::max_kept_answer_bytes)
    {
        call.m_is_answer_kept = false;
        call.m_kept_answer.reset();
        return;
    }
    call.m_kept_answer->m_body += data;
}

void start_relay(entry_host& host, active_call& call,
                 core::attempt_number number)
{
    auto& attempt = call.m_attempts.at(number);
    assert(attempt.m_head.has_value());
    call.m_relayed_attempt = number;
    call.m_is_answer_started = true;
    auto head = *std::exchange(attempt.m_head, std::nullopt);
    remove_internal_headers(host, head.m_headers);
    if (call.m_running_key)
    {
        call.m_is_answer_kept = true;
        call.m_kept_answer =
            core::kept_answer{head.m_status, head.m_headers, {}};
    }
    if (call.m_sink.m_start)
    {
        call.m_sink.m_start(std::move(head), attempt.m_length);
    }
}

void relay_data(entry_host& host, core::request_id id,
                core::attempt_number number, std::string_view data)
{
    auto* call = find_call(host, id);
    if (call == nullptr || call->m_relayed_attempt != number)
    {
        return;
    }
    keep_answer_data(*call, data);
    if (!call->m_sink.m_write)
    {
        return;
    }
    call->m_sink.m_write(data);
    if (call->m_sink.m_buffered_bytes() > max_buffered_bytes(host))
    {
        host.m_http_client->set_reading(
            call->m_attempts.at(number).m_exchange_id, false);
    }
}

void resume_reading(entry_host& host, active_call& call)
{
    if (call.m_forward)
    {
        grant_window(host, call);
        return;
    }
    auto const found = call.m_attempts.find(call.m_relayed_attempt);
    if (found != call.m_attempts.end())
    {
        host.m_http_client->set_reading(found->second.m_exchange_id, true);
    }
}

} // namespace hawthornspur::serve
