#include "config/document.hpp"
#include "core/ownership.hpp"
#include "net/event_loop.hpp"
#include "net/http_client.hpp"
#include "serve/configuration_driver.hpp"
#include "serve/host.hpp"
#include "serve/membership_driver.hpp"
#include "serve/readiness.hpp"
#include "serve/stop.hpp"
#include "serve/store_sync.hpp"
#include "store_fixture.hpp"
#include "target_emulator/target_emulator.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace hawthornspur::test
{

namespace
{

bool is_polling(serve::entry_host const& host)
{
    return host.m_store_sync->m_targets.m_is_polling &&
           host.m_store_sync->m_configuration.m_is_polling;
}

/// Starts four hosts and waits until two of them watch the store and the other
/// two poll it.
void start_four_hosts(fixture& fixture_state)
{
    for (auto const* name : {"entry-1", "entry-2", "entry-3", "entry-4"})
    {
        start_host(fixture_state, name);
    }
    run_until(fixture_state,
              [&]
              {
                  return std::count_if(fixture_state.m_hosts.begin(),
                                       fixture_state.m_hosts.end(),
                                       [](auto const& host)
                                       { return is_polling(*host); }) == 2 &&
                         fixture_state.m_store.m_watches.size() == 4;
              });
}

} // namespace

// Guards against hosts that work only with the default store format and host
// list.
TEST_CASE("hosts read document, targets and peers from a platform's store")
{
    auto const fixture_state = make_fixture();
    start_host(*fixture_state, "entry-1");
    start_host(*fixture_state, "entry-2");
    run_until(*fixture_state,
              [&]
              {
                  return serve::is_ready(*fixture_state->m_hosts[0]) &&
                         serve::is_ready(*fixture_state->m_hosts[1]) &&
                         fixture_state->m_hosts[0]->m_peer_network->is_linked(
                             "entry-2") &&
                         fixture_state->m_hosts[1]->m_peer_network->is_linked(
                             "entry-1");
              });
    CHECK(send_and_wait(*fixture_state, 0) == 200);
    CHECK(send_and_wait(*fixture_state, 1) == 200);
    CHECK(fixture_state->m_hosts[0]->m_configuration.m_in_force->m_generation ==
          3);
}

// Guards against a host that cannot read the targets, gets the document from a
// peer, becomes owner of pools and refuses every request.
TEST_CASE("a host that has not read the targets forwards requests")
{
    auto const fixture_state = make_fixture();
    std::vector<core::owner_candidate> const candidates{{"entry-1", "a"},
                                                        {"entry-2", "a"}};
    auto const order = core::zone_succession("a", candidates);
    bool is_first_refused = false;
    SUBCASE("it would own the pools")
    {
        is_first_refused = true;
    }
    SUBCASE("the other host owns the pools") {}
    auto const& refused_name = is_first_refused ? order[0] : order[1];
    auto const& other_name = is_first_refused ? order[1] : order[0];
    start_host(*fixture_state, other_name);
    start_host(*fixture_state, refused_name, true);
    auto& refused = *fixture_state->m_hosts[1];
    run_until(*fixture_state,
              [&]
              {
                  return serve::is_ready(*fixture_state->m_hosts[0]) &&
                         serve::can_route(refused) &&
                         refused.m_peer_network->is_linked(other_name);
              });
    run_until(
        *fixture_state,
        [&]
        {
            auto const* other = core::find_host(refused.m_routing, other_name);
            return other != nullptr && other->m_state == core::host_state::live;
        });
    if (is_first_refused)
    {
        CHECK(!serve::is_ready(refused));
    }
    else
    {
        run_until(*fixture_state, [&] { return serve::is_ready(refused); });
    }
    CHECK(send_and_wait(*fixture_state, 1) == 200);
    CHECK(refused.m_pools.empty());
    fixture_state->m_views[1]->m_is_refused = false;
    run_until(*fixture_state, [&] { return serve::is_ready(refused); });
    CHECK(send_and_wait(*fixture_state, 1) == 200);
}

// Guards against callers that spend their retries while all hosts start after a
// loss of all: a host that has no document or no targets yet holds a request
// for a moment instead of refusing it. It refuses the request if it learns
// nothing.
TEST_CASE("a request that arrives while a host starts waits for the targets")
{
    auto const fixture_state = make_fixture();
    start_host(*fixture_state, "entry-1", false, true);
    auto const first = send(*fixture_state, 0);
    run_until(*fixture_state,
              [&] { return !fixture_state->m_hosts[0]->m_calls.empty(); });
    SUBCASE("the store answers in time")
    {
        answer_delayed_reads(*fixture_state->m_views[0]);
        run_until(*fixture_state, [&] { return first->has_value(); });
        CHECK(**first == 200);
    }
    SUBCASE("the store does not answer")
    {
        run_until(*fixture_state, [&] { return first->has_value(); });
        CHECK(**first == 503);
    }
}

namespace
{

core::kind_config make_read_kind(std::string const& name,
                                 std::string const& prefix)
{
    core::kind_config kind;
    kind.m_name = name;
    kind.m_method = "GET";
    kind.m_path_prefix = prefix;
    kind.m_execution = core::execution_rule::idempotent;
    return kind;
}

/// A document in which `service` has the route of "/x/". The service "map" may
/// have a route for all other paths.
std::string make_routed_document(std::uint64_t generation,
                                 std::string const& service,
                                 bool has_general_route)
{
    core::configuration document;
    document.m_generation = generation;
    document.m_change_id = std::to_string(generation);
    document.m_zones = {{"a", "r", {}, {}}};
    core::service_config map;
    map.m_name = "map";
    core::service_config photos;
    photos.m_name = "photos";
    map.m_kinds = photos.m_kinds = {make_read_kind("other", "/other/")};
    (service == "map" ? map : photos)
        .m_kinds.push_back(make_read_kind("x", "/x/"));
    document.m_routes = {{"x", "", "/x/", {{service, 1}}}};
    if (has_general_route)
    {
        map.m_kinds.push_back(make_read_kind("general", "/"));
        document.m_routes.push_back({"general", "", "/", {{"map", 1}}});
    }
    document.m_services = {map, photos};
    return config::print_document(document);
}

/// Adds a second target with the entry `text` after its port, and starts a host
/// that has the document and has not read the targets.
std::unique_ptr<tools::target_emulator>
start_host_without_targets(fixture& fixture_state, std::string const& text)
{
    tools::target_settings settings;
    settings.m_name = "t2";
    auto target =
        take(tools::target_emulator::create(*fixture_state.m_loop, settings));
    put(fixture_state.m_store, "targets/t2",
        std::to_string(target->port()) + text);
    start_host(fixture_state, "entry-1", false, true);
    fixture_state.m_views[0]->m_delayed_prefix = target_prefix;
    return target;
}

/// Waits until the host holds the classified request, and gives it the next
/// document and then the targets.
void change_document_of_held_call(fixture& fixture_state,
                                  std::string const& document)
{
    auto& host = *fixture_state.m_hosts[0];
    run_until(fixture_state,
              [&]
              {
                  return !host.m_start_queue.m_calls.empty() &&
                         host.m_calls.begin()->second->m_classified.m_service !=
                             nullptr;
              });
    REQUIRE(has_value(serve::apply_operator_document(
        host, document, core::configuration_source::store)));
    answer_delayed_reads(*fixture_state.m_views[0]);
}

} // namespace

// Guards against a held request that is refused as unknown, or run by the
// former service, because the first lookup has replaced what the caller asked
// for.
TEST_CASE("a held request follows a route that moves to another service")
{
    auto const fixture_state = make_fixture();
    bool has_general_route = false;
    SUBCASE("the former service has no route that matches") {}
    SUBCASE("the former service has another route that matches")
    {
        has_general_route = true;
    }
    put(fixture_state->m_store, document_key,
        make_routed_document(3, "map", has_general_route));
    auto const photos = start_host_without_targets(*fixture_state, " photos");
    auto const status = send(*fixture_state, 0, {{"Hawthornspur-Service", ""}});
    change_document_of_held_call(
        *fixture_state, make_routed_document(4, "photos", has_general_route));
    run_until(*fixture_state, [&] { return status->has_value(); });
    CHECK(**status == 200);
    CHECK(photos->runs().m_runs == 1);
    CHECK(fixture_state->m_target->runs().m_runs == 0);
}

// Guards against a held request that loses the zone of its caller because the
// first document does not have it.
TEST_CASE("a held request follows a zone that is added")
{
    auto const fixture_state = make_fixture();
    auto const zone_b = start_host_without_targets(*fixture_state, " map b");
    auto const status =
        send(*fixture_state, 0,
             {{"Hawthornspur-Service", "map"}, {"Hawthornspur-Zone", "b"}});
    auto parsed = config::parse_document(make_document(4));
    auto& document = std::get<core::configuration>(parsed);
    auto const delay = std::chrono::milliseconds(1);
    document.m_zones = {{"a", "r", {{"b", delay}}, {}},
                        {"b", "r", {{"a", delay}}, {}}};
    change_document_of_held_call(*fixture_state,
                                 config::print_document(document));
    run_until(*fixture_state, [&] { return status->has_value(); });
    CHECK(**status == 200);
    CHECK(zone_b->runs().m_runs == 1);
}

// Guards against requests to a target whose entry was removed.
TEST_CASE("a target without an entry gets no requests")
{
    auto const fixture_state = make_fixture();
    start_host(*fixture_state, "entry-1");
    run_until(*fixture_state,
              [&] { return serve::is_ready(*fixture_state->m_hosts[0]); });
    CHECK(send_and_wait(*fixture_state, 0) == 200);
    remove(fixture_state->m_store, "targets/t1");
    run_until(*fixture_state,
              [&]
              {
                  auto const& document =
                      *fixture_state->m_hosts[0]->m_configuration.m_in_force;
                  return document.m_services[0].m_targets.empty();
              });
    CHECK(send_and_wait(*fixture_state, 0) == 503);
    put(fixture_state->m_store, "targets/t1",
        std::to_string(fixture_state->m_target->port()));
    run_until(*fixture_state,
              [&] { return send_and_wait(*fixture_state, 0) == 200; });
}

// Guards against a host that keeps outdated targets after the store has
// compacted the changes it has not read.
TEST_CASE("a host reads a new snapshot after the history is compacted")
{
    auto const fixture_state = make_fixture();
    start_host(*fixture_state, "entry-1");
    run_until(*fixture_state,
              [&] { return serve::is_ready(*fixture_state->m_hosts[0]); });
    auto const before = fixture_state->m_store.m_snapshots;
    run_until(*fixture_state,
              [&] { return fixture_state->m_store.m_watches.size() >= 2; });
    fixture_state->m_store.m_items["targets/t2"] = {
        "9", ++fixture_state->m_store.m_revision};
    lose_history(fixture_state->m_store);
    run_until(*fixture_state,
              [&] { return fixture_state->m_store.m_snapshots > before; });
    run_until(*fixture_state,
              [&]
              {
                  auto const& document =
                      *fixture_state->m_hosts[0]->m_configuration.m_in_force;
                  return document.m_services[0].m_targets.size() == 2;
              });
}

// Guards against a watch on every host, which multiplies the load on the store,
// and against hosts that receive a change only with their next poll.
TEST_CASE(
    "two hosts of a zone watch the store and forward changes to the others")
{
    auto const fixture_state = make_fixture();
    start_four_hosts(*fixture_state);
    auto const snapshots = fixture_state->m_store.m_snapshots;
    put(fixture_state->m_store, document_key, make_document(4));
    run_until(
        *fixture_state,
        [&]
        {
            return std::all_of(
                fixture_state->m_hosts.begin(), fixture_state->m_hosts.end(),
                [](auto const& host) {
                    return host->m_configuration.m_in_force->m_generation == 4;
                });
        });
    CHECK(fixture_state->m_store.m_snapshots == snapshots);
    for (auto const& host : fixture_state->m_hosts)
    {
        CHECK((!is_polling(*host) || host->m_configuration.m_source ==
                                         core::configuration_source::peer));
    }
}

// Guards against a host that becomes owner and uses a target list read seconds
// before, from which targets have been removed since.
TEST_CASE("a new owner reads the targets before it uses them")
{
    auto const fixture_state = make_fixture();
    start_four_hosts(*fixture_state);
    remove(fixture_state->m_store, "targets/t1");
    std::size_t polling_host = 0;
    for (std::size_t i = 0; i < fixture_state->m_hosts.size(); ++i)
    {
        if (is_polling(*fixture_state->m_hosts[i]))
        {
            polling_host = i;
        }
    }
    // The polling host has not read the removal yet.
    CHECK(!fixture_state->m_hosts[polling_host]
               ->m_configuration.m_in_force->m_services[0]
               .m_targets.empty());
    for (std::size_t i = 0; i < fixture_state->m_hosts.size(); ++i)
    {
        if (i != polling_host)
        {
            serve::begin_stop(*fixture_state->m_hosts[i], "test");
        }
    }
    for (int i = 0; i < 20; ++i)
    {
        CHECK(send_and_wait(*fixture_state, polling_host) == 503);
    }
    run_until(*fixture_state, [&]
              { return !is_polling(*fixture_state->m_hosts[polling_host]); });
    put(fixture_state->m_store, "targets/t1",
        std::to_string(fixture_state->m_target->port()));
    run_until(*fixture_state, [&]
              { return send_and_wait(*fixture_state, polling_host) == 200; });
}

// Guards against hosts that compare revisions of before and after the store
// came back from an earlier state, and miss or discard what was written since.
TEST_CASE("hosts follow a store that came back from an earlier state")
{
    auto const fixture_state = make_fixture();
    auto& store = fixture_state->m_store;
    start_four_hosts(*fixture_state);
    auto const copy = store;
    auto const has_all = [&](auto const& condition)
    {
        return std::all_of(fixture_state->m_hosts.begin(),
                           fixture_state->m_hosts.end(), condition);
    };
    auto const change = [&](std::uint64_t generation, std::string const& target)
    {
        put(store, document_key, make_document(generation));
        put(store, target_prefix + target, "9");
    };
    auto const has_change =
        [&](std::uint64_t generation, std::string const& target)
    {
        return has_all(
            [&](auto const& host)
            {
                auto const& sync = *host->m_store_sync;
                return host->m_configuration.m_in_force->m_generation ==
                           generation &&
                       sync.m_target_directory.m_entries.contains(target);
            });
    };
    int later_writes = 0;
    SUBCASE("its revision has passed those that the hosts know")
    {
        later_writes = 3;
    }
    SUBCASE("its revision is lower")
    {
        put(store, "other/key", "x");
        put(store, "other/key", "x");
    }
    change(4, "t2");
    run_until(*fixture_state, [&] { return has_change(4, "t2"); });
    restore(store, copy);
    change(5, "t3");
    for (int i = 0; i < later_writes; ++i)
    {
        put(store, "other/key", "x");
    }
    run_until(*fixture_state, [&] { return has_change(5, "t3"); });
}

// Guards against a host that other hosts do not find, because the store has
// lost its registration together with the lease that it renews.
TEST_CASE("hosts register again after the store came back")
{
    auto const fixture_state = make_fixture();
    auto& store = fixture_state->m_store;
    auto const copy = store;
    start_four_hosts(*fixture_state);
    auto const leases = store.m_leases;
    restore(store, copy);
    run_until(*fixture_state, [&] { return store.m_leases >= leases + 2; });
}

// Guards against a restart of all hosts in which each host lists only itself in
// address answers because it has not found the others.
TEST_CASE("a host is ready once it has found a peer or is the preferred owner")
{
    auto const fixture_state = make_fixture();
    SUBCASE("another host is the preferred owner")
    {
        put(fixture_state->m_store, "hawthornspur/hosts/large",
            R"({"name":"large","zone":"a","address":"127.0.0.1",)"
            R"("callers_port":9,"peers_port":9,"millicores":4000})");
        start_host(*fixture_state, "entry-1");
        auto const& host = *fixture_state->m_hosts[0];
        run_until(
            *fixture_state, [&]
            { return serve::has_target_list(host) && serve::can_route(host); });
        CHECK(!serve::is_ready(host));
        // It becomes ready when the listed host does not answer.
        run_until(*fixture_state, [&] { return serve::is_ready(host); });
        CHECK(send_and_wait(*fixture_state, 0) == 200);
    }
    SUBCASE("the host is the preferred owner")
    {
        start_host(*fixture_state, "entry-1");
        auto const& host = *fixture_state->m_hosts[0];
        run_until(*fixture_state, [&] { return serve::is_ready(host); });
        CHECK(host.m_store_sync->m_is_preferred_owner);
    }
}

} // namespace hawthornspur::test
