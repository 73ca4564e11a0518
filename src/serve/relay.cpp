#include "serve/relay.hpp"

#include "serve/forwarding.hpp"
#include "serve/host.hpp"
#include "serve/limits.hpp"

#include <cassert>
#include <utility>

namespace hawthornspur::serve
{

namespace
{

void remove_own_headers(entry_host const& h, net::http_headers& list)
{
    net::remove_hop_by_hop_headers(list);
    h.m_adapter.m_caller_interface.m_remove_signal_headers(list);
    net::remove_header(list, "Content-Length");
}

} // namespace

void keep_answer_data(call& c, std::string_view data)
{
    if (!c.m_keeps_answer)
    {
        return;
    }
    if (c.m_kept->m_body.size() + data.size() > limits::kept_answer_bytes)
    {
        c.m_keeps_answer = false;
        c.m_kept.reset();
        return;
    }
    c.m_kept->m_body += data;
}

void start_relay(entry_host& h, call& c, core::attempt_number number)
{
    auto& attempt = c.m_attempts.at(number);
    assert(attempt.m_head.has_value());
    c.m_relayed_attempt = number;
    c.m_is_answer_started = true;
    auto head = *std::exchange(attempt.m_head, std::nullopt);
    remove_own_headers(h, head.m_headers);
    if (c.m_key)
    {
        c.m_keeps_answer = true;
        c.m_kept = core::kept_answer{head.m_status, head.m_headers, {}};
    }
    if (c.m_sink.m_start)
    {
        c.m_sink.m_start(std::move(head), attempt.m_length);
    }
}

void relay_data(entry_host& h, core::request_id id, core::attempt_number number,
                std::string_view data)
{
    auto* c = find_call(h, id);
    if (c == nullptr || c->m_relayed_attempt != number)
    {
        return;
    }
    keep_answer_data(*c, data);
    if (!c->m_sink.m_write)
    {
        return;
    }
    c->m_sink.m_write(data);
    if (c->m_sink.m_buffered() > limits::buffered_answer_bytes)
    {
        h.m_client->set_reading(c->m_attempts.at(number).m_exchange, false);
    }
}

void resume_reading(entry_host& h, call& c)
{
    if (c.m_forwarded)
    {
        grant_window(h, c);
        return;
    }
    auto const found = c.m_attempts.find(c.m_relayed_attempt);
    if (found != c.m_attempts.end())
    {
        h.m_client->set_reading(found->second.m_exchange, true);
    }
}

} // namespace hawthornspur::serve
