#include "serve/directory_server.hpp"

#include "core/routing.hpp"
#include "net/http_refusal.hpp"
#include "serve/host.hpp"
#include "serve/membership_driver.hpp"
#include "serve/readiness.hpp"

#include <memory>
#include <string>
#include <utility>

namespace hawthornspur::serve
{

namespace
{

using exchange_ptr = std::shared_ptr<net::http_exchange>;

void refuse(entry_host& host, net::http_exchange& exchange, result_code code)
{
    host.m_metrics.count_result("directory", code);
    auto const refusal = net::make_refusal(code);
    exchange.reply(refusal.m_head, refusal.m_body);
}

void answer_address_request(entry_host& host, net::http_request const& request,
                            net::http_exchange& exchange)
{
    auto const parsed =
        host.m_adapter.m_caller_interface.m_read_address_request(request);
    if (!has_value(parsed))
    {
        refuse(host, exchange, failure(parsed).m_code);
        return;
    }
    if (!is_ready(host))
    {
        refuse(host, exchange, result_code::host_not_ready);
        return;
    }
    auto const& document = *host.m_configuration.m_in_force;
    auto const& requested_zone = value(parsed).m_zone;
    auto const& zone = core::find_zone(document, requested_zone) == nullptr
                           ? host.m_settings.m_zone
                           : requested_zone;
    address_list list;
    list.m_lifetime = document.m_address_lifetime;
    for (auto const& name : core::callers_hosts(host.m_routing, document, zone))
    {
        if (auto const* record = core::find_host(host.m_routing, name))
        {
            list.m_addresses.push_back(record->m_address + ":" +
                                       std::to_string(record->m_caller_port));
        }
    }
    if (list.m_addresses.empty())
    {
        refuse(host, exchange, result_code::host_leaving);
        return;
    }
    host.m_metrics.count_result("directory", result_code::ok);
    exchange.reply({200, {{"Content-Type", "application/json"}}},
                   host.m_adapter.m_caller_interface.m_write_addresses(list));
}

void answer_readiness_request(entry_host& host,
                              net::http_request const& request,
                              net::http_exchange& exchange)
{
    auto const path = request.m_uri.substr(0, request.m_uri.find('?'));
    if (path != host.m_adapter.m_caller_interface.m_readiness_path)
    {
        refuse(host, exchange, result_code::not_found);
        return;
    }
    if (host.m_stop_stage != stop_stage::running)
    {
        refuse(host, exchange, result_code::host_leaving);
        return;
    }
    if (!is_ready(host))
    {
        refuse(host, exchange, result_code::host_not_ready);
        return;
    }
    exchange.reply({200, {{"Content-Type", "text/plain"}}}, "ready\n");
}

result<std::unique_ptr<net::http_server>> open_listener(
    entry_host& host, config::listen_address const& address,
    void (*answer)(entry_host&, net::http_request const&, net::http_exchange&))
{
    net::http_server_settings settings;
    settings.m_address = address.m_address;
    settings.m_port = address.m_port;
    return net::http_server::create(
        *host.m_loop, settings,
        [&host, answer](net::http_request const& request,
                        exchange_ptr const& exchange)
        {
            detect_pause(host);
            answer(host, request, *exchange);
        });
}

} // namespace

status open_directory_servers(entry_host& host)
{
    if (host.m_settings.m_directory)
    {
        auto server = open_listener(host, *host.m_settings.m_directory,
                                    answer_address_request);
        if (!has_value(server))
        {
            return failure(server);
        }
        host.m_directory_server = take(std::move(server));
    }
    if (host.m_settings.m_readiness)
    {
        auto server = open_listener(host, *host.m_settings.m_readiness,
                                    answer_readiness_request);
        if (!has_value(server))
        {
            return failure(server);
        }
        host.m_readiness_server = take(std::move(server));
    }
    return success();
}

} // namespace hawthornspur::serve
