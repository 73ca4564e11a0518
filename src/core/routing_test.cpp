#include "core/routing.hpp"

#include <doctest/doctest.h>

#include <algorithm>

namespace hawthornspur::core
{

namespace
{

configuration make_two_zones()
{
    using std::chrono::milliseconds;
    configuration document;
    document.m_zones = {{"a", "r", {{"b", milliseconds(5)}}, milliseconds(1)},
                        {"b", "r", {{"a", milliseconds(5)}}, milliseconds(2)}};
    service_config service;
    service.m_name = "map";
    target_config target;
    target.m_zone = "b";
    service.m_targets = {target};
    document.m_services = {service};
    return document;
}

host_record make_host(std::string name, std::string zone, host_state state)
{
    host_record record;
    record.m_name = std::move(name);
    record.m_zone = std::move(zone);
    record.m_state = state;
    return record;
}

} // namespace

// Guards against refusals of callers in a zone without targets.
TEST_CASE("callers in a zone without targets use the nearest pool")
{
    auto const document = make_two_zones();
    routing_table table;
    CHECK(pool_zone(table, document, document.m_services[0], "a") == "b");
}

// Guards against requests that are sent to hosts which are stopping or dead.
TEST_CASE("only live hosts own pools")
{
    auto const document = make_two_zones();
    struct row
    {
        host_state m_state;
        bool m_is_owner;
    };
    for (auto const& [state, is_owner] :
         {row{host_state::live, true}, row{host_state::joining, false},
          row{host_state::suspected, false}, row{host_state::leaving, false},
          row{host_state::dead, false}})
    {
        routing_table table;
        reset(table, {make_host("h1", "b", state)});
        CHECK(ranked_owners(table, document, {"map", "b"}).empty() ==
              !is_owner);
    }
}

// Guards against requests that wait for an owner whose link is lost.
TEST_CASE("an unreachable owner is skipped")
{
    auto const document = make_two_zones();
    routing_table table;
    reset(table, {make_host("h1", "b", host_state::live),
                  make_host("h2", "b", host_state::live),
                  make_host("h3", "b", host_state::live)});
    pool_id const pool{"map", "b"};
    auto const order = ranked_owners(table, document, pool);
    auto const is_reachable = [&](std::string const& name)
    {
        return name != order[0];
    };
    auto const chosen =
        choose_owner(table, document, pool, "none", is_reachable, {});
    REQUIRE(chosen.has_value());
    CHECK(chosen->m_owner == order[1]);
    auto const next = choose_owner(table, document, pool, "none", is_reachable,
                                   std::span(&order[1], 1));
    REQUIRE(next.has_value());
    CHECK(next->m_owner == order[2]);
    auto const own =
        choose_owner(table, document, pool, order[0], is_reachable, {});
    REQUIRE(own.has_value());
    CHECK(own->m_owner == order[0]);
}

// Guards against spilling within the zone or with a wrong cost.
TEST_CASE("remote pools have the cost of spilling to them")
{
    auto const document = make_two_zones();
    routing_table table;
    reset(table, {make_host("h1", "b", host_state::live)});
    auto const remote =
        remote_pools(table, document, document.m_services[0], "a", 2);
    REQUIRE(remote.size() == 1);
    CHECK(remote[0].m_owner == "h1");
    CHECK(remote[0].m_cost == std::chrono::milliseconds(12));
    CHECK(
        remote_pools(table, document, document.m_services[0], "b", 2).empty());
}

// Guards against a small host that gets all callers of its zone after the large
// ones were lost (issue 64).
TEST_CASE("callers of a zone with a small owner use large ones beside it")
{
    using names = std::vector<std::string>;
    auto document = make_two_zones();
    document.m_max_owners_per_zone = 1;
    auto const find_hosts = [&](int millicores_of_a, int millicores_of_b)
    {
        auto a = make_host("a1", "a", host_state::live);
        a.m_millicores = millicores_of_a;
        auto b = make_host("b1", "b", host_state::live);
        b.m_millicores = millicores_of_b;
        routing_table table;
        reset(table, {a, b});
        return callers_hosts(table, document, "a");
    };
    CHECK(find_hosts(500, 500) == names{"a1"});
    CHECK(find_hosts(500, 70) == names{"a1"});
    // The small host owns the pools of its zone and takes some of its callers.
    CHECK(find_hosts(70, 500) == names{"a1", "b1"});
    // Callers are not moved to other zones for a small difference.
    CHECK(find_hosts(70, 70) == names{"a1"});
    CHECK(find_hosts(200, 500) == names{"a1"});
    document.m_zones[1].m_region = "far";
    CHECK(find_hosts(70, 500) == names{"a1"});
}

} // namespace hawthornspur::core
