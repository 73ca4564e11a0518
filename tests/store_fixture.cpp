#include "store_fixture.hpp"

#include "base/logging.hpp"
#include "base/text.hpp"
#include "config/document.hpp"

#include <doctest/doctest.h>

#include <sstream>
#include <thread>
#include <utility>
#include <variant>

namespace hawthornspur::test
{

namespace
{

constexpr auto hang_timeout = std::chrono::seconds(30);

result<core::configuration> read_document(std::string_view text)
{
    auto parsed = config::parse_document(text);
    if (auto* document = std::get_if<core::configuration>(&parsed))
    {
        return std::move(*document);
    }
    return make_error(result_code::store_answer_malformed, "document");
}

/// Parses an entry, whose value is the target's port. A service and a zone may
/// follow it; the defaults are "map" and "a".
result<core::registered_target> read_target(std::string_view key,
                                            std::string_view value)
{
    std::istringstream words{std::string(value)};
    std::string number;
    std::string service = "map";
    std::string zone = "a";
    words >> number >> service >> zone;
    auto const port = parse_number<std::uint16_t>(number);
    if (!port)
    {
        return make_error(result_code::store_answer_malformed, "entry");
    }
    core::registered_target target;
    target.m_name = key.substr(std::string_view(target_prefix).size());
    target.m_service = service.empty() ? "map" : service;
    target.m_zone = zone.empty() ? "a" : zone;
    target.m_address = "127.0.0.1";
    target.m_port = *port;
    target.m_slots = 3;
    return target;
}

std::optional<std::string> read_zone(std::string_view key)
{
    if (!key.starts_with(evacuation_prefix))
    {
        return std::nullopt;
    }
    return std::string(key.substr(evacuation_prefix.size()));
}

status check_value(std::string_view value)
{
    if (value == "{}")
    {
        return success();
    }
    return make_error(result_code::store_answer_malformed, "not {}");
}

serve::platform_adapter make_adapter(store_view& view)
{
    auto adapter = serve::make_default_platform_adapter();
    adapter.m_make_calls = [&view](net::http_client&, net::endpoint const&)
    {
        return make_calls(view);
    };
    platform::store_layout layout;
    layout.m_configuration_prefix = "conf/";
    layout.m_configuration_key = document_key;
    layout.m_target_prefix = target_prefix;
    layout.m_read_configuration = read_document;
    layout.m_read_target = read_target;
    layout.m_evacuated_zone = read_zone;
    layout.m_check_evacuation = check_value;
    adapter.m_store_layout = std::move(layout);
    return adapter;
}

} // namespace

std::string make_document(std::uint64_t generation)
{
    core::configuration document;
    document.m_generation = generation;
    document.m_change_id = std::to_string(generation);
    document.m_zones = {{"a", "r", {}, {}}};
    core::service_config service;
    service.m_name = "map";
    core::kind_config read;
    read.m_name = "read";
    read.m_method = "GET";
    read.m_path_prefix = "/";
    read.m_execution = core::execution_rule::idempotent;
    service.m_kinds = {read};
    document.m_services = {service};
    return config::print_document(document);
}

void run_until(fixture& fixture_state, std::function<bool()> const& condition)
{
    auto const start = net::event_loop::now();
    while (!condition())
    {
        REQUIRE(net::event_loop::now() - start < hang_timeout);
        fixture_state.m_loop->run_pending();
        std::this_thread::sleep_for(std::chrono::microseconds(50));
    }
}

std::unique_ptr<fixture> make_fixture()
{
    logging::start(logging::level::error);
    auto fixture_state = std::make_unique<fixture>();
    fixture_state->m_loop = take(net::event_loop::create());
    fixture_state->m_client =
        take(net::http_client::create(*fixture_state->m_loop));
    fixture_state->m_store.m_loop = fixture_state->m_loop.get();
    tools::target_settings settings;
    settings.m_name = "t1";
    fixture_state->m_target =
        take(tools::target_emulator::create(*fixture_state->m_loop, settings));
    put(fixture_state->m_store, document_key, make_document());
    put(fixture_state->m_store, "targets/t1",
        std::to_string(fixture_state->m_target->port()));
    return fixture_state;
}

void start_host(fixture& fixture_state, std::string const& name,
                bool is_refused, bool is_delayed, std::string const& zone)
{
    auto view = std::make_unique<store_view>();
    view->m_store = &fixture_state.m_store;
    view->m_is_refused = is_refused;
    view->m_is_delayed = is_delayed;
    config::host_settings settings;
    settings.m_name = name;
    settings.m_zone = zone;
    settings.m_max_owners_per_zone = 1;
    settings.m_platform_calls_per_second = 1000;
    fixture_state.m_hosts.push_back(take(serve::create_host(
        *fixture_state.m_loop, settings, make_adapter(*view))));
    fixture_state.m_views.push_back(std::move(view));
}

pending_status send(fixture& fixture_state, std::size_t host,
                    net::http_headers const& headers)
{
    auto status = std::make_shared<std::optional<int>>();
    auto head_status = std::make_shared<int>(0);
    net::http_request const request{"GET", "/x/1", headers, {}};
    fixture_state.m_client->send(
        {"127.0.0.1", fixture_state.m_hosts[host]->m_caller_server->port()},
        request, {},
        {.m_on_head = [head_status](net::http_response_head const& head,
                                    std::optional<std::uint64_t>)
         { *head_status = head.m_status; },
         .m_on_data = {},
         .m_on_end =
             [status, head_status](net::exchange_outcome)
         {
             *status = *head_status;
         }});
    return status;
}

int send_and_wait(fixture& fixture_state, std::size_t host)
{
    auto const status = send(fixture_state, host);
    run_until(fixture_state, [&] { return status->has_value(); });
    return **status;
}

} // namespace hawthornspur::test
