#include "serve/caller_server.hpp"

#include "core/connection_budget.hpp"
#include "net/descriptor_limit.hpp"
#include "net/http_refusal.hpp"
#include "serve/address_answer.hpp"
#include "serve/host.hpp"
#include "serve/limits.hpp"
#include "serve/membership_driver.hpp"
#include "serve/pipeline.hpp"

#include <algorithm>
#include <memory>
#include <utility>

namespace hawthornspur::serve
{

namespace
{

using exchange_ptr = std::shared_ptr<net::http_exchange>;

constexpr int status_unavailable = 503;

/// Adds "Connection: close" if the host is stopping, so that callers request
/// addresses again and no request is lost when the process ends.
void add_close_header_if_stopping(entry_host const& host,
                                  net::http_response_head& head)
{
    if (host.m_stop_stage != stop_stage::running)
    {
        net::set_header(head.m_headers, "Connection", "close");
    }
}

answer_sink make_sink(entry_host& host, exchange_ptr const& exchange)
{
    answer_sink sink;
    sink.m_start = [&host, exchange](net::http_response_head head,
                                     std::optional<std::uint64_t> length)
    {
        add_close_header_if_stopping(host, head);
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
    sink.m_fail =
        [&host, exchange](result_code code, core::duration retry_after)
    {
        if (exchange->is_started())
        {
            exchange->abort();
            return;
        }
        auto refusal = net::make_refusal(code);
        add_close_header_if_stopping(host, refusal.m_head);
        if (refusal.m_head.m_status == status_unavailable &&
            info(code).m_execution == execution::not_run)
        {
            host.m_adapter.m_caller_interface.m_add_retry_after(
                refusal.m_head.m_headers, retry_after);
        }
        exchange->reply(refusal.m_head, refusal.m_body);
    };
    sink.m_buffered_bytes = [exchange]
    {
        return exchange->buffered_bytes();
    };
    return sink;
}

void on_request(entry_host& host, net::http_request request,
                exchange_ptr const& exchange)
{
    detect_pause(host);
    if (host.m_stop_stage == stop_stage::finishing ||
        host.m_stop_stage == stop_stage::finished)
    {
        // The process might end before the request is answered.
        auto refusal = net::make_refusal(result_code::host_leaving);
        add_close_header_if_stopping(host, refusal.m_head);
        host.m_adapter.m_caller_interface.m_add_retry_after(
            refusal.m_head.m_headers, other_host_retry_delay);
        exchange->reply(refusal.m_head, refusal.m_body);
        return;
    }
    if (request.m_uri.starts_with(address_path))
    {
        answer_addresses(host, request, *exchange);
        return;
    }
    auto const id = std::make_shared<core::request_id>();
    exchange->set_on_closed([&host, id] { on_receiver_closed(host, *id); });
    exchange->set_on_drained([&host, id] { on_receiver_drained(host, *id); });
    start_call(host, std::move(request), make_sink(host, exchange), *id);
}

} // namespace

void update_descriptor_limit(entry_host& host)
{
    auto const of_process = net::descriptor_limit_of_process();
    auto const of_platform = host.m_settings.m_max_descriptors;
    host.m_descriptor_limit =
        of_platform == 0 ? of_process : std::min(of_process, of_platform);
}

status open_caller_server(entry_host& host)
{
    update_descriptor_limit(host);
    net::http_server_settings settings;
    settings.m_address = host.m_settings.m_callers.m_address;
    settings.m_port = host.m_settings.m_callers.m_port;
    settings.m_max_headers_bytes = host.m_settings.m_max_headers_bytes;
    settings.m_max_body_bytes = limits::max_request_body_bytes;
    settings.m_max_connections =
        std::min(host.m_settings.m_max_connections,
                 core::max_caller_connections({host.m_descriptor_limit, 0, 0}));
    settings.m_max_refused_connections =
        core::max_refused_connections(host.m_descriptor_limit);
    settings.m_add_refusal_headers =
        [&host](result_code code, net::http_headers& refusal_headers)
    {
        if (info(code).m_http_status == status_unavailable)
        {
            host.m_adapter.m_caller_interface.m_add_retry_after(
                refusal_headers, other_host_retry_delay);
        }
    };
    auto server = net::http_server::create(
        *host.m_loop, settings,
        [&host](net::http_request request, exchange_ptr const& exchange)
        { on_request(host, std::move(request), exchange); });
    if (!has_value(server))
    {
        return failure(server);
    }
    host.m_caller_server = take(std::move(server));
    return success();
}

void limit_caller_connections(entry_host& host)
{
    host.m_caller_server->close_idle_above(core::max_caller_connections(
        {host.m_descriptor_limit, host.m_http_client->open_connections(),
         host.m_peer_network->link_count()}));
}

} // namespace hawthornspur::serve
