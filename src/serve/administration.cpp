#include "serve/administration.hpp"

#include "core/once_table.hpp"
#include "net/http_refusal.hpp"
#include "serve/configuration_proofs.hpp"
#include "serve/document_doubt.hpp"
#include "serve/host.hpp"
#include "serve/membership_driver.hpp"
#include "serve/quotas.hpp"
#include "serve/readiness.hpp"
#include "serve/self_report.hpp"
#include "serve/stop.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <chrono>
#include <memory>
#include <string>
#include <utility>

namespace hawthornspur::serve
{

namespace
{

nlohmann::json describe_pools(entry_host& host)
{
    auto pools = nlohmann::json::array();
    for (auto const& [id, pool] : host.m_pools)
    {
        auto const summary =
            core::summarize(*pool->m_core_pool, id.m_zone, now());
        pools.push_back({{"service", id.m_service},
                         {"zone", id.m_zone},
                         {"owned", pool->m_is_owned},
                         {"queued", summary.m_queued},
                         {"in_flight", core::in_flight(*pool->m_core_pool)},
                         {"slots", summary.m_slots},
                         {"free_slots", summary.m_free_slots}});
    }
    return pools;
}

/// The evacuated zones, and what still waits and runs in the pools that this
/// host has there.
nlohmann::json describe_evacuated_zones(entry_host& host)
{
    auto zones = nlohmann::json::array();
    for (auto const& zone : host.m_evacuation.m_in_force.m_decision.m_zones)
    {
        auto pools = nlohmann::json::array();
        for (auto const& [id, pool] : host.m_pools)
        {
            if (id.m_zone == zone)
            {
                pools.push_back(
                    {{"service", id.m_service},
                     {"queued", core::queue_length(*pool->m_core_pool)},
                     {"in_flight", core::in_flight(*pool->m_core_pool)}});
            }
        }
        zones.push_back({{"zone", zone}, {"pools", std::move(pools)}});
    }
    return zones;
}

nlohmann::json describe_hosts(entry_host& host)
{
    auto list = nlohmann::json::array();
    for (auto const& record : core::hosts(*host.m_membership))
    {
        list.push_back(
            {{"name", record.m_name},
             {"zone", record.m_zone},
             {"state", to_string(record.m_state)},
             {"generation", record.m_generation},
             {"linked", host.m_peer_network->is_linked(record.m_name)}});
    }
    return list;
}

/// Null if there is no proof, or if none is needed.
nlohmann::json describe_proof_age(entry_host const& host)
{
    auto const age = configuration_proof_age(host);
    return age ? nlohmann::json(
                     std::chrono::duration_cast<std::chrono::milliseconds>(*age)
                         .count())
               : nlohmann::json();
}

/// Names only: access keys are never shown.
nlohmann::json describe_quotas(entry_host& host)
{
    auto list = nlohmann::json::array();
    for (auto const& report : most_refused_customers(host))
    {
        list.push_back(
            {{"customer", report.m_customer},
             {"rate", report.m_rate},
             {"burst", report.m_burst},
             {"admitted_last_minute", report.m_last_minute.m_admitted},
             {"refused_last_minute", report.m_last_minute.m_refused}});
    }
    return list;
}

/// The first of the entries that the document in force lacks.
nlohmann::json describe_left_out_entries(entry_host const& host)
{
    constexpr std::size_t max_entries = 20;
    auto list = nlohmann::json::array();
    if (auto const& document = host.m_configuration.m_in_force)
    {
        for (auto const& entry : document->m_left_out)
        {
            if (list.size() < max_entries)
            {
                list.push_back({{"kind", entry.m_kind},
                                {"name", entry.m_name},
                                {"reason", entry.m_reason}});
            }
        }
    }
    return list;
}

std::size_t count_left_out_entries(entry_host const& host)
{
    auto const& document = host.m_configuration.m_in_force;
    return document == nullptr ? 0 : document->m_left_out.size();
}

std::string describe_status(entry_host& host)
{
    auto const& configuration = host.m_configuration;
    auto const& self = core::self(*host.m_membership);
    auto leaving = nlohmann::json::array();
    for (auto const& [target, departure] :
         host.m_target_departures.m_departures)
    {
        leaving.push_back(
            {{"service", target.first}, {"target", target.second}});
    }
    nlohmann::json const status{
        {"host", host.m_settings.m_name},
        {"zone", host.m_settings.m_zone},
        {"incarnation", host.m_incarnation},
        {"state", to_string(self.m_state)},
        {"ready", is_ready(host)},
        {"not_ready_reason", to_string(host.m_readiness.m_fault)},
        {"isolated", host.m_is_isolated},
        {"generation", configuration.m_in_force == nullptr
                           ? 0
                           : configuration.m_in_force->m_generation},
        {"change_id", configuration.m_in_force == nullptr
                          ? std::string()
                          : configuration.m_in_force->m_change_id},
        {"newest_generation_heard", configuration.m_newest_generation},
        {"rejected_generation", configuration.m_rejected_generation},
        {"rejected_documents", configuration.m_rejected_documents},
        {"document_in_doubt", is_document_in_doubt(host)},
        {"left_out_entries", count_left_out_entries(host)},
        {"left_out", describe_left_out_entries(host)},
        {"configuration_proof_age_ms", describe_proof_age(host)},
        {"listeners", describe_listeners(host)},
        {"loop", describe_loop_delay(host)},
        {"calls_in_flight", host.m_calls.size()},
        {"once_keys",
         host.m_once_table == nullptr ? 0 : core::size(*host.m_once_table)},
        {"leaving_targets", std::move(leaving)},
        {"evacuated_zones", describe_evacuated_zones(host)},
        {"quota_refusals", describe_quotas(host)},
        {"pools", describe_pools(host)},
        {"hosts", describe_hosts(host)}};
    return status.dump();
}

metrics::sample make_counter(std::string name, std::string help,
                             std::uint64_t value)
{
    return {
        std::move(name), std::move(help), static_cast<double>(value), true, {}};
}

using labels = std::vector<std::pair<std::string, std::string>>;

/// Shares of customers by priority. Bounded by the pools, ten priorities and
/// the result codes; customers are not named.
void add_sharing_samples(core::pool_id const& id,
                         core::sharing_counters const& counters,
                         std::vector<metrics::sample>& samples)
{
    labels const of_pool{{"service", id.m_service}, {"zone", id.m_zone}};
    auto const add = [&](std::string name, std::string help, double value,
                         labels const& further)
    {
        auto all = of_pool;
        all.insert(all.end(), further.begin(), further.end());
        samples.push_back(
            {std::move(name), std::move(help), value, true, std::move(all)});
    };
    for (std::size_t i = 0; i < counters.m_by_priority.size(); ++i)
    {
        auto const& rank = counters.m_by_priority[i];
        if (rank.m_starts == 0 && rank.m_refusals.empty())
        {
            continue;
        }
        auto const priority = std::to_string(i);
        add("hawthornspur_customer_starts_total",
            "Requests of customers that were sent to a target.",
            static_cast<double>(rank.m_starts), {{"priority", priority}});
        add("hawthornspur_customer_wait_seconds_total",
            "Time that started requests of customers waited for a slot.",
            std::chrono::duration<double>(rank.m_waited).count(),
            {{"priority", priority}});
        for (auto const& [code, count] : rank.m_refusals)
        {
            add("hawthornspur_customer_refusals_total",
                "Requests of customers that the pool refused.",
                static_cast<double>(count),
                {{"priority", priority},
                 {"result", std::string(info(code).m_name)}});
        }
    }
    if (counters.m_returns_promised > 0)
    {
        add("hawthornspur_returns_promised_total",
            "Refused callers that were given a time to return.",
            static_cast<double>(counters.m_returns_promised), {});
        add("hawthornspur_returns_kept_total",
            "Callers that returned within 100 ms of a promised time.",
            static_cast<double>(counters.m_returns_kept), {});
    }
}

/// Appends the samples of all pools, those with the same name in sequence, as
/// the metrics page requires.
void add_sharing_samples(entry_host const& host,
                         std::vector<metrics::sample>& samples)
{
    std::vector<metrics::sample> added;
    for (auto const& [id, pool] : host.m_pools)
    {
        add_sharing_samples(id, core::read_sharing_counters(*pool->m_core_pool),
                            added);
    }
    std::stable_sort(added.begin(), added.end(),
                     [](metrics::sample const& a, metrics::sample const& b)
                     { return a.m_name < b.m_name; });
    samples.insert(samples.end(), added.begin(), added.end());
}

std::vector<metrics::sample> collect_samples(entry_host const& host)
{
    auto const& peers = host.m_peer_network->counters();
    auto const& client = host.m_http_client->counters();
    auto const& configuration = host.m_configuration;
    std::vector<metrics::sample> samples{
        {"hawthornspur_calls_in_flight",
         "Calls that have not ended.",
         static_cast<double>(host.m_calls.size()),
         false,
         {}},
        {"hawthornspur_generation",
         "Configuration generation in force.",
         configuration.m_in_force == nullptr
             ? 0
             : static_cast<double>(configuration.m_in_force->m_generation),
         false,
         {}},
        {"hawthornspur_left_out_entries",
         "Entries that the configuration in force lacks, since they cannot be "
         "read.",
         static_cast<double>(count_left_out_entries(host)),
         false,
         {}},
        {"hawthornspur_caller_connections",
         "Open connections of callers.",
         static_cast<double>(
             host.m_caller_server->counters().m_connections_open),
         false,
         {}},
        {"hawthornspur_target_connections",
         "Open connections to targets and the platform.",
         static_cast<double>(host.m_http_client->open_connections()),
         false,
         {}},
        make_counter("hawthornspur_idle_connections_closed_total",
                     "Connections of callers closed for their age or number.",
                     host.m_caller_server->counters().m_idle_closed),
        make_counter("hawthornspur_refused_in_flight_total",
                     "Connections of callers that were refused with a request "
                     "in flight.",
                     host.m_caller_server->counters().m_refused_in_flight),
        make_counter("hawthornspur_requests_abandoned_total",
                     "Requests whose callers had disconnected before they "
                     "were read.",
                     host.m_caller_server->counters().m_requests_abandoned),
        make_counter("hawthornspur_accepts_failed_total",
                     "Connections of callers or hosts that were not accepted.",
                     host.m_caller_server->counters().m_accepts_failed +
                         peers.m_accepts_failed),
        make_counter("hawthornspur_rejected_documents_total",
                     "Stored documents that failed the check.",
                     configuration.m_rejected_documents),
        make_counter("hawthornspur_stale_documents_total",
                     "Documents older than the one in force.",
                     configuration.m_stale_offers),
        make_counter("hawthornspur_connections_opened_total",
                     "Connections opened to targets and the platform.",
                     client.m_connections_opened),
        make_counter("hawthornspur_connections_reused_total",
                     "Requests sent on a kept connection.",
                     client.m_connections_reused),
        make_counter("hawthornspur_connections_passed_over_total",
                     "Kept connections that were not used for a request that "
                     "had been refused on them.",
                     client.m_connections_passed_over),
        make_counter("hawthornspur_surplus_answers_total",
                     "Copies of answers to earlier requests that were "
                     "discarded.",
                     client.m_surplus_answers),
        make_counter("hawthornspur_connections_silent_total",
                     "Connections closed because no answer came in time.",
                     client.m_connections_silent),
        make_counter("hawthornspur_peer_bytes_sent_total",
                     "Bytes sent on peer links.", peers.m_bytes_sent),
        make_counter("hawthornspur_peer_bytes_received_total",
                     "Bytes received on peer links.", peers.m_bytes_received),
        make_counter("hawthornspur_peer_frames_malformed_total",
                     "Frames that could not be parsed.", peers.m_malformed),
        make_counter("hawthornspur_peer_authentication_failures_total",
                     "Frames or handshakes without the peer key.",
                     peers.m_authentication_failures),
        make_counter("hawthornspur_peer_links_lost_total",
                     "Links that closed or went silent.", peers.m_links_lost),
        make_counter("hawthornspur_datagram_bytes_sent_total",
                     "Bytes of membership datagrams sent.",
                     peers.m_datagram_bytes_sent),
        make_counter("hawthornspur_datagram_bytes_received_total",
                     "Bytes of membership datagrams received.",
                     peers.m_datagram_bytes_received),
        make_counter("hawthornspur_datagrams_refused_total",
                     "Datagrams that failed authentication or parsing.",
                     peers.m_datagrams_refused)};
    if (auto const age = configuration_proof_age(host))
    {
        samples.push_back(
            {"hawthornspur_configuration_proof_age_seconds",
             "Age of the latest confirmation that the configuration is recent.",
             std::chrono::duration<double>(*age).count(),
             false,
             {}});
    }
    add_self_report_samples(host, samples);
    add_sharing_samples(host, samples);
    return samples;
}

void reply(net::http_exchange& exchange, std::string const& type,
           std::string const& body)
{
    exchange.reply({200, {{"Content-Type", type}}}, body);
}

void refuse(net::http_exchange& exchange, result_code code)
{
    auto const refusal = net::make_refusal(code);
    exchange.reply(refusal.m_head, refusal.m_body);
}

void answer_request(entry_host& host, net::http_request const& request,
                    net::http_exchange& exchange)
{
    auto const path = request.m_uri.substr(0, request.m_uri.find('?'));
    bool const is_get = request.m_method == "GET";
    if (path == "/status" && is_get)
    {
        reply(exchange, "application/json", describe_status(host));
    }
    else if (path == "/metrics" && is_get)
    {
        reply(exchange, "text/plain; version=0.0.4",
              host.m_metrics.to_text(collect_samples(host)));
    }
    else if (path == "/drain" && request.m_method == "POST")
    {
        begin_stop(host, "drain command");
        reply(exchange, "application/json", describe_status(host));
    }
    else
    {
        refuse(exchange,
               path == "/status" || path == "/metrics" || path == "/drain"
                   ? result_code::method_not_allowed
                   : result_code::not_found);
    }
}

} // namespace

status open_administration(entry_host& host)
{
    net::http_server_settings settings;
    settings.m_address = host.m_settings.m_administration.m_address;
    settings.m_port = host.m_settings.m_administration.m_port;
    auto server = net::http_server::create(
        *host.m_loop, settings,
        [&host](net::http_request const& request,
                std::shared_ptr<net::http_exchange> const& exchange)
        { answer_request(host, request, *exchange); });
    if (!has_value(server))
    {
        return failure(server);
    }
    host.m_administration_server = take(std::move(server));
    return success();
}

} // namespace hawthornspur::serve
