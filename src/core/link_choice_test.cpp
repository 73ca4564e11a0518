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

/// Two large and 35 small hosts in each of three zones.
std::vector<host_record> grown_deployment()
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

std::vector<host_record> others_of(std::vector<host_record> hosts,
                                   std::string const& name)
{
    std::erase_if(hosts,
                  [&](host_record const& host) { return host.m_name == name; });
    return hosts;
}

std::set<std::string> links_of(std::vector<host_record> const& hosts,
                               std::string const& name)
{
    auto const self = std::find_if(hosts.begin(), hosts.end(),
                                   [&](host_record const& host)
                                   { return host.m_name == name; });
    return choose_links(*self, others_of(hosts, name), 1);
}

} // namespace

// Guards against a mesh whose heartbeats cost each host more than its requests.
TEST_CASE("a host keeps few links, and those that requests need")
{
    auto const hosts = grown_deployment();
    for (auto const& host : hosts)
    {
        auto const links = links_of(hosts, host.m_name);
        CHECK(links.size() <= 7);
        CHECK(!links.contains(host.m_name));
        // Requests go to the owner of the zone, which is one of the large ones.
        for (std::string const& large :
             {"large-" + host.m_zone + "1", "large-" + host.m_zone + "2"})
        {
            CHECK((host.m_name == large || links.contains(large)));
        }
    }
    // An owner spills to the owners of the other zones.
    auto const of_owner = links_of(hosts, "large-a1");
    for (std::string const other : {"b1", "b2", "c1", "c2"})
    {
        CHECK(of_owner.contains("large-" + other));
    }
}

// Guards against a host that loses its successors' links when owners leave.
TEST_CASE("links follow the owners that are left")
{
    auto hosts = grown_deployment();
    std::erase_if(hosts, [](host_record const& host)
                  { return host.m_name.starts_with("large-a"); });
    auto const links = links_of(hosts, "small-a0");
    auto const near = std::count_if(links.begin(), links.end(),
                                    [](std::string const& name)
                                    { return name.starts_with("small-a"); });
    CHECK(near >= 2);
}

TEST_CASE("a host that is alone in its zone is linked with the other zones")
{
    auto hosts = grown_deployment();
    std::erase_if(hosts, [](host_record const& host)
                  { return host.m_zone == "a" && host.m_name != "small-a7"; });
    auto const links = links_of(hosts, "small-a7");
    CHECK(links.contains("large-b1"));
    CHECK(links.contains("large-c1"));
}

TEST_CASE("without a bound on owners every host is linked")
{
    auto hosts = grown_deployment();
    hosts.front().m_state = host_state::dead;
    auto const self = hosts.back();
    auto const links = choose_links(self, others_of(hosts, self.m_name), 0);
    CHECK(links.size() == hosts.size() - 2);
    CHECK(store_watchers(self, hosts, 0).empty());
}

// Guards against hosts that all pay for calls to the store, and against a zone
// in which nobody follows it.
TEST_CASE("the owner and its successor follow the store for their zone")
{
    auto hosts = grown_deployment();
    auto const small = hosts.front();
    auto const watchers =
        store_watchers(small, others_of(hosts, small.m_name), 1);
    REQUIRE(watchers.size() == 2);
    CHECK(watchers[0].starts_with("large-a"));
    CHECK(watchers[1].starts_with("large-a"));
    // All hosts of the zone agree on them.
    for (auto const& host : hosts)
    {
        if (host.m_zone == "a")
        {
            CHECK(store_watchers(host, others_of(hosts, host.m_name), 1) ==
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
    CHECK(store_watchers(small, others_of(hosts, small.m_name), 1).size() == 2);
}

} // namespace hawthornspur::core
