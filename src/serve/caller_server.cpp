#include "serve/caller_server.hpp"

#include "net/http_refusal.hpp"
#include "serve/address_answer.hpp"
#include "serve/host.hpp"
#include "serve/limits.hpp"
#include "serve/membership_driver.hpp"
#include "serve/pipeline.hpp"

#include <memory>
#include <utility>

namespace hawthornspur::serve
{

namespace
{

using exchange_ptr = std::shared_ptr<net::http_exchange>;

constexpr int status_unavailable = 503;

/// A leaving host closes kept connections, so that callers ask for addresses
/// anew and no request is lost when the process ends.
void close_when_leaving(entry_host const& h, net::http_response_head& head)
{
    if (h.m_stop_stage != stop_stage::running)
    {
        net::set_header(head.m_headers, "Connection", "close");
    }
}

answer_sink make_sink(entry_host& h, exchange_ptr const& exchange)
{
    answer_sink sink;
    sink.m_start = [&h, exchange](net::http_response_head head,
                                  std::optional<std::uint64_t> length)
    {
        close_when_leaving(h, head);
        exchange->start(head, length);
    };
    sink.m_write = [exchange](std::string_view data)
    {
        exchange->write(data);
    };
    sink.m_end = [exchange]
    {
        exchange->end();
    };
    sink.m_fail = [&h, exchange](result_code code, core::duration retry_after)
    {
        if (exchange->is_started())
        {
            exchange->abort();
            return;
        }
        auto refusal = net::make_refusal(code);
        close_when_leaving(h, refusal.m_head);
        if (refusal.m_head.m_status == status_unavailable &&
            info(code).m_execution == execution::not_run)
        {
            h.m_adapter.m_caller_interface.m_add_retry_after(
                refusal.m_head.m_headers, retry_after);
        }
        exchange->reply(refusal.m_head, refusal.m_body);
    };
    sink.m_buffered = [exchange]
    {
        return exchange->buffered_bytes();
    };
    return sink;
}

void on_request(entry_host& h, net::http_request request,
                exchange_ptr const& exchange)
{
    begin_pass(h);
    if (h.m_stop_stage == stop_stage::finishing ||
        h.m_stop_stage == stop_stage::finished)
    {
        // It might not be answered before the process ends.
        auto refusal = net::make_refusal(result_code::host_leaving);
        close_when_leaving(h, refusal.m_head);
        h.m_adapter.m_caller_interface.m_add_retry_after(
            refusal.m_head.m_headers, elsewhere_delay);
        exchange->reply(refusal.m_head, refusal.m_body);
        return;
    }
    if (request.m_uri.starts_with(address_path))
    {
        answer_addresses(h, request, *exchange);
        return;
    }
    auto const id = std::make_shared<core::request_id>();
    exchange->set_on_closed([&h, id] { on_receiver_gone(h, *id); });
    exchange->set_on_drained([&h, id] { on_receiver_drained(h, *id); });
    start_call(h, std::move(request), make_sink(h, exchange), *id);
}

} // namespace

status open_caller_server(entry_host& h)
{
    net::http_server_settings settings;
    settings.m_address = h.m_settings.m_callers.m_address;
    settings.m_port = h.m_settings.m_callers.m_port;
    settings.m_max_headers_bytes = h.m_settings.m_max_headers_bytes;
    settings.m_max_connections = h.m_settings.m_max_connections;
    auto server = net::http_server::create(
        *h.m_loop, settings,
        [&h](net::http_request request, exchange_ptr const& exchange)
        { on_request(h, std::move(request), exchange); });
    if (!has_value(server))
    {
        return failure(server);
    }
    h.m_caller_server = take(std::move(server));
    return success();
}

} // namespace hawthornspur::serve
