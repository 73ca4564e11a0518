#include "core/configuration.hpp"
#include "core/ownership.hpp"

#include <doctest/doctest.h>

#include <algorithm>

namespace hawthornspur::core
{

namespace
{

configuration three_zones()
{
    using std::chrono::milliseconds;
    configuration document;
    document.m_zones = {
        {"a", "r", {{"b", milliseconds(5)}, {"c", milliseconds(4)}}, {}},
        {"b", "r", {{"a", milliseconds(5)}, {"c", milliseconds(5)}}, {}},
        {"c", "r", {{"a", milliseconds(4)}, {"b", milliseconds(5)}}, {}}};
    return document;
}

} // namespace

// Guards against pools that move between hosts which neither came nor went.
TEST_CASE("removing a host moves only the pools that it owned")
{
    auto const document = three_zones();
    std::vector<owner_candidate> hosts;
    for (int i = 0; i < 6; ++i)
    {
        hosts.push_back({"host-" + std::to_string(i), "a"});
    }
    auto fewer = hosts;
    fewer.erase(fewer.begin() + 2);
    int moved = 0;
    for (int service = 0; service < 200; ++service)
    {
        pool_id const pool{"service-" + std::to_string(service), "a"};
        auto const before = owner_order(pool, hosts, document);
        auto const after = owner_order(pool, fewer, document);
        if (before.front() == "host-2")
        {
            ++moved;
            CHECK(after.front() == before[1]);
        }
        else
        {
            CHECK(after.front() == before.front());
        }
    }
    CHECK(moved > 0);
}

// Guards against a zone without hosts whose pools nobody owns.
TEST_CASE("a zone without hosts falls back to the nearest zone")
{
    auto const document = three_zones();
    std::vector<owner_candidate> const hosts{{"h1", "b"}, {"h2", "c"}};
    auto const order = owner_order({"map", "a"}, hosts, document);
    REQUIRE(order.size() == 2);
    CHECK(order.front() == "h2");
}

} // namespace hawthornspur::core
