#include "core/routing.hpp"

#include <doctest/doctest.h>

#include <algorithm>

namespace hawthornspur::core
{

namespace
{

configuration two_zones()
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

host_record host(std::string name, std::string zone, host_state state)
{
    host_record record;
    record.m_name = std::move(name);
    record.m_zone = std::move(zone);
    record.m_state = state;
    return record;
}

} // namespace

// Guards against callers of a zone without targets being refused.
TEST_CASE("a zone without targets is served by the nearest pool")
{
    auto const document = two_zones();
    routing_table table;
    CHECK(pool_zone(table, document, document.m_services[0], "a") == "b");
}

// Guards against work that goes to hosts which are stopping or gone.
TEST_CASE("only live hosts own pools")
{
    auto const document = two_zones();
    struct row
    {
        host_state m_state;
        bool m_owns;
    };
    for (auto const& [state, owns] :
         {row{host_state::live, true}, row{host_state::joining, false},
          row{host_state::suspected, false}, row{host_state::leaving, false},
          row{host_state::dead, false}})
    {
        routing_table table;
        reset(table, {host("h1", "b", state)});
        CHECK(ranked_owners(table, document, {"map", "b"}).empty() == !owns);
    }
}

// Guards against requests waiting for an owner whose link is lost.
TEST_CASE("an owner that cannot be reached is passed over")
{
    auto const document = two_zones();
    routing_table table;
    reset(table,
          {host("h1", "b", host_state::live), host("h2", "b", host_state::live),
           host("h3", "b", host_state::live)});
    pool_id const pool{"map", "b"};
    auto const order = ranked_owners(table, document, pool);
    auto const reachable = [&](std::string const& name)
    {
        return name != order[0];
    };
    auto const chosen =
        choose_owner(table, document, pool, "none", reachable, {});
    REQUIRE(chosen.has_value());
    CHECK(chosen->m_owner == order[1]);
    auto const next = choose_owner(table, document, pool, "none", reachable,
                                   std::span(&order[1], 1));
    REQUIRE(next.has_value());
    CHECK(next->m_owner == order[2]);
    auto const own =
        choose_owner(table, document, pool, order[0], reachable, {});
    REQUIRE(own.has_value());
    CHECK(own->m_owner == order[0]);
}

// Guards against spilling to the own zone or at the wrong price.
TEST_CASE("remote pools name the cost of the link")
{
    auto const document = two_zones();
    routing_table table;
    reset(table, {host("h1", "b", host_state::live)});
    auto const remote =
        remote_pools(table, document, document.m_services[0], "a", 2);
    REQUIRE(remote.size() == 1);
    CHECK(remote[0].m_owner == "h1");
    CHECK(remote[0].m_cost == std::chrono::milliseconds(12));
    CHECK(
        remote_pools(table, document, document.m_services[0], "b", 2).empty());
}

} // namespace hawthornspur::core
