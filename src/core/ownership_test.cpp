#include "core/configuration.hpp"
#include "core/ownership.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <set>

namespace hawthornspur::core
{

namespace
{

configuration make_three_zones()
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

// Guards against pools that move between hosts that neither joined nor left.
TEST_CASE("removing a host moves only the pools that it owned")
{
    auto const document = make_three_zones();
    std::vector<owner_candidate> hosts;
    for (int i = 0; i < 6; ++i)
    {
        hosts.push_back({"host-" + std::to_string(i), "a"});
    }
    auto remaining = hosts;
    remaining.erase(remaining.begin() + 2);
    int moved = 0;
    for (int service = 0; service < 200; ++service)
    {
        pool_id const pool{"service-" + std::to_string(service), "a"};
        auto const before = owner_order(pool, hosts, document);
        auto const after = owner_order(pool, remaining, document);
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

// Guards against pools without an owner in a zone without hosts.
TEST_CASE("a zone without hosts falls back to the nearest zone")
{
    auto const document = make_three_zones();
    std::vector<owner_candidate> const hosts{{"h1", "b"}, {"h2", "c"}};
    auto const order = owner_order({"map", "a"}, hosts, document);
    REQUIRE(order.size() == 2);
    CHECK(order.front() == "h2");
}

namespace
{

configuration make_document(int count)
{
    auto document = make_three_zones();
    for (int i = 0; i < count; ++i)
    {
        service_config service;
        service.m_name = "service-" + std::to_string(i);
        document.m_services.push_back(service);
    }
    return document;
}

} // namespace

// Guards against hosts without pools while others own several, and against
// owners that depend on the order in which hosts or services are listed.
TEST_CASE("the pools of a zone are spread over its hosts")
{
    for (int const services : {1, 4, 7, 110})
    {
        CAPTURE(services);
        auto document = make_document(services);
        std::vector<owner_candidate> hosts;
        for (int i = 0; i < 13; ++i)
        {
            hosts.push_back({"host-" + std::to_string(i), "a"});
        }
        hosts.push_back({"elsewhere", "b"});
        auto const owners = zone_owners("a", hosts, document);
        CHECK(owners.size() == document.m_services.size());
        std::map<std::string, int> load;
        for (auto const& [service, owner] : owners)
        {
            ++load[owner];
            CHECK(owner_order({service, "a"}, hosts, document).front() ==
                  owner);
        }
        CHECK(load.count("elsewhere") == 0);
        auto const largest = std::max_element(load.begin(), load.end(),
                                              [](auto const& a, auto const& b)
                                              { return a.second < b.second; });
        // 1.25 times the mean of 110 / 13, rounded down, is 10.
        CHECK(largest->second <= (services == 110 ? 10 : 1));

        std::reverse(hosts.begin(), hosts.end());
        std::reverse(document.m_services.begin(), document.m_services.end());
        CHECK(zone_owners("a", hosts, document) == owners);
    }
}

// Guards against a leaving host that moves many pools between the remaining
// hosts. With the bound, a pool may move into the place of a pool that left its
// host; on average no more pools may do so than the leaving host owned.
TEST_CASE("a leaving host moves few pools between other hosts")
{
    auto const document = make_document(110);
    int moved_between_others = 0;
    int moved_from_removed = 0;
    for (int trial = 0; trial < 20; ++trial)
    {
        std::vector<owner_candidate> hosts;
        for (int i = 0; i < 13; ++i)
        {
            hosts.push_back({std::to_string(trial * 100 + i), "a"});
        }
        auto const before = zone_owners("a", hosts, document);
        auto const removed = hosts.back().m_name;
        hosts.pop_back();
        for (auto const& [service, owner] : zone_owners("a", hosts, document))
        {
            auto const& previous_owner = before.at(service);
            moved_from_removed += previous_owner == removed ? 1 : 0;
            moved_between_others +=
                previous_owner != removed && previous_owner != owner ? 1 : 0;
        }
    }
    CHECK(moved_from_removed > 0);
    CHECK(moved_between_others <= moved_from_removed);
}

// Guards against one host that owns all pools of a zone without hosts.
TEST_CASE("the pools of a zone without hosts are spread over the nearest zone")
{
    auto const document = make_document(4);
    std::vector<owner_candidate> const hosts{
        {"h1", "b"}, {"h2", "c"}, {"h3", "c"}, {"h4", "c"}, {"h5", "c"}};
    std::map<std::string, int> load;
    for (auto const& [service, owner] : zone_owners("a", hosts, document))
    {
        ++load[owner];
    }
    CHECK(load == std::map<std::string, int>{
                      {"h2", 1}, {"h3", 1}, {"h4", 1}, {"h5", 1}});
    CHECK(zone_owners("a", {}, document).empty());
}

// Guards against hosts that own only a part of the pools of a zone, and against
// successors that differ from pool to pool.
TEST_CASE("with one owner per zone all its pools have the same successor")
{
    auto document = make_three_zones();
    document.m_max_owners_per_zone = 1;
    for (int i = 0; i < 8; ++i)
    {
        document.m_services.emplace_back().m_name =
            "service-" + std::to_string(i);
    }
    std::vector<owner_candidate> hosts;
    for (int i = 0; i < 5; ++i)
    {
        hosts.push_back({"host-" + std::to_string(i), "a"});
    }
    auto const first = owner_order({"service-0", "a"}, hosts, document);
    auto remaining = hosts;
    std::erase_if(remaining, [&](owner_candidate const& host)
                  { return host.m_name == first.front(); });
    for (auto const& service : document.m_services)
    {
        CHECK(owner_order({service.m_name, "a"}, hosts, document) == first);
        CHECK(owner_order({service.m_name, "a"}, remaining, document).front() ==
              first[1]);
    }
}

// Guards against a small host that owns the pools of a zone and runs out of
// processor time while large hosts are available.
TEST_CASE("the hosts with the most processor time own the pools of a zone")
{
    auto document = make_three_zones();
    document.m_max_owners_per_zone = 1;
    document.m_services.emplace_back().m_name = "map";
    std::vector<owner_candidate> hosts;
    for (int i = 0; i < 40; ++i)
    {
        auto const number = std::to_string(i);
        hosts.push_back({"small-a-" + number, "a", 100});
        hosts.push_back({"small-b-" + number, "b", 100});
    }
    hosts.push_back({"large-1", "a", 500});
    hosts.push_back({"large-2", "a", 500});
    hosts.push_back({"large-b", "b", 500});
    auto const order = owner_order({"map", "a"}, hosts, document);
    std::set<std::string> const first(order.begin(), order.begin() + 2);
    CHECK(first == std::set<std::string>{"large-1", "large-2"});
    // A small host of the zone ranks before a large host of another zone.
    CHECK(order[2].starts_with("small-a"));
    CHECK(zone_owners("a", hosts, document).at("map") == order.front());
}

} // namespace hawthornspur::core
