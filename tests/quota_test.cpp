#include "core/quota_home.hpp"
#include "serve/membership_driver.hpp"
#include "serve/quota_state.hpp"
#include "serve/quotas.hpp"
#include "test_cluster.hpp"

#include <doctest/doctest.h>

#include <chrono>
#include <memory>
#include <string>
#include <vector>

namespace hawthornspur::test
{

namespace
{

net::http_headers const key{{"Authorization", "Bearer key-a"}};

/// Puts a document in force that limits a customer whose home does not own the
/// pool of "map". A second service without targets makes another host a home.
/// Returns the index of the pool's owner.
std::size_t limit_customer(test_cluster& cluster, double rate, double burst)
{
    std::string name = "harbour";
    std::size_t owner = 0;
    bool is_home_elsewhere = false;
    while (!is_home_elsewhere)
    {
        name += "-1";
        auto const table =
            core::make_customer_table({{name, {"key-a"}, 1, rate, burst}});
        for (auto const& entry : cluster.hosts())
        {
            auto& host = *entry->m_host;
            auto document = std::make_shared<core::configuration>(
                *host.m_configuration.m_in_force);
            document->m_services.resize(2);
            document->m_services[1].m_name = "other";
            document->m_customers = table;
            host.m_configuration.m_in_force = document;
            serve::update_routing(host);
        }
        owner = cluster.find_owner(0);
        auto const* home = core::choose_quota_home(
            cluster.host(owner).m_quotas->m_homes, name);
        REQUIRE(home != nullptr);
        is_home_elsewhere = *home != cluster.hosts()[owner]->m_name;
    }
    return owner;
}

std::size_t find_home(test_cluster& cluster, std::size_t viewer)
{
    auto const& host = cluster.host(viewer);
    auto const& table = *host.m_quotas->m_table;
    auto const* home = core::choose_quota_home(
        host.m_quotas->m_homes, core::customers(table).front().m_name);
    for (std::size_t i = 0; i < cluster.hosts().size(); ++i)
    {
        if (cluster.hosts()[i]->m_name == *home)
        {
            return i;
        }
    }
    return viewer;
}

} // namespace

// Guards against hosts that each admit the whole limit of a customer, and
// against a refusal without an accurate retry delay.
TEST_CASE("all hosts together stay within the quota of a customer")
{
    constexpr double rate = 20;
    constexpr double burst = 5;
    test_cluster cluster(3, 2);
    auto const owner = limit_customer(cluster, rate, burst);
    auto const start = net::event_loop::now();
    std::vector<std::shared_ptr<answer>> answers;
    for (std::size_t i = 0; i < 300; ++i)
    {
        answers.push_back(cluster.send(i % 3, "GET", "/x", key));
        cluster.run_for(std::chrono::milliseconds(10));
    }
    std::size_t served = 0;
    for (auto const& a : answers)
    {
        cluster.run_until([&] { return a->m_is_done; });
        served += a->m_head.m_status == 200 ? 1U : 0U;
        if (a->m_head.m_status != 200)
        {
            CHECK(a->m_head.m_status == 429);
            CHECK(get_outcome(*a) == "not-run");
            CHECK(get_result_code(*a) ==
                  static_cast<unsigned>(result_code::quota_exceeded));
        }
    }
    std::chrono::duration<double> const elapsed =
        net::event_loop::now() - start;
    CHECK(cluster.total_run_count() == served);
    CHECK(static_cast<double>(served) <= rate * elapsed.count() + burst + 1);
    CHECK(served >= 10);
    auto const reports = serve::most_refused_customers(cluster.host(owner));
    REQUIRE(reports.size() == 1);
    CHECK(reports[0].m_last_minute.m_admitted == served);
    CHECK(reports[0].m_last_minute.m_refused == 300 - served);
}

// Guards against requests that are held for a home that does not answer, and
// against a customer that no host serves after the loss of its home.
TEST_CASE("requests wait for a home that is lost, and then use the next one")
{
    test_cluster cluster(3, 2);
    auto const owner = limit_customer(cluster, 1000, 100);
    cluster.run_for(std::chrono::milliseconds(100));
    REQUIRE(cluster.send_and_wait(owner, "GET", "/x", key).m_head.m_status ==
            200);
    auto const home = find_home(cluster, owner);
    REQUIRE(home != owner);
    cluster.pause(home);
    cluster.run_for(std::chrono::milliseconds(1100));
    cluster.run_until([&] { return find_home(cluster, owner) != home; });
    cluster.run_until(
        [&]
        {
            return cluster.send_and_wait(owner, "GET", "/x", key)
                       .m_head.m_status == 200;
        });
    cluster.resume(home);
}

// Guards against a call that is held without a bound.
TEST_CASE("a request is refused when the home does not answer in time")
{
    test_cluster cluster(3, 2);
    auto const owner = limit_customer(cluster, 1000, 100);
    auto const home = find_home(cluster, owner);
    REQUIRE(home != owner);
    cluster.pause(home);
    auto const start = net::event_loop::now();
    auto const held = cluster.send_and_wait(owner, "GET", "/x", key);
    CHECK(held.m_head.m_status == 503);
    CHECK(get_outcome(held) == "not-run");
    CHECK(net::event_loop::now() - start >= std::chrono::milliseconds(140));
    CHECK(cluster.total_run_count() == 0);
    cluster.resume(home);
}

} // namespace hawthornspur::test
