#include "core/link_choice.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <vector>

namespace hawthornspur::core
{

namespace
{

host_record make_host(std::string name, std::string zone, int millicores)
{
    host_record record;
    record.m_name = std::move(name);
    record.m_zone = std::move(zone);
    record.m_state = host_state::live;
    record.m_millicores = millicores;
    return record;
}

// Two large and 35 small hosts in each of three zones.
std::vector<host_record> make_large_deployment()
{
    std::vector<host_record> hosts;
    for (std::string const zone : {"a", "b", "c"})
    {
        for (int i = 0; i < 35; ++i)
        {
            hosts.push_back(
                make_host("small-" + zone + std::to_string(i), zone, 100));
        }
        hosts.push_back(make_host("large-" + zone + "1", zone, 500));
        hosts.push_back(make_host("large-" + zone + "2", zone, 500));
    }
    return hosts;
}

std::vector<host_record> all_except(std::vector<host_record> hosts,
                                    std::string const& name)
{
    std::erase_if(hosts,
                  [&](host_record const& host) { return host.m_name == name; });
    return hosts;
}

std::set<std::string> choose_links_for(std::vector<host_record> const& hosts,
                                       std::string const& name)
{
    auto const self = std::find_if(hosts.begin(), hosts.end(),
                                   [&](host_record const& host)
                                   { return host.m_name == name; });
    return choose_links(*self, all_except(hosts, name), 1);
}

} // namespace

// Guards against a mesh whose heartbeats cost each host more than its requests,
// and against missing links to owners.
TEST_CASE("a host keeps few links, including those to all owners it uses")
{
    auto const hosts = make_large_deployment();
    for (auto const& host : hosts)
    {
        auto const links = choose_links_for(hosts, host.m_name);
        CHECK(links.size() <= 7);
        CHECK(!links.contains(host.m_name));
        // Requests go to the owner of the zone, which is one of the large
        // hosts.
        for (std::string const& large :
             {"large-" + host.m_zone + "1", "large-" + host.m_zone + "2"})
        {
            CHECK((host.m_name == large || links.contains(large)));
        }
    }
    // An owner spills to the owners of the other zones.
    auto const owner_links = choose_links_for(hosts, "large-a1");
    for (std::string const other : {"b1", "b2", "c1", "c2"})
    {
        CHECK(owner_links.contains("large-" + other));
    }
}

// Guards against hosts without a link to the new owners after the owners left.
TEST_CASE("links go to the successors when all owners have left")
{
    auto hosts = make_large_deployment();
    std::erase_if(hosts, [](host_record const& host)
                  { return host.m_name.starts_with("large-a"); });
    auto const links = choose_links_for(hosts, "small-a0");
    auto const own_zone_links = std::count_if(
        links.begin(), links.end(),
        [](std::string const& name) { return name.starts_with("small-a"); });
    CHECK(own_zone_links >= 2);
}

TEST_CASE("the only host of a zone is linked with the other zones")
{
    auto hosts = make_large_deployment();
    std::erase_if(hosts, [](host_record const& host)
                  { return host.m_zone == "a" && host.m_name != "small-a7"; });
    auto const links = choose_links_for(hosts, "small-a7");
    CHECK(links.contains("large-b1"));
    CHECK(links.contains("large-c1"));
}

TEST_CASE("without a bound on owners all hosts that are not dead are linked")
{
    auto hosts = make_large_deployment();
    hosts.front().m_state = host_state::dead;
    auto const self = hosts.back();
    auto const links = choose_links(self, all_except(hosts, self.m_name), 0);
    CHECK(links.size() == hosts.size() - 2);
    CHECK(store_watchers(self, hosts, 0).empty());
}

// Guards against the cost of calls to the store from every host, and against a
// zone in which no host watches the store.
TEST_CASE("the owner and its successor watch the store for their zone")
{
    auto hosts = make_large_deployment();
    auto const small = hosts.front();
    auto const watchers =
        store_watchers(small, all_except(hosts, small.m_name), 1);
    REQUIRE(watchers.size() == 2);
    CHECK(watchers[0].starts_with("large-a"));
    CHECK(watchers[1].starts_with("large-a"));
    // All hosts of the zone choose the same watchers.
    for (auto const& host : hosts)
    {
        if (host.m_zone == "a")
        {
            CHECK(store_watchers(host, all_except(hosts, host.m_name), 1) ==
                  watchers);
        }
    }
    for (auto& host : hosts)
    {
        if (host.m_name.starts_with("large-a"))
        {
            host.m_state = host_state::leaving;
        }
    }
    CHECK(store_watchers(small, all_except(hosts, small.m_name), 1).size() ==
          2);
}

} // namespace hawthornspur::core
