// Evacuations by keys of the platform's store, over hosts of two zones.

#include "base/logging.hpp"
#include "base/text.hpp"
#include "config/document.hpp"
#include "memory_store.hpp"
#include "net/event_loop.hpp"
#include "net/http_client.hpp"
#include "serve/host.hpp"
#include "serve/membership_driver.hpp"
#include "serve/store_sync.hpp"
#include "target_emulator/target_emulator.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <variant>
#include <vector>

namespace hawthornspur::test
{

namespace
{

constexpr auto hang_timeout = std::chrono::seconds(30);
constexpr std::string_view evacuation_prefix = "conf/evacuate/";

result<core::configuration> read_document(std::string_view text)
{
    auto parsed = config::parse_document(text);
    if (auto* document = std::get_if<core::configuration>(&parsed))
    {
        return std::move(*document);
    }
    return make_error(result_code::store_answer_malformed, "document");
}

/// Parses an entry, whose key ends with the zone and whose value is the port.
result<core::registered_target> read_target(std::string_view key,
                                            std::string_view value)
{
    core::registered_target target;
    target.m_name = key.substr(std::string_view(target_prefix).size());
    target.m_service = "map";
    target.m_zone = target.m_name.substr(1);
    target.m_address = "127.0.0.1";
    target.m_port = parse_number<std::uint16_t>(value).value_or(0);
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

std::string make_document()
{
    core::configuration document;
    document.m_generation = 3;
    document.m_change_id = "3";
    document.m_zones = {{"a", "r", {{"b", std::chrono::milliseconds(1)}}, {}},
                        {"b", "r", {{"a", std::chrono::milliseconds(1)}}, {}}};
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

/// Host and target loops of one process, with one target in each zone.
struct fixture
{
    std::unique_ptr<net::event_loop> m_loop = take(net::event_loop::create());
    std::unique_ptr<net::http_client> m_client =
        take(net::http_client::create(*m_loop));
    memory_store m_store;
    std::vector<std::unique_ptr<tools::target_emulator>> m_targets;
    std::vector<std::unique_ptr<store_view>> m_views;
    std::vector<std::unique_ptr<serve::entry_host>> m_hosts;

    std::uint64_t runs(std::size_t target)
    {
        return m_targets[target]->runs().m_runs;
    }
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

/// Starts the hosts, the first letter of whose names is their zone, and waits
/// until they are ready and linked.
std::unique_ptr<fixture> make_fixture(std::vector<std::string> const& hosts)
{
    logging::start(logging::level::error);
    auto state = std::make_unique<fixture>();
    state->m_store.m_loop = state->m_loop.get();
    put(state->m_store, document_key, make_document());
    for (auto const* name : {"ta", "tb"})
    {
        tools::target_settings settings;
        settings.m_name = name;
        state->m_targets.push_back(
            take(tools::target_emulator::create(*state->m_loop, settings)));
        put(state->m_store, target_prefix + std::string(name),
            std::to_string(state->m_targets.back()->port()));
    }
    for (auto const& name : hosts)
    {
        auto view = std::make_unique<store_view>();
        view->m_store = &state->m_store;
        config::host_settings settings;
        settings.m_name = name;
        settings.m_zone = name.substr(0, 1);
        settings.m_max_owners_per_zone = 1;
        settings.m_platform_calls_per_second = 1000;
        state->m_hosts.push_back(take(
            serve::create_host(*state->m_loop, settings, make_adapter(*view))));
        state->m_views.push_back(std::move(view));
    }
    run_until(*state,
              [&]
              {
                  for (auto const& host : state->m_hosts)
                  {
                      if (!serve::is_ready(*host) ||
                          core::hosts(*host->m_membership).size() + 1 !=
                              hosts.size())
                      {
                          return false;
                      }
                  }
                  return true;
              });
    return state;
}

/// The status of an answer, once it has ended.
using pending_status = std::shared_ptr<std::optional<int>>;

pending_status send(fixture& state, std::size_t host)
{
    auto status = std::make_shared<std::optional<int>>();
    auto head_status = std::make_shared<int>(0);
    net::http_request const request{
        "GET", "/x", {{"Hawthornspur-Service", "map"}}, {}};
    state.m_client->send(
        {"127.0.0.1", state.m_hosts[host]->m_caller_server->port()}, request,
        {},
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

int send_and_wait(fixture& state, std::size_t host)
{
    auto const status = send(state, host);
    run_until(state, [&] { return status->has_value(); });
    return **status;
}

std::string read_status(fixture& state, std::size_t host)
{
    std::string body;
    bool is_done = false;
    state.m_client->send(
        {"127.0.0.1", state.m_hosts[host]->m_administration_server->port()},
        {"GET", "/status", {}, {}}, {},
        {.m_on_head = [](net::http_response_head const&,
                         std::optional<std::uint64_t>) {},
         .m_on_data = [&](std::string_view data) { body += data; },
         .m_on_end =
             [&](net::exchange_outcome)
         {
             is_done = true;
         }});
    run_until(state, [&] { return is_done; });
    return body;
}

bool has_evacuated(serve::entry_host const& host, std::string const& zone)
{
    return host.m_evacuation.m_in_force.m_decision.m_zones.contains(zone);
}

void wait_for_all(fixture& state, bool is_evacuated)
{
    run_until(state,
              [&]
              {
                  for (auto const& host : state.m_hosts)
                  {
                      if (host != nullptr &&
                          has_evacuated(*host, "a") != is_evacuated)
                      {
                          return false;
                      }
                  }
                  return true;
              });
}

void check_sent_to_other_zone(fixture& state, std::size_t host)
{
    auto const runs_before = state.runs(0);
    auto const other_before = state.runs(1);
    for (int i = 0; i < 5; ++i)
    {
        CHECK(send_and_wait(state, host) == 200);
    }
    CHECK(state.runs(0) == runs_before);
    CHECK(state.runs(1) == other_before + 5);
}

} // namespace

// Guards against targets of an evacuated zone that get requests, against hosts
// of the zone that refuse their callers, and against a zone that stays empty
// after the key is removed or the store is restored from before it.
TEST_CASE("an evacuated zone's requests go to other zones until it is back")
{
    auto const state = make_fixture({"a1", "b1"});
    auto const before = state->m_store;
    CHECK(send_and_wait(*state, 0) == 200);
    CHECK(state->runs(0) == 1);
    put(state->m_store, "conf/evacuate/a", "{}");
    wait_for_all(*state, true);
    check_sent_to_other_zone(*state, 0);
    CHECK(read_status(*state, 0).find(
              R"("evacuated_zones":[{"pools":[{"in_flight":0,"queued":0,)"
              R"("service":"map"}],"zone":"a"}])") != std::string::npos);
    SUBCASE("the key is removed")
    {
        remove(state->m_store, "conf/evacuate/a");
    }
    SUBCASE("the key is removed while the history is lost")
    {
        state->m_store.m_items.erase("conf/evacuate/a");
        ++state->m_store.m_revision;
        lose_history(state->m_store);
    }
    SUBCASE("the store is restored")
    {
        restore(state->m_store, before);
    }
    wait_for_all(*state, false);
    CHECK(send_and_wait(*state, 0) == 200);
    CHECK(state->runs(0) == 2);
}

// Guards against a wrong entry that evacuates or takes back a zone.
TEST_CASE("entries that cannot be used leave the zones as they are")
{
    auto const state = make_fixture({"a1", "b1"});
    put(state->m_store, "conf/evacuate/a", "{}");
    put(state->m_store, "conf/evacuate/x", "{}");
    wait_for_all(*state, true);
    put(state->m_store, "conf/evacuate/a", "[]");
    put(state->m_store, "conf/evacuate/b", "no");
    auto const& evacuation = state->m_hosts[0]->m_evacuation;
    run_until(*state, [&] { return evacuation.m_rejected_values.size() == 2; });
    CHECK(evacuation.m_in_force.m_decision.m_unknown ==
          std::vector<std::string>{"x"});
    check_sent_to_other_zone(*state, 0);
    put(state->m_store, "conf/evacuate/b", "{}");
    wait_for_all(*state, false);
    CHECK(evacuation.m_in_force.m_decision.m_names_all);
    CHECK(send_and_wait(*state, 0) == 200);
}

// Guards against a host that keeps sending to the zone because the store's
// notification did not reach it.
TEST_CASE("a host whose watch is silent hears of an evacuation from others")
{
    auto const state = make_fixture({"a1", "b1"});
    run_until(*state,
              [&]
              {
                  return state->m_store.m_watches.size() == 4 &&
                         state->m_hosts[0]->m_peer_network->is_linked("b1") &&
                         state->m_hosts[1]->m_peer_network->is_linked("a1");
              });
    drop_watches(state->m_store, "conf/", *state->m_views[0]);
    put(state->m_store, "conf/evacuate/a", "{}");
    wait_for_all(*state, true);
    check_sent_to_other_zone(*state, 0);
    remove(state->m_store, "conf/evacuate/a");
    wait_for_all(*state, false);
}

// Guards against a successor that sends to the targets of the zone, which it
// has read, before it knows that the zone is evacuated.
TEST_CASE("the successor of killed owners reads the evacuated zones first")
{
    constexpr auto slow_read = std::chrono::milliseconds(150);
    auto const state = make_fixture({"a1", "a2", "a3", "a4"});
    auto const is_watcher = [&](std::size_t host)
    {
        return state->m_hosts[host] != nullptr &&
               !state->m_hosts[host]->m_store_sync->m_targets.m_is_polling;
    };
    auto const count_watchers = [&]
    {
        int count = 0;
        for (std::size_t i = 0; i < 4; ++i)
        {
            count += is_watcher(i) ? 1 : 0;
        }
        return count;
    };
    run_until(*state, [&] { return count_watchers() == 2; });
    for (std::size_t i = 0; i < 4; ++i)
    {
        state->m_views[i]->m_is_delayed = true;
        state->m_views[i]->m_delayed_prefix = "conf/";
        if (is_watcher(i))
        {
            state->m_hosts[i].reset();
        }
    }
    state->m_store.m_watches.clear();
    put(state->m_store, "conf/evacuate/a", "{}");
    run_until(*state, [&] { return count_watchers() == 2; });
    auto const read_at = net::event_loop::now();
    std::vector<pending_status> answers;
    run_until(*state,
              [&]
              {
                  for (std::size_t i = 0; i < 4; ++i)
                  {
                      if (state->m_hosts[i] != nullptr && answers.size() < 100)
                      {
                          answers.push_back(send(*state, i));
                      }
                  }
                  return net::event_loop::now() - read_at >= slow_read;
              });
    for (auto const& view : state->m_views)
    {
        answer_delayed_reads(*view);
    }
    wait_for_all(*state, true);
    run_until(*state,
              [&]
              {
                  return std::all_of(answers.begin(), answers.end(),
                                     [](auto const& a)
                                     { return a->has_value(); });
              });
    CHECK(state->runs(0) == 0);
    check_sent_to_other_zone(*state, state->m_hosts[0] != nullptr   ? 0
                                     : state->m_hosts[1] != nullptr ? 1
                                                                    : 2);
}

} // namespace hawthornspur::test
