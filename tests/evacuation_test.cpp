// Evacuations by keys of the platform's store, over hosts of two zones.

#include "config/document.hpp"
#include "serve/membership_driver.hpp"
#include "serve/readiness.hpp"
#include "serve/store_sync.hpp"
#include "store_fixture.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

namespace hawthornspur::test
{

namespace
{

std::string make_two_zones()
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

/// Starts the hosts, the first letter of whose names is their zone, and waits
/// until they are ready. Each of two zones has a target.
std::unique_ptr<fixture> make_zones(std::vector<std::string> const& hosts)
{
    auto state = make_fixture();
    put(state->m_store, document_key, make_two_zones());
    tools::target_settings settings;
    settings.m_name = "t2";
    state->m_other_target =
        take(tools::target_emulator::create(*state->m_loop, settings));
    put(state->m_store, target_prefix + std::string("t2"),
        std::to_string(state->m_other_target->port()) + " map b");
    for (auto const& name : hosts)
    {
        start_host(*state, name, false, false, name.substr(0, 1));
    }
    run_until(*state,
              [&]
              {
                  return std::all_of(
                      state->m_hosts.begin(), state->m_hosts.end(),
                      [&](auto const& host)
                      {
                          return serve::is_ready(*host) &&
                                 core::hosts(*host->m_membership).size() + 1 ==
                                     hosts.size();
                      });
              });
    return state;
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
    auto const runs_before = state.m_target->runs().m_runs;
    auto const other_before = state.m_other_target->runs().m_runs;
    for (int i = 0; i < 5; ++i)
    {
        CHECK(send_and_wait(state, host) == 200);
    }
    CHECK(state.m_target->runs().m_runs == runs_before);
    CHECK(state.m_other_target->runs().m_runs == other_before + 5);
}

} // namespace

// Guards against targets of an evacuated zone that get requests, against hosts
// of the zone that refuse their callers, and against a zone that stays empty
// after the key is removed or the store is restored from before it.
TEST_CASE("an evacuated zone's requests go to other zones until it is back")
{
    auto const state = make_zones({"a1", "b1"});
    auto const before = state->m_store;
    CHECK(send_and_wait(*state, 0) == 200);
    CHECK(state->m_target->runs().m_runs == 1);
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
    CHECK(state->m_target->runs().m_runs == 2);
}

// Guards against a wrong entry that evacuates or takes back a zone.
TEST_CASE("entries that cannot be used leave the zones as they are")
{
    auto const state = make_zones({"a1", "b1"});
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
    auto const state = make_zones({"a1", "b1"});
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
    auto const state = make_zones({"a1", "a2", "a3", "a4"});
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
    CHECK(state->m_target->runs().m_runs == 0);
    check_sent_to_other_zone(*state, state->m_hosts[0] != nullptr   ? 0
                                     : state->m_hosts[1] != nullptr ? 1
                                                                    : 2);
}

} // namespace hawthornspur::test
