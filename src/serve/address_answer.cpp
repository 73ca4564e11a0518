#include "serve/address_answer.hpp"

#include "core/evacuated_zones.hpp"
#include "core/once_key.hpp"
#include "core/once_table.hpp"
#include "core/routing.hpp"
#include "net/http_refusal.hpp"
#include "serve/host.hpp"
#include "serve/membership_driver.hpp"
#include "serve/readiness.hpp"

#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <memory>
#include <optional>
#include <string>

namespace hawthornspur::serve
{

namespace
{

/// The owner, which comes first, and the hosts to fall back to.
constexpr std::size_t max_addresses = 5;

struct query_deleter
{
    void operator()(evkeyvalq* query) const noexcept
    {
        evhttp_clear_headers(query);
        delete query;
    }
};
using query_ptr = std::unique_ptr<evkeyvalq, query_deleter>;

query_ptr parse_query(std::string const& uri)
{
    query_ptr query(new evkeyvalq{});
    auto const question_mark = uri.find('?');
    auto const* text =
        question_mark == std::string::npos ? "" : &uri[question_mark + 1];
    if (evhttp_parse_query_str(text, query.get()) != 0)
    {
        return nullptr;
    }
    return query;
}

std::string query_parameter(evkeyvalq const& query, char const* name)
{
    auto const* value = evhttp_find_header(&query, name);
    return value == nullptr ? std::string() : std::string(value);
}

void refuse(entry_host& host, net::http_exchange& exchange, result_code code)
{
    host.m_metrics.count_result("addresses", code);
    auto const refusal = net::make_refusal(code);
    exchange.reply(refusal.m_head, refusal.m_body);
}

nlohmann::json describe(core::host_record const& record)
{
    return {{"host", record.m_name},
            {"zone", record.m_zone},
            {"address", record.m_address},
            {"port", record.m_caller_port}};
}

std::string make_session(entry_host& host, core::host_record const& home)
{
    return core::to_string(core::session{home.m_name, home.m_incarnation,
                                         home.m_once_epoch, host.m_random()});
}

} // namespace

void answer_addresses(entry_host& host, net::http_request const& request,
                      net::http_exchange& exchange)
{
    if (request.m_method != "GET")
    {
        refuse(host, exchange, result_code::method_not_allowed);
        return;
    }
    auto const document = host.m_configuration.m_in_force;
    if (!is_ready(host))
    {
        refuse(host, exchange, result_code::host_not_ready);
        return;
    }
    auto const query = parse_query(request.m_uri);
    if (query == nullptr)
    {
        refuse(host, exchange, result_code::malformed_request);
        return;
    }
    auto const* service =
        core::find_service(*document, query_parameter(*query, "service"));
    if (service == nullptr)
    {
        refuse(host, exchange, result_code::unknown_service);
        return;
    }
    auto zone = query_parameter(*query, "zone");
    if (core::find_zone(*document, zone) == nullptr)
    {
        zone = host.m_settings.m_zone;
    }
    // The hosts of an evacuated zone still serve its callers.
    core::pool_id const pool{
        service->m_name,
        core::is_evacuated(*service, zone)
            ? zone
            : core::pool_zone(host.m_routing, *document, *service, zone)};
    nlohmann::json addresses = nlohmann::json::array();
    std::optional<std::string> session;
    for (auto const& name :
         core::ranked_owners(host.m_routing, *document, pool))
    {
        auto const* record = core::find_host(host.m_routing, name);
        if (record == nullptr || addresses.size() == max_addresses)
        {
            continue;
        }
        addresses.push_back(describe(*record));
        if (!session)
        {
            session = make_session(host, *record);
        }
    }
    if (addresses.empty())
    {
        refuse(host, exchange, result_code::host_leaving);
        return;
    }
    auto const lifetime = std::chrono::duration_cast<std::chrono::milliseconds>(
        document->m_address_lifetime);
    nlohmann::json const body{{"service", service->m_name},
                              {"zone", zone},
                              {"lifetime_ms", lifetime.count()},
                              {"addresses", std::move(addresses)},
                              {"session", *session}};
    host.m_metrics.count_result("addresses", result_code::ok);
    exchange.reply({200, {{"Content-Type", "application/json"}}}, body.dump());
}

} // namespace hawthornspur::serve
