#include "core/rate_share.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <numeric>
#include <vector>

namespace hawthornspur::core
{

using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against a limit that each side of a partition uses in full.
TEST_CASE("the shares of all sides of a partition add up to at most one")
{
    CHECK(rc::check(
        "partitions",
        []
        {
            auto const sides = *rc::gen::nonEmpty(
                rc::gen::container<std::vector<int>>(rc::gen::inRange(1, 50)));
            auto const hosts = std::accumulate(sides.begin(), sides.end(), 0);
            double sum = 0;
            for (auto const side : sides)
            {
                sum += rate_share(true, {}, {side, hosts - side},
                                  time_point(seconds(100)));
            }
            RC_ASSERT(sum <= 1 + 1e-9);
            RC_ASSERT(sum >= 1 - 1e-9);
        }));
}

// Guards against a limit that the former owner of a pool and the new one use in
// full at the same time, whichever of them learns of the change first.
TEST_CASE("the shares of two owners add up to one while the owner changes")
{
    time_point const changed_at(seconds(100));
    for (auto const lag : {milliseconds(0), milliseconds(300)})
    {
        for (auto after = lag; after < seconds(4); after += milliseconds(100))
        {
            CAPTURE(after.count());
            auto const now = changed_at + after;
            CHECK(rate_share(false, changed_at, {}, now) +
                      rate_share(true, changed_at + lag, {}, now) <=
                  1);
        }
        auto const later = changed_at + seconds(4);
        CHECK(rate_share(false, changed_at, {}, later) == 0);
        CHECK(rate_share(true, changed_at + lag, {}, later) == 1);
    }
}

// Guards against lost hosts that count as present, and joining or leaving ones
// that count as lost.
TEST_CASE("dead and suspected hosts are lost")
{
    std::vector<host_record> hosts(5);
    hosts[0].m_state = host_state::live;
    hosts[1].m_state = host_state::joining;
    hosts[2].m_state = host_state::leaving;
    hosts[3].m_state = host_state::suspected;
    hosts[4].m_state = host_state::dead;
    auto const fleet = make_fleet_view(hosts);
    CHECK(fleet.m_present == 3);
    CHECK(fleet.m_lost == 2);
    CHECK(make_fleet_view({}).m_present == 1);
}

} // namespace hawthornspur::core
