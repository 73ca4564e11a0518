#include "core/evacuated_zones.hpp"
#include "core/routing.hpp"
#include "core/target_directory.hpp"

#include <doctest/doctest.h>

#include <map>

namespace hawthornspur::core
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

configuration make_three_zones()
{
    configuration document;
    document.m_zones = {
        {"a", "r", {{"b", milliseconds(4)}, {"c", milliseconds(4)}}, {}},
        {"b", "r", {{"a", milliseconds(4)}, {"c", milliseconds(4)}}, {}},
        {"c", "r", {{"a", milliseconds(4)}, {"b", milliseconds(4)}}, {}}};
    service_config service;
    service.m_name = "map";
    service.m_warm_up = seconds(3);
    document.m_services = {service};
    return document;
}

registered_target make_target(std::string const& name, std::string const& zone,
                              int slots)
{
    registered_target target;
    target.m_service = "map";
    target.m_name = name;
    target.m_zone = zone;
    target.m_slots = slots;
    return target;
}

target_directory make_directory()
{
    target_directory directory;
    put_target(directory, make_target("t1", "a", 2), time_point(seconds(1)));
    put_target(directory, make_target("t2", "b", 3), time_point(seconds(1)));
    put_target(directory, make_target("t3", "c", 1), time_point(seconds(1)));
    return directory;
}

evacuated_zones make_set(std::uint64_t epoch, std::uint64_t revision,
                         std::set<std::string> zones)
{
    return {{epoch, revision}, std::move(zones)};
}

target_config const& target_of(configuration const& document, std::size_t index)
{
    return document.m_services[0].m_targets.at(index);
}

} // namespace

// Guards against a host that takes an earlier set from a peer, also one from
// before the store was restored.
TEST_CASE("the set that was read later in the history of the store is newer")
{
    CHECK(is_newer(make_set(1, 7, {}), {}));
    CHECK(!is_newer({}, make_set(1, 7, {"a"})));
    CHECK(!is_newer(make_set(1, 7, {"a"}), make_set(1, 7, {})));
    CHECK(is_newer(make_set(1, 8, {}), make_set(1, 7, {"a"})));
    CHECK(is_newer(make_set(2, 3, {}), make_set(1, 7, {"a"})));
}

// Guards against a change that undoes a later one which a peer has passed on.
TEST_CASE("a change is applied only if the set does not contain it yet")
{
    auto known = make_set(1, 7, {"a"});
    CHECK(!apply_change(known, {"a", false, 6}, 1));
    CHECK(known.m_zones.contains("a"));
    CHECK(apply_change(known, {"a", false, 8}, 1));
    CHECK(known.m_zones.empty());
    CHECK(apply_change(known, {"b", true, 9}, 1));
    CHECK(!apply_change(known, {"b", true, 10}, 1));
    CHECK(known.m_position.m_revision == 10);
}

// Guards against an outage of all zones by a wrong name or a name too many.
TEST_CASE("unknown zones are left out and not all zones are evacuated")
{
    auto document = make_three_zones();
    CHECK(decide_evacuation(document, {"a", "x"}) ==
          evacuation_decision{{"a"}, {"x"}, false});
    CHECK(decide_evacuation(document, {"a", "b", "c"}) ==
          evacuation_decision{{}, {}, true});
    document.m_zones[1].m_is_evacuated = true;
    CHECK(decide_evacuation(document, {"a"}) ==
          evacuation_decision{{"a", "b"}, {}, false});
}

// Guards against targets of an evacuated zone that get requests, or that stay
// out of use when the zone is taken back.
TEST_CASE("targets of an evacuated zone drain until the zone is taken back")
{
    auto const document = make_three_zones();
    auto const directory = make_directory();
    evacuation_state state;
    auto update = apply_decision(state, decide_evacuation(document, {"a"}),
                                 time_point(seconds(5)));
    CHECK(update.m_begun == std::vector<std::string>{"a"});
    auto merged = with_registered_targets(document, directory, state);
    CHECK(target_of(merged, 0).m_state == target_state::draining);
    CHECK(target_of(merged, 0).m_is_evacuated);
    CHECK(target_of(merged, 1).m_state == target_state::active);
    CHECK(directory.m_entries.at("t1").m_target.m_state ==
          target_state::active);
    update = apply_decision(state, decide_evacuation(document, {}),
                            time_point(seconds(9)));
    CHECK(update.m_ended == std::vector<std::string>{"a"});
    merged = with_registered_targets(merged, directory, state);
    CHECK(target_of(merged, 0).m_state == target_state::active);
    CHECK(!target_of(merged, 0).m_is_evacuated);
}

// Guards against full load on the cold targets of a zone that is taken back,
// and against a limit on targets that have said since that they are warm.
TEST_CASE("targets of a zone that was taken back are cold for their warm-up")
{
    auto const document = make_three_zones();
    auto directory = make_directory();
    evacuation_state state;
    apply_decision(state, decide_evacuation(document, {"a"}),
                   time_point(seconds(5)));
    apply_decision(state, {}, time_point(seconds(9)));
    auto merged = with_registered_targets(document, directory, state);
    CHECK(target_of(merged, 0).m_cold_until == time_point(seconds(12)));
    CHECK(target_of(merged, 1).m_cold_until == time_point{});
    put_target(directory, make_target("t1", "a", 2), time_point(seconds(10)));
    merged = with_registered_targets(document, directory, state);
    CHECK(target_of(merged, 0).m_cold_until == time_point{});
}

// Guards against a target that becomes cold again while its former cold time is
// still recorded, whose new end is not used.
TEST_CASE("an entry with a later end of the cold time is a change")
{
    auto directory = make_directory();
    auto target = make_target("t1", "a", 2);
    target.m_warm_up_left = seconds(3);
    CHECK(put_target(directory, target, time_point(seconds(10))));
    target.m_warm_up_left = seconds(2);
    CHECK(!put_target(directory, target, time_point(seconds(11))));
    target.m_warm_up_left = seconds(3);
    CHECK(put_target(directory, target, time_point(seconds(20))));
}

// Guards against a limit on all targets of a service because a host reads the
// entries again that they wrote when they started.
TEST_CASE("an entry that is read again does not make its target cold again")
{
    target_directory directory;
    auto target = make_target("t1", "a", 2);
    target.m_warm_up_left = seconds(3);
    target.m_sequence = 1;
    CHECK(put_target(directory, target, time_point(seconds(10))));
    CHECK(!put_target(directory, target, time_point(seconds(60))));
    CHECK(directory.m_entries.at("t1").m_cold_until == time_point(seconds(13)));
    target.m_sequence = 2;
    CHECK(put_target(directory, target, time_point(seconds(70))));
}

// Guards against one zone that gets the whole load of an evacuated one.
TEST_CASE("the load of an evacuated zone is spread over equally near zones")
{
    auto document = make_three_zones();
    auto const directory = make_directory();
    evacuation_state state;
    auto merged = with_registered_targets(document, directory, state);
    routing_table table;
    CHECK(pool_zone(table, merged, merged.m_services[0], "a") == "a");
    apply_decision(state, decide_evacuation(document, {"a"}), time_point{});
    merged = with_registered_targets(document, directory, state);
    reset(table, {});
    std::map<std::string, int> requests;
    for (int i = 0; i < 40; ++i)
    {
        ++requests[pool_zone(table, merged, merged.m_services[0], "a")];
    }
    CHECK(requests == std::map<std::string, int>{{"b", 30}, {"c", 10}});
    CHECK(pool_zone(table, merged, merged.m_services[0], "b") == "b");
    merged.m_zones[0].m_one_way_delay["c"] = milliseconds(9);
    reset(table, {});
    for (int i = 0; i < 8; ++i)
    {
        CHECK(pool_zone(table, merged, merged.m_services[0], "a") == "b");
    }
}

} // namespace hawthornspur::core
