#include "serve/directory_server.hpp"

#include "core/routing.hpp"
#include "net/http_refusal.hpp"
#include "serve/host.hpp"
#include "serve/membership_driver.hpp"

#include <memory>
#include <string>
#include <utility>

namespace hawthornspur::serve
{

namespace
{

using exchange_ptr = std::shared_ptr<net::http_exchange>;

void refuse(entry_host& h, net::http_exchange& exchange, result_code code)
{
    h.m_metrics.count_result("directory", code);
    auto const refusal = net::make_refusal(code);
    exchange.reply(refusal.m_head, refusal.m_body);
}

void answer_question(entry_host& h, net::http_request const& request,
                     net::http_exchange& exchange)
{
    auto const question =
        h.m_adapter.m_caller_interface.m_read_address_request(request);
    if (!has_value(question))
    {
        refuse(h, exchange, failure(question).m_code);
        return;
    }
    if (!is_ready(h))
    {
        refuse(h, exchange, result_code::host_not_ready);
        return;
    }
    auto const& document = *h.m_configuration.m_in_force;
    auto const& asked = value(question).m_zone;
    auto const& zone = core::find_zone(document, asked) == nullptr
                           ? h.m_settings.m_zone
                           : asked;
    address_list list;
    list.m_lifetime = document.m_address_lifetime;
    for (auto const& name : core::zone_hosts(h.m_routing, document, zone))
    {
        if (auto const* record = core::find_host(h.m_routing, name))
        {
            list.m_addresses.push_back(record->m_address + ":" +
                                       std::to_string(record->m_caller_port));
        }
    }
    if (list.m_addresses.empty())
    {
        refuse(h, exchange, result_code::host_leaving);
        return;
    }
    h.m_metrics.count_result("directory", result_code::ok);
    exchange.reply({200, {{"Content-Type", "application/json"}}},
                   h.m_adapter.m_caller_interface.m_write_addresses(list));
}

void answer_readiness(entry_host& h, net::http_request const& request,
                      net::http_exchange& exchange)
{
    auto const path = request.m_uri.substr(0, request.m_uri.find('?'));
    if (path != h.m_adapter.m_caller_interface.m_readiness_path)
    {
        refuse(h, exchange, result_code::not_found);
        return;
    }
    if (h.m_stop_stage != stop_stage::running)
    {
        refuse(h, exchange, result_code::host_leaving);
        return;
    }
    if (!is_ready(h))
    {
        refuse(h, exchange, result_code::host_not_ready);
        return;
    }
    exchange.reply({200, {{"Content-Type", "text/plain"}}}, "ready\n");
}

result<std::unique_ptr<net::http_server>> open_listener(
    entry_host& h, config::listen_address const& address,
    void (*answer)(entry_host&, net::http_request const&, net::http_exchange&))
{
    net::http_server_settings settings;
    settings.m_address = address.m_address;
    settings.m_port = address.m_port;
    return net::http_server::create(
        *h.m_loop, settings,
        [&h, answer](net::http_request const& request,
                     exchange_ptr const& exchange)
        {
            begin_pass(h);
            answer(h, request, *exchange);
        });
}

} // namespace

status open_directory(entry_host& h)
{
    if (h.m_settings.m_directory)
    {
        auto opened =
            open_listener(h, *h.m_settings.m_directory, answer_question);
        if (!has_value(opened))
        {
            return failure(opened);
        }
        h.m_directory = take(std::move(opened));
    }
    if (h.m_settings.m_readiness)
    {
        auto opened =
            open_listener(h, *h.m_settings.m_readiness, answer_readiness);
        if (!has_value(opened))
        {
            return failure(opened);
        }
        h.m_readiness = take(std::move(opened));
    }
    return success();
}

} // namespace hawthornspur::serve
