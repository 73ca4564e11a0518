#include "test_cluster.hpp"

#include "base/logging.hpp"
#include "base/text.hpp"
#include "config/document.hpp"
#include "core/once_key.hpp"
#include "core/once_table.hpp"
#include "core/routing.hpp"
#include "platform/configuration_store.hpp"
#include "platform/http_platform.hpp"
#include "serve/configuration_sync.hpp"

#include <nlohmann/json.hpp>

#include <optional>
#include <stdexcept>
#include <thread>
#include <utility>

namespace hawthornspur::test
{

namespace
{

/// Limit for one wait. Every wait of a passing test is far shorter.
constexpr auto hang_timeout = std::chrono::seconds(30);
constexpr auto idle_pause = std::chrono::microseconds(50);
constexpr auto request_timeout = std::chrono::seconds(20);

void require(bool condition, char const* what)
{
    if (!condition)
    {
        throw std::runtime_error(what);
    }
}

core::configuration make_document()
{
    core::configuration document;
    document.m_zones = {{"a", "r", {}, {}}};
    document.m_address_lifetime = std::chrono::seconds(1);
    core::service_config service;
    service.m_name = "map";
    core::kind_config read;
    read.m_name = "read";
    read.m_method = "GET";
    read.m_path_prefix = "/";
    read.m_execution = core::execution_rule::idempotent;
    read.m_deadline = std::chrono::seconds(10);
    core::kind_config claim = read;
    claim.m_name = "claim";
    claim.m_method = "POST";
    claim.m_execution = core::execution_rule::at_most_once;
    service.m_kinds = {read, claim};
    service.m_retry_budget = {1, 100};
    document.m_services = {service};
    return document;
}

} // namespace

unsigned get_result_code(answer const& a)
{
    auto const text = net::find_header(a.m_head.m_headers, "Hawthornspur-Code");
    return text ? parse_number<unsigned>(*text).value_or(0) : 0;
}

std::string get_outcome(answer const& a)
{
    return std::string(
        net::find_header(a.m_head.m_headers, "Hawthornspur-Outcome")
            .value_or(""));
}

test_cluster::test_cluster(std::size_t hosts, std::size_t targets)
    : m_loop(take(net::event_loop::create()))
    , m_client(take(net::http_client::create(*m_loop)))
    , m_platform(take(tools::platform_emulator::create(*m_loop, {})))
    , m_document(make_document())
{
    logging::start(logging::level::error);
    auto& service = m_document.m_services.front();
    for (std::size_t i = 0; i < targets; ++i)
    {
        tools::target_settings settings;
        settings.m_name = "map-" + std::to_string(i);
        settings.m_seed = i + 1;
        m_targets.push_back(
            take(tools::target_emulator::create(*m_loop, settings)));
        set_target_faults(i, R"({"connection_cost_ms":0})");
        core::target_config target;
        target.m_name = settings.m_name;
        target.m_zone = "a";
        target.m_address = "127.0.0.1";
        target.m_port = m_targets.back()->port();
        target.m_slots = 3;
        service.m_targets.push_back(target);
    }
    for (std::size_t i = 0; i < hosts; ++i)
    {
        start_host("entry-" + std::to_string(i));
    }
    m_document.m_generation = 1;
    m_document.m_change_id = "change-1";
    store_configuration(m_document);
    wait_for_agreement(1, hosts);
}

test_cluster::~test_cluster()
{
    for (std::size_t i = 0; i < m_hosts.size(); ++i)
    {
        kill(i);
    }
}

void test_cluster::run_once()
{
    m_loop->run_pending();
    for (auto const& entry : m_hosts)
    {
        if (entry->m_host != nullptr && !entry->m_is_paused)
        {
            entry->m_loop->run_pending();
        }
    }
    std::this_thread::sleep_for(idle_pause);
}

void test_cluster::run_until(std::function<bool()> const& condition)
{
    auto const start = net::event_loop::now();
    while (!condition())
    {
        require(net::event_loop::now() - start < hang_timeout,
                "the awaited condition did not hold within 30 s");
        run_once();
    }
}

void test_cluster::run_for(core::duration time)
{
    auto const end = net::event_loop::now() + time;
    while (net::event_loop::now() < end)
    {
        run_once();
    }
}

void test_cluster::start_host(std::string const& name, std::string const& zone)
{
    auto entry = std::make_unique<entry_host>();
    entry->m_name = name;
    entry->m_loop = take(net::event_loop::create());
    config::host_settings settings;
    settings.m_name = name;
    settings.m_zone = zone;
    settings.m_platform = {"127.0.0.1", m_platform->port()};
    settings.m_platform_calls_per_second = 100;
    entry->m_host = take(serve::create_host(*entry->m_loop, settings));
    m_hosts.push_back(std::move(entry));
    publish_host_list();
}

void test_cluster::publish_host_list()
{
    auto list = nlohmann::json::array();
    for (auto const& entry : m_hosts)
    {
        if (entry->m_host != nullptr)
        {
            list.push_back(
                {{"name", entry->m_name},
                 {"role", "entry"},
                 {"zone", entry->m_host->m_settings.m_zone},
                 {"address", "127.0.0.1"},
                 {"port", entry->m_host->m_caller_server->port()},
                 {"peer_port", entry->m_host->m_peer_network->port()},
                 {"state", "live"}});
        }
    }
    require(send_control_request(m_platform->port(), "PUT", "/control/hosts",
                                 nlohmann::json{{"hosts", list}}.dump()),
            "the platform refused the host list");
}

void test_cluster::kill(std::size_t host)
{
    m_hosts[host]->m_host.reset();
    m_hosts[host]->m_loop.reset();
}

bool test_cluster::send_control_request(std::uint16_t port,
                                        std::string const& method,
                                        std::string const& uri,
                                        std::string const& body)
{
    answer reply;
    net::exchange_options options;
    options.m_timeout = request_timeout;
    m_client->send({"127.0.0.1", port},
                   {method, uri, {{"Host", "control"}}, body}, options,
                   {.m_on_head = [&](net::http_response_head const& head,
                                     std::optional<std::uint64_t> /*length*/)
                    { reply.m_head = head; },
                    .m_on_data = {},
                    .m_on_end =
                        [&](net::exchange_outcome /*outcome*/)
                    {
                        reply.m_is_done = true;
                    }});
    run_until([&] { return reply.m_is_done; });
    constexpr int first_error = 300;
    return reply.m_head.m_status < first_error && reply.m_head.m_status > 0;
}

void test_cluster::restore_store(std::chrono::milliseconds age)
{
    require(
        send_control_request(m_platform->port(), "PUT", "/control/restore",
                             nlohmann::json{{"age_ms", age.count()}}.dump()),
        "the platform refused the restore");
}

void test_cluster::store_configuration(core::configuration document)
{
    auto const stored = config::split_document(document);
    for (auto const& [hash, text] : stored.m_parts)
    {
        // The store refuses a part that it already holds, which is harmless.
        send_control_request(
            m_platform->port(), "PUT",
            "/v1/kv/hawthornspur/parts/" + hash + "?revision=0", text);
    }
    auto const head =
        send_and_wait(m_platform->port(), "GET", "/v1/kv/hawthornspur/head");
    auto const current_head =
        nlohmann::json::parse(head.m_body, nullptr, false);
    auto const revision = current_head.is_object()
                              ? current_head.value("revision", std::uint64_t{0})
                              : 0;
    require(send_control_request(m_platform->port(), "PUT",
                                 "/v1/kv/hawthornspur/head?revision=" +
                                     std::to_string(revision),
                                 stored.m_head),
            "the store refused the head of the configuration");
}

std::uint64_t test_cluster::apply_configuration(core::configuration document)
{
    platform::http_platform_settings settings;
    settings.m_server = {"127.0.0.1", m_platform->port()};
    auto const store = platform::configuration_store::create(
        platform::make_http_platform(*m_client, settings), {});
    std::optional<std::uint64_t> generation;
    store->load(
        [&](result<platform::loaded_configuration> const& loaded)
        {
            store->apply(document, value(loaded).m_document.m_generation,
                         [&](result<platform::apply_result> const& applied)
                         { generation = value(applied).m_generation; });
        });
    run_until([&] { return generation.has_value(); });
    return *generation;
}

void test_cluster::set_target_faults(std::size_t target,
                                     std::string const& json)
{
    require(has_value(m_targets[target]->change_faults(json)),
            "the target refused the fault settings");
}

void test_cluster::set_platform_faults(std::string const& json)
{
    require(send_control_request(m_platform->port(), "PUT", "/control/faults",
                                 json),
            "the platform refused the fault settings");
}

std::shared_ptr<answer> test_cluster::send(std::size_t host, std::string method,
                                           std::string uri,
                                           net::http_headers headers,
                                           std::string body)
{
    // Values above the last host index are ports of emulators.
    auto const port = host < m_hosts.size()
                          ? m_hosts[host]->m_host->m_caller_server->port()
                          : static_cast<std::uint16_t>(host);
    auto reply = std::make_shared<answer>();
    headers.emplace_back("Host", "map");
    net::exchange_options options;
    options.m_timeout = request_timeout;
    m_client->send(
        {"127.0.0.1", port},
        {std::move(method), std::move(uri), std::move(headers),
         std::move(body)},
        options,
        {.m_on_head = [reply](net::http_response_head const& head,
                              std::optional<std::uint64_t> /*length*/)
         { reply->m_head = head; },
         .m_on_data = [reply](std::string_view data) { reply->m_body += data; },
         .m_on_end =
             [reply](net::exchange_outcome outcome)
         {
             reply->m_outcome = outcome;
             reply->m_is_done = true;
         }});
    return reply;
}

answer test_cluster::send_and_wait(std::size_t host, std::string method,
                                   std::string uri, net::http_headers headers,
                                   std::string body)
{
    auto const reply = send(host, std::move(method), std::move(uri),
                            std::move(headers), std::move(body));
    run_until([&] { return reply->m_is_done; });
    return *reply;
}

std::size_t test_cluster::find_owner(std::size_t viewer)
{
    auto& h = host(viewer);
    auto const& order = core::ranked_owners(
        h.m_routing, *h.m_configuration.m_in_force, {"map", "a"});
    for (std::size_t i = 0; i < m_hosts.size(); ++i)
    {
        if (!order.empty() && m_hosts[i]->m_name == order.front())
        {
            return i;
        }
    }
    throw std::runtime_error("no host owns the pool");
}

std::string test_cluster::make_session(std::size_t index)
{
    auto& h = host(index);
    return core::to_string(core::session{
        h.m_settings.m_name, h.m_incarnation,
        core::current_epoch(*h.m_once_table, net::event_loop::now()), 1});
}

void test_cluster::wait_for_agreement(std::uint64_t generation,
                                      std::size_t live)
{
    auto const agrees = [&](serve::entry_host& h)
    {
        auto const& document = h.m_configuration.m_in_force;
        std::size_t count = 0;
        for (auto const& record : h.m_routing.m_hosts)
        {
            bool const is_self = record.m_name == h.m_settings.m_name;
            if (record.m_state == core::host_state::live &&
                (is_self || h.m_peer_network->is_linked(record.m_name)))
            {
                ++count;
            }
        }
        return document != nullptr && document->m_generation == generation &&
               count == live;
    };
    run_until(
        [&]
        {
            for (auto const& entry : m_hosts)
            {
                if (entry->m_host != nullptr && !entry->m_is_paused &&
                    !agrees(*entry->m_host))
                {
                    return false;
                }
            }
            return true;
        });
}

std::uint64_t test_cluster::key_run_count(std::string const& key) const
{
    std::uint64_t runs = 0;
    for (auto const& target : m_targets)
    {
        auto const& keys = target->runs().m_keys;
        auto const found = keys.find(key);
        runs += found == keys.end() ? 0 : found->second;
    }
    return runs;
}

std::uint64_t test_cluster::target_run_count(std::size_t target) const
{
    return m_targets[target]->runs().m_runs;
}

std::uint64_t test_cluster::total_run_count() const
{
    std::uint64_t runs = 0;
    for (auto const& target : m_targets)
    {
        runs += target->runs().m_runs;
    }
    return runs;
}

std::size_t test_cluster::deadly_run_count() const
{
    std::size_t runs = 0;
    for (auto const& target : m_targets)
    {
        runs += target->crashes().m_deadly_runs.size();
    }
    return runs;
}

std::size_t test_cluster::crash_count() const
{
    std::size_t crashes = 0;
    for (auto const& target : m_targets)
    {
        crashes += target->crashes().m_crashes.size();
    }
    return crashes;
}

} // namespace hawthornspur::test
