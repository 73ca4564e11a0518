#include "platform/call_limiter.hpp"
#include "platform/fake_platform_test.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <set>

namespace hawthornspur::platform
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

struct limiter_fixture
{
    fake_platform m_platform;
    std::unique_ptr<call_limiter> m_limiter;
    platform_calls m_calls;
    std::vector<result_code> m_answers;

    explicit limiter_fixture(call_limiter_settings const& settings = {},
                             std::uint64_t seed = 1)
        : m_limiter(call_limiter::create(m_platform.make_calls(),
                                         m_platform.make_scheduler(), settings,
                                         seed))
        , m_calls(m_limiter->calls())
    {
    }

    void get()
    {
        m_calls.m_get("key", [this](auto const& answer) { record(answer); });
    }

    template <class T>
    void record(result<T> const& answer)
    {
        m_answers.push_back(has_value(answer) ? result_code::ok
                                              : failure(answer).m_code);
    }

    /// Repeats the call after each answer until the given time.
    void call_until(core::time_point end)
    {
        m_calls.m_get("key",
                      [this, end](auto const& answer)
                      {
                          record(answer);
                          if (m_platform.m_now < end)
                          {
                              call_until(end);
                          }
                      });
    }
};

} // namespace

// Guards against a limiter that exceeds the platform's rate limits.
TEST_CASE("calls start within the rate and the burst")
{
    limiter_fixture fixture({.m_calls_per_second = 5, .m_burst = 3});
    for (int i = 0; i < 40; ++i)
    {
        fixture.get();
    }
    fixture.m_platform.run();
    auto const& times = fixture.m_platform.m_call_times;
    REQUIRE(times.size() == 40);
    for (std::size_t first = 0; first < times.size(); ++first)
    {
        for (std::size_t last = first; last < times.size(); ++last)
        {
            std::chrono::duration<double> const span =
                times[last] - times[first];
            // The burst is allowed in addition to the rate.
            CHECK(static_cast<double>(last - first + 1) <=
                  span.count() * 5 + 3 + 1e-6);
        }
    }
    CHECK(fixture.m_limiter->counters().m_delayed == 40);
}

// Guards against a watch that takes tokens during its whole wait, or that
// blocks other calls.
TEST_CASE("a waiting watch counts as one call")
{
    limiter_fixture fixture({.m_calls_per_second = 5, .m_burst = 1});
    fixture.m_calls.m_watch("key", 0, seconds(30),
                            [&](auto const& answer)
                            { fixture.record(answer); });
    fixture.get();
    fixture.m_platform.run();
    REQUIRE(fixture.m_platform.m_call_times.size() == 2);
    CHECK(fixture.m_platform.m_call_times[1] -
              fixture.m_platform.m_call_times[0] <
          milliseconds(201));
    CHECK(fixture.m_answers ==
          std::vector{result_code::not_found, result_code::not_found});
}

// Guards against calls at full rate to a store that is down, and against a
// limiter that sends no calls after the outage.
TEST_CASE("the backoff doubles up to its limit and ends with the outage")
{
    limiter_fixture fixture({.m_calls_per_second = 1000,
                             .m_burst = 1000,
                             .m_max_queue_time = seconds(60)});
    auto const outage_end = core::time_point(seconds(100));
    fixture.m_platform.m_choose_fault = [&](auto, auto const&)
    {
        return fixture.m_platform.m_now < outage_end ? fault::down
                                                     : fault::none;
    };
    fixture.call_until(core::time_point(seconds(120)));
    fixture.m_platform.run();
    auto const& times = fixture.m_platform.m_call_times;
    std::vector<core::duration> gaps;
    auto const after =
        std::find_if(times.begin(), times.end(),
                     [&](auto time) { return time >= outage_end; });
    REQUIRE(after != times.end());
    for (auto it = times.begin() + 1; it <= after; ++it)
    {
        gaps.push_back(*it - *(it - 1));
    }
    // A gap consists of a backoff of half to the whole nominal time and of
    // the 2 ms of the call.
    core::duration nominal = milliseconds(100);
    for (auto const gap : gaps)
    {
        CHECK(gap >= nominal / 2);
        CHECK(gap <= nominal + milliseconds(3));
        nominal = std::min<core::duration>(nominal * 2, seconds(10));
    }
    CHECK(*after - outage_end <= seconds(10) + milliseconds(3));
    CHECK(times.end() - after > 1000);
}

// Guards against hosts that retry at the same time and overload the store
// again.
TEST_CASE("hosts with different seeds have different backoffs")
{
    std::set<core::time_point> second_calls;
    for (std::uint64_t seed = 0; seed < 20; ++seed)
    {
        limiter_fixture fixture({.m_calls_per_second = 1000}, seed);
        fixture.m_platform.m_choose_fault = [](std::uint64_t call, auto const&)
        {
            return call == 0 ? fault::down : fault::none;
        };
        fixture.call_until(core::time_point(milliseconds(10)));
        fixture.m_platform.run();
        REQUIRE(fixture.m_platform.m_call_times.size() == 2);
        second_calls.insert(fixture.m_platform.m_call_times[1]);
    }
    CHECK(second_calls.size() == 20);
}

// Guards against calls that are never answered, and against a late answer that
// invokes the callback a second time.
TEST_CASE("every call is answered exactly once for every kind of fault")
{
    for (auto const kind : {fault::none, fault::down, fault::slow,
                            fault::answer_lost, fault::silent})
    {
        CAPTURE(static_cast<int>(kind));
        // A slow answer arrives after the timeout.
        limiter_fixture fixture({.m_call_timeout = milliseconds(500)});
        fixture.m_platform.m_choose_fault = [&](auto, auto const&)
        {
            return kind;
        };
        fixture.get();
        fixture.m_calls.m_watch("key", 0, milliseconds(100),
                                [&](auto const& answer)
                                { fixture.record(answer); });
        fixture.m_calls.m_compare_and_swap("key", "value", {},
                                           [&](auto const& answer)
                                           { fixture.record(answer); });
        fixture.m_calls.m_list_hosts([&](auto const& answer)
                                     { fixture.record(answer); });
        fixture.m_platform.run();
        CHECK(fixture.m_answers.size() == 4);
        if (kind != fault::none)
        {
            CHECK(std::count(fixture.m_answers.begin(), fixture.m_answers.end(),
                             result_code::store_unavailable) == 4);
        }
    }
}

// Guards against a queue that grows throughout an outage, and against calls
// that are queued until its end.
TEST_CASE("queued calls are limited in number and time")
{
    limiter_fixture fixture({.m_calls_per_second = 0.01,
                             .m_max_queue_time = seconds(3),
                             .m_max_queued_calls = 10});
    for (int i = 0; i < 15; ++i)
    {
        fixture.get();
    }
    fixture.m_platform.run();
    CHECK(fixture.m_answers.size() == 15);
    CHECK(fixture.m_platform.m_call_count == 0);
    CHECK(fixture.m_limiter->counters().m_refused == 15);
}

// Guards against an expired lease that is handled like an outage: its holder
// must be notified at once, and other calls must not be delayed.
TEST_CASE("a lease that expired while its holder was paused is reported")
{
    limiter_fixture fixture;
    std::string lease;
    fixture.m_calls.m_create_lease(seconds(5), [&](auto const& answer)
                                   { lease = value(answer); });
    fixture.m_platform.run();
    fixture.m_platform.m_now += seconds(6);
    fixture.m_calls.m_renew_lease(lease, [&](auto const& answer)
                                  { fixture.record(answer); });
    fixture.m_platform.run();
    CHECK(fixture.m_answers == std::vector{result_code::not_found});
    CHECK(fixture.m_limiter->counters().m_backoffs == 0);
}

} // namespace hawthornspur::platform
