#include "core/target_directory.hpp"

#include <doctest/doctest.h>

namespace hawthornspur::core
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

registered_target make_target(std::string name)
{
    registered_target target;
    target.m_name = std::move(name);
    target.m_service = "map";
    target.m_zone = "a";
    target.m_address = "127.0.0.1";
    target.m_port = 80;
    return target;
}

time_point at_ms(int ms)
{
    return time_point(milliseconds(ms));
}

} // namespace

// Guards against requests that are sent to a target after its entry was
// removed.
TEST_CASE("a removed target is dropped at once if there was no outage")
{
    target_directory directory;
    CHECK(put_target(directory, make_target("t1"), at_ms(0)));
    CHECK(!put_target(directory, make_target("t1"), at_ms(5)));
    CHECK(remove_target(directory, "t1", at_ms(10)));
    CHECK(directory.m_entries.empty());
    CHECK(!remove_target(directory, "t1", at_ms(11)));
}

// Guards against an outage of the registry that empties every pool although all
// targets run.
TEST_CASE("entries that lapsed in an outage can be registered again")
{
    target_directory directory;
    put_target(directory, make_target("t1"), at_ms(0));
    put_target(directory, make_target("t2"), at_ms(0));
    record_registry_recovery(directory, at_ms(9'900), at_ms(10'000));
    CHECK(!replace_targets(directory, {}, at_ms(10'000)));
    CHECK(directory.m_entries.size() == 2);
    CHECK(next_lapsed_removal(directory) == at_ms(10'000) + lapsed_entry_grace);
    put_target(directory, make_target("t1"), at_ms(11'500));
    CHECK(remove_lapsed_entries(directory, at_ms(10'000) + lapsed_entry_grace));
    REQUIRE(directory.m_entries.size() == 1);
    CHECK(directory.m_entries.contains("t1"));
    CHECK(!next_lapsed_removal(directory));
}

// Guards against use of a target that left while only this host was partitioned
// from the registry. The host reaches the registry about a second after the end
// of the partition, and the removal has to be in effect 3 s after the end.
TEST_CASE("an entry missing after a partition is not used beyond the limit")
{
    auto const partition_end = at_ms(13'000);
    auto const limit = partition_end + seconds(3);
    target_directory directory;
    put_target(directory, make_target("left"), at_ms(0));
    record_registry_recovery(directory, at_ms(12'950), at_ms(14'000));
    replace_targets(directory, {}, at_ms(14'000));
    REQUIRE(next_lapsed_removal(directory));
    CHECK(*next_lapsed_removal(directory) < limit);
    CHECK(remove_lapsed_entries(directory, limit));
    CHECK(directory.m_entries.empty());
}

// Guards against a restarted target that is treated as the former process.
TEST_CASE("a new incarnation under the same name is a change")
{
    target_directory directory;
    auto target = make_target("t1");
    target.m_incarnation = 1;
    put_target(directory, target, at_ms(0));
    target.m_incarnation = 2;
    CHECK(put_target(directory, target, at_ms(5)));
}

// Guards against targets of the document that are used besides the registered
// ones, and against registered ones that lose their attributes.
TEST_CASE("registered targets replace those of the document")
{
    configuration document;
    service_config service;
    service.m_name = "map";
    service.m_max_connections = 220;
    service.m_targets.resize(3);
    document.m_services.push_back(service);
    target_directory directory;
    auto target = make_target("t1");
    target.m_warm_up_left = seconds(3);
    put_target(directory, target, at_ms(1000));
    target.m_name = "t2";
    target.m_service = "unknown";
    put_target(directory, target, at_ms(1000));
    auto const merged = with_registered_targets(document, directory);
    REQUIRE(merged.m_services[0].m_targets.size() == 1);
    CHECK(merged.m_services[0].m_targets[0].m_name == "t1");
    CHECK(merged.m_services[0].m_targets[0].m_max_connections == 220);
    CHECK(merged.m_services[0].m_targets[0].m_cold_until == at_ms(4000));
}

// Guards against a draining target that is used again because the registry
// shows an entry that the target wrote before.
TEST_CASE("an earlier entry of the same process does not replace a later one")
{
    target_directory directory;
    auto ready = make_target("t1");
    ready.m_incarnation = 7;
    ready.m_sequence = 1;
    auto draining = ready;
    draining.m_sequence = 4;
    draining.m_state = target_state::draining;
    CHECK(put_target(directory, draining, at_ms(0)));
    CHECK(!put_target(directory, ready, at_ms(10)));
    CHECK(directory.m_entries.at("t1").m_target.m_state ==
          target_state::draining);
    // A new process under the same name starts its count anew.
    ready.m_incarnation = 8;
    CHECK(put_target(directory, ready, at_ms(20)));
}

// Guards against targets that have left and are used again because the registry
// came back from an earlier state.
TEST_CASE("a removed target stays removed while the registry is restored")
{
    target_directory directory;
    auto target = make_target("t1");
    target.m_incarnation = 7;
    put_target(directory, target, at_ms(0));
    remove_target(directory, "t1", at_ms(1'000));
    record_registry_restore(directory, at_ms(2'000));
    CHECK(!replace_targets(directory, {target}, at_ms(2'010)));
    CHECK(directory.m_entries.empty());
    SUBCASE("a new process under its name is used")
    {
        target.m_incarnation = 8;
        CHECK(put_target(directory, target, at_ms(2'020)));
    }
    SUBCASE("a target that is still registered afterwards is used")
    {
        CHECK(replace_targets(directory, {target},
                              at_ms(2'000) + lapsed_entry_grace));
    }
    SUBCASE("targets missing in the restored state are kept for the grace time")
    {
        target.m_incarnation = 8;
        put_target(directory, target, at_ms(2'020));
        CHECK(!replace_targets(directory, {}, at_ms(2'030)));
        CHECK(directory.m_entries.size() == 1);
    }
}

} // namespace hawthornspur::core
