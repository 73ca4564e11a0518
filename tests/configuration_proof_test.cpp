#include "base/logging.hpp"
#include "base/text.hpp"
#include "core/customers.hpp"
#include "memory_store.hpp"
#include "net/event_loop.hpp"
#include "net/http_client.hpp"
#include "serve/configuration_proofs.hpp"
#include "serve/host.hpp"
#include "serve/membership_driver.hpp"
#include "serve/readiness.hpp"
#include "target_emulator/target_emulator.hpp"

#include <doctest/doctest.h>

#include <array>
#include <functional>
#include <memory>
#include <string>
#include <thread>

namespace hawthornspur::test
{

namespace
{

constexpr auto hang_timeout = std::chrono::seconds(30);
constexpr auto bound = std::chrono::seconds(2);

/// The stored text is the generation alone.
result<core::configuration> read_document(std::string_view text)
{
    core::configuration document;
    document.m_generation = parse_number<std::uint64_t>(text).value_or(0);
    document.m_change_id = text;
    document.m_zones = {{"a", "r", {}, {}}, {"b", "r", {}, {}}};
    document.m_customers = core::make_customer_table({{"shop", {"key"}}});
    core::kind_config kind;
    kind.m_name = "read";
    kind.m_method = "GET";
    kind.m_path_prefix = "/";
    kind.m_execution = core::execution_rule::idempotent;
    auto public_kind = kind;
    public_kind.m_name = "public";
    public_kind.m_path_prefix = "/public/";
    public_kind.m_is_public = true;
    core::service_config service;
    service.m_name = "map";
    service.m_kinds = {public_kind, kind};
    document.m_services = {service};
    return document;
}

/// The value is the target's port.
result<core::registered_target> read_target(std::string_view /*key*/,
                                            std::string_view value)
{
    core::registered_target target;
    target.m_name = "t1";
    target.m_service = "map";
    target.m_zone = "a";
    target.m_address = "127.0.0.1";
    target.m_port = parse_number<std::uint16_t>(value).value_or(0);
    target.m_slots = 3;
    return target;
}

/// Two zones with a host each.
struct fixture
{
    std::unique_ptr<net::event_loop> m_loop = take(net::event_loop::create());
    std::unique_ptr<net::http_client> m_client =
        take(net::http_client::create(*m_loop));
    memory_store m_store;
    std::unique_ptr<tools::target_emulator> m_target;
    std::array<store_view, 2> m_views;
    std::array<std::unique_ptr<serve::entry_host>, 2> m_hosts;
};

void run_until(fixture& state, std::function<bool()> const& condition)
{
    auto const start = net::event_loop::now();
    while (!condition())
    {
        REQUIRE(net::event_loop::now() - start < hang_timeout);
        state.m_loop->run_pending();
        std::this_thread::sleep_for(std::chrono::microseconds(50));
    }
}

void start_host(fixture& state, std::size_t index, std::string const& zone)
{
    auto& view = state.m_views.at(index);
    view.m_store = &state.m_store;
    auto adapter = serve::make_default_platform_adapter();
    adapter.m_make_calls = [&view](net::http_client&, net::endpoint const&)
    {
        return make_calls(view);
    };
    adapter.m_read_bounds = [](std::map<std::string, double> const&)
    {
        serve::deployment_bounds bounds;
        bounds.m_revocation_bound = bound;
        return bounds;
    };
    platform::store_layout layout;
    layout.m_configuration_prefix = "conf/";
    layout.m_configuration_key = document_key;
    layout.m_target_prefix = target_prefix;
    layout.m_read_configuration = read_document;
    layout.m_read_target = read_target;
    adapter.m_store_layout = std::move(layout);
    config::host_settings settings;
    settings.m_name = "entry-" + zone;
    settings.m_zone = zone;
    settings.m_zones = {{"a", "r"}, {"b", "r"}};
    settings.m_max_owners_per_zone = 1;
    settings.m_platform_calls_per_second = 1000;
    state.m_hosts.at(index) =
        take(serve::create_host(*state.m_loop, settings, std::move(adapter)));
}

std::unique_ptr<fixture> make_fixture()
{
    logging::start(logging::level::error);
    auto state = std::make_unique<fixture>();
    state->m_store.m_loop = state->m_loop.get();
    tools::target_settings settings;
    settings.m_name = "t1";
    state->m_target =
        take(tools::target_emulator::create(*state->m_loop, settings));
    put(state->m_store, document_key, "3");
    put(state->m_store, std::string(target_prefix) + "t1",
        std::to_string(state->m_target->port()));
    start_host(*state, 0, "a");
    start_host(*state, 1, "b");
    run_until(
        *state,
        [&]
        {
            return serve::is_ready(*state->m_hosts[0]) &&
                   serve::is_ready(*state->m_hosts[1]) &&
                   state->m_hosts[0]->m_peer_network->is_linked("entry-b") &&
                   state->m_hosts[1]->m_peer_network->is_linked("entry-a");
        });
    return state;
}

int send_and_wait(fixture& state, std::size_t host, std::string const& uri)
{
    int status = 0;
    bool is_done = false;
    net::http_request const request{
        "GET",
        uri,
        {{"Hawthornspur-Service", "map"}, {"Authorization", "Bearer key"}},
        {}};
    state.m_client->send(
        {"127.0.0.1", state.m_hosts.at(host)->m_caller_server->port()}, request,
        {},
        {.m_on_head = [&](net::http_response_head const& head,
                          std::optional<std::uint64_t>)
         { status = head.m_status; },
         .m_on_data = {},
         .m_on_end =
             [&](net::exchange_outcome)
         {
             is_done = true;
         }});
    run_until(state, [&] { return is_done; });
    return status;
}

/// Sends requests with a key until the condition holds. Returns whether each of
/// them was served or, for lack of a proof, refused with 503.
bool send_until(fixture& state, std::size_t host,
                std::function<bool(int)> const& condition)
{
    bool is_as_expected = true;
    auto const start = net::event_loop::now();
    for (int status = 0; !condition(status);)
    {
        REQUIRE(net::event_loop::now() - start < hang_timeout);
        status = send_and_wait(state, host, "/x/1");
        is_as_expected = is_as_expected && (status == 200 || status == 503);
    }
    return is_as_expected;
}

} // namespace

// Guards against a host that refuses requests because its own store is silent,
// against one that uses keys nobody confirms, and against refusals of public
// requests.
TEST_CASE("a host uses keys as long as some host's store confirms them")
{
    auto const state = make_fixture();
    auto& host = *state->m_hosts[0];
    CHECK(send_until(*state, 0, [](int status) { return status == 200; }));

    state->m_views[0].m_is_silent = true;
    auto const silent_since = net::event_loop::now();
    CHECK(send_until(*state, 0,
                     [&](int status)
                     {
                         return status == 200 &&
                                host.m_configuration_proofs->m_proof.m_time >
                                    silent_since + bound;
                     }));

    // A request that arrives without a proof waits for one.
    CHECK(send_until(*state, 0,
                     [&](int status)
                     {
                         auto& proofs = *host.m_configuration_proofs;
                         proofs.m_proof = {};
                         proofs.m_schedule.m_open_questions.clear();
                         return status == 200;
                     }));

    CHECK(send_until(*state, 0, [](int status) { return status == 200; }));

    state->m_views[1].m_is_silent = true;
    run_until(*state,
              [&] { return serve::configuration_proof_age(host) > bound; });
    CHECK(send_and_wait(*state, 0, "/x/1") == 503);
    CHECK(send_and_wait(*state, 1, "/x/1") == 503);
    CHECK(send_and_wait(*state, 0, "/public/1") == 200);

    state->m_views[0].m_is_silent = false;
    CHECK(send_until(*state, 0, [](int status) { return status == 200; }));
    CHECK(send_until(*state, 1, [](int status) { return status == 200; }));
}

} // namespace hawthornspur::test
