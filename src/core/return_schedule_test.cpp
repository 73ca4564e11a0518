#include "core/pool.hpp"
#include "core/return_schedule.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <variant>

namespace hawthornspur::core
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr duration max_delay = seconds(1);

/// A schedule of a pool that has started 100 requests per second for 10 s.
struct fixture
{
    return_schedule m_schedule;
    time_point m_now{std::chrono::hours(1)};
    fixture()
    {
        for (int i = 0; i < 1000; ++i)
        {
            m_now += milliseconds(10);
            record_start(m_schedule, m_now);
        }
    }
};

duration find(fixture& fixture, int rank, duration wait = duration(0))
{
    return find_return(fixture.m_schedule, {rank, wait, max_delay, 0, true},
                       fixture.m_now);
}

} // namespace

// Guards against a rate that lags behind by its averaging time or that counts
// the first seconds as if they were longer.
TEST_CASE("the rate of starts is measured")
{
    fixture fixture;
    CHECK(starts_per_second(fixture.m_schedule, fixture.m_now) ==
          doctest::Approx(100).epsilon(0.02));
    return_schedule young;
    for (int i = 0; i < 100; ++i)
    {
        record_start(young, fixture.m_now + milliseconds(10 * i));
    }
    CHECK(starts_per_second(young, fixture.m_now + seconds(1)) ==
          doctest::Approx(100).epsilon(0.1));
}

// Guards against returns that concentrate at one moment, and against more
// returns than the pool can start.
TEST_CASE("returns are spread over the time in which capacity becomes free")
{
    fixture fixture;
    std::map<std::int64_t, int> by_interval;
    for (int i = 0; i < 80; ++i)
    {
        auto const delay = find(fixture, 4, milliseconds(100));
        CHECK(delay >= milliseconds(100));
        CHECK(delay <= max_delay);
        ++by_interval[delay / return_interval];
    }
    CHECK(by_interval.size() >= 15);
    for (auto const& [interval, count] : by_interval)
    {
        CHECK(count <= 6);
    }
}

// Guards against promises that come too late to be of use, and against
// capacity that is reserved for callers who cannot be served.
TEST_CASE("nothing is reserved after the last useful moment")
{
    fixture fixture;
    CHECK(find(fixture, 4, seconds(3)) == min_retry_after);
    CHECK(fixture.m_schedule.m_promised == 0);
    for (int i = 0; i < 1000; ++i)
    {
        CHECK(find(fixture, 4) <= max_delay);
    }
    CHECK(fixture.m_schedule.m_promised <= 110);
    CHECK(find(fixture, 4) == min_retry_after);
}

// Guards against less urgent callers that were refused first and keep urgent
// ones out, and against urgent ones that overfill the intervals.
TEST_CASE("urgent callers take intervals ahead of less urgent ones")
{
    fixture fixture;
    for (int i = 0; i < 200; ++i)
    {
        find(fixture, 9);
    }
    CHECK(find(fixture, 0) < milliseconds(150));
    for (int i = 0; i < 1000; ++i)
    {
        find(fixture, i % 9);
    }
    CHECK(fixture.m_schedule.m_promised <= 220);
}

// Guards against promises that are counted as kept when callers return at
// another time, and against slots of the ring that keep earlier promises.
TEST_CASE("returns near a promised time are counted")
{
    fixture fixture;
    auto const delay = find(fixture, 4, milliseconds(500));
    record_return(fixture.m_schedule, fixture.m_now + milliseconds(50));
    CHECK(fixture.m_schedule.m_kept == 0);
    record_return(fixture.m_schedule, fixture.m_now + delay + milliseconds(50));
    record_return(fixture.m_schedule, fixture.m_now + delay + milliseconds(60));
    CHECK(fixture.m_schedule.m_kept == 1);
    fixture.m_now += seconds(3);
    CHECK(find(fixture, 4) <= milliseconds(100));
}

// Guards against one delay for all callers that are refused at a moment, which
// return together and are refused again.
TEST_CASE("a pool gives the refused callers of customers different delays")
{
    kind_config kind;
    kind.m_name = "claim";
    pool_rules rules;
    rules.m_kinds = {kind};
    time_point now{std::chrono::hours(1)};
    auto const pool = make_pool(rules, pool_start::fresh, now);
    service_budgets budgets;
    pool_effects out;
    set_targets(*pool, std::vector<pool_target>{{{1}, 10, false, {}}}, now,
                budgets, out);
    std::uint64_t id = 0;
    auto const send = [&](duration deadline)
    {
        arrival call;
        call.m_request = {++id};
        call.m_deadline = now + deadline;
        call.m_customer = customer_id{1};
        out.clear();
        on_arrival(*pool, call, now, budgets, out);
        return call;
    };
    // 100 requests per second, each of which takes 100 ms.
    for (int i = 0; i < 500; ++i)
    {
        now += milliseconds(10);
        if (i >= 10)
        {
            on_attempt_ended(*pool,
                             {{id - 9}, 1, attempt_outcome::ok, {}, false}, now,
                             budgets, out);
        }
        send(seconds(10));
    }
    std::map<duration, int> delays;
    for (int i = 0; i < 60; ++i)
    {
        auto const call = send(milliseconds(900));
        auto const* refused =
            out.empty() ? nullptr : std::get_if<refuse_effect>(&out.back());
        if (refused != nullptr)
        {
            auto const delay = retry_after_delay(*pool, call, now);
            CHECK(delay <= milliseconds(800));
            ++delays[delay];
        }
    }
    CHECK(delays.size() >= 10);
    auto const counters = read_sharing_counters(*pool);
    CHECK(counters.m_returns_promised >= 10);
    CHECK(counters.m_by_priority[0].m_starts == 500);
    CHECK(counters.m_by_priority[0].m_refusals.size() == 1);
}

} // namespace hawthornspur::core
