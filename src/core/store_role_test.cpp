#include "core/store_role.hpp"

#include <doctest/doctest.h>

#include <array>
#include <string>
#include <vector>

namespace hawthornspur::core
{

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

host_record make_host(std::string name, int millicores)
{
    host_record host;
    host.m_name = std::move(name);
    host.m_zone = "centre";
    host.m_state = host_state::live;
    host.m_millicores = millicores;
    return host;
}

// Three large hosts and seven small ones, as in a zone of a large fleet.
std::vector<host_record> make_zone()
{
    std::vector<host_record> hosts;
    for (auto const* name : {"large-1", "large-2", "large-3"})
    {
        hosts.push_back(make_host(name, 500));
    }
    for (auto const* name : {"s-1", "s-2", "s-3", "s-4", "s-5", "s-6", "s-7"})
    {
        hosts.push_back(make_host(name, 100));
    }
    return hosts;
}

// Returns how many hosts of the zone have each role: standby, reserve, watcher.
std::array<int, 3> count_roles(std::vector<host_record> const& hosts,
                               store_role_inputs const& inputs)
{
    std::array<int, 3> counts{};
    for (std::size_t i = 0; i < hosts.size(); ++i)
    {
        auto others = hosts;
        others.erase(others.begin() + static_cast<std::ptrdiff_t>(i));
        auto const role = choose_store_role(hosts[i], others, 1, inputs);
        ++counts.at(static_cast<std::size_t>(role));
    }
    return counts;
}

store_role_inputs settled()
{
    store_role_inputs inputs;
    inputs.m_since_start = seconds(10);
    inputs.m_since_contact = seconds(10);
    inputs.m_is_seed = false;
    return inputs;
}

} // namespace

// Guards against a cost of calls to the store that grows with the number of
// hosts.
TEST_CASE("only the first hosts of a zone read the store")
{
    CHECK(count_roles(make_zone(), settled()) == std::array{5, 3, 2});
}

// Guards against the start of a fleet in which each host reads the store before
// it can know that others do.
TEST_CASE("a starting host leaves the store to the seeds until it knows others")
{
    auto const hosts = make_zone();
    store_role_inputs inputs;
    inputs.m_is_seed = false;
    CHECK(choose_store_role(hosts[0], {}, 1, inputs) == store_role::standby);
    inputs.m_since_start = milliseconds(400);
    inputs.m_since_contact = milliseconds(50);
    CHECK(count_roles(hosts, inputs) == std::array{10, 0, 0});
    inputs.m_is_seed = true;
    CHECK(count_roles(hosts, inputs) == std::array{0, 0, 10});
}

// Guards against a host that waits for seeds that have been lost, and against
// one whose watchers were lost with all hosts that would replace them.
TEST_CASE("a host that finds nobody reads the store")
{
    auto const hosts = make_zone();
    store_role_inputs inputs;
    inputs.m_is_seed = false;
    inputs.m_since_start = milliseconds(500);
    CHECK(choose_store_role(hosts[9], {}, 1, inputs) == store_role::watcher);
    inputs = settled();
    inputs.m_without_watcher = seconds(1);
    CHECK(count_roles(hosts, inputs) == std::array{0, 0, 10});
}

// Guards against a deployment without a bound on owners, in which every host
// owns pools and needs the targets.
TEST_CASE("without a bound on owners every host reads the store")
{
    auto const hosts = make_zone();
    CHECK(choose_store_role(hosts[9], hosts, 0, settled()) ==
          store_role::watcher);
}

} // namespace hawthornspur::core
