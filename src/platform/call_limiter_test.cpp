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

struct limited
{
    fake_platform m_platform;
    std::unique_ptr<call_limiter> m_limiter;
    platform_calls m_calls;
    std::vector<result_code> m_answers;

    explicit limited(call_limiter_settings const& settings = {},
                     std::uint64_t seed = 1)
        : m_limiter(call_limiter::create(m_platform.make_calls(),
                                         m_platform.make_scheduler(), settings,
                                         seed))
        , m_calls(m_limiter->calls())
    {
    }

    void get()
    {
        m_calls.m_get("key", [this](auto const& r) { note(r); });
    }

    template <class T>
    void note(result<T> const& answer)
    {
        m_answers.push_back(has_value(answer) ? result_code::ok
                                              : failure(answer).m_code);
    }

    /// Calls again as soon as an answer is there, until the time is over.
    void call_until(core::time_point end)
    {
        m_calls.m_get("key",
                      [this, end](auto const& r)
                      {
                          note(r);
                          if (m_platform.m_now < end)
                          {
                              call_until(end);
                          }
                      });
    }
};

} // namespace

// Guards against hosts that use up the platform's rate limits.
TEST_CASE("calls start no faster than the rate")
{
    limited l({.m_calls_per_second = 5, .m_burst = 3});
    for (int i = 0; i < 40; ++i)
    {
        l.get();
    }
    l.m_platform.run();
    auto const& times = l.m_platform.m_call_times;
    REQUIRE(times.size() == 40);
    for (std::size_t first = 0; first < times.size(); ++first)
    {
        for (std::size_t last = first; last < times.size(); ++last)
        {
            std::chrono::duration<double> const span =
                times[last] - times[first];
            // The saved-up calls come on top of the rate.
            CHECK(static_cast<double>(last - first + 1) <=
                  span.count() * 5 + 3 + 1e-6);
        }
    }
    CHECK(l.m_limiter->counters().m_delayed == 40);
}

// Guards against a waiting watch that is charged for its whole wait, or that
// keeps other calls from starting.
TEST_CASE("a waiting watch counts as one call")
{
    limited l({.m_calls_per_second = 5, .m_burst = 1});
    l.m_calls.m_watch("key", 0, seconds(30), [&](auto const& r) { l.note(r); });
    l.get();
    l.m_platform.run();
    REQUIRE(l.m_platform.m_call_times.size() == 2);
    CHECK(l.m_platform.m_call_times[1] - l.m_platform.m_call_times[0] <
          milliseconds(201));
    CHECK(l.m_answers ==
          std::vector{result_code::not_found, result_code::not_found});
}

// Guards against hosts that keep calling a store which is down, and against a
// limiter that does not start again after the outage.
TEST_CASE("pauses double up to their bound during an outage and end with it")
{
    limited l({.m_calls_per_second = 1000,
               .m_burst = 1000,
               .m_longest_wait = seconds(60)});
    auto const outage_end = core::time_point(seconds(100));
    l.m_platform.m_fault = [&](auto, auto const&)
    {
        return l.m_platform.m_now < outage_end ? fault::down : fault::none;
    };
    l.call_until(core::time_point(seconds(120)));
    l.m_platform.run();
    auto const& times = l.m_platform.m_call_times;
    std::vector<core::duration> gaps;
    auto const after =
        std::find_if(times.begin(), times.end(),
                     [&](auto time) { return time >= outage_end; });
    REQUIRE(after != times.end());
    for (auto it = times.begin() + 1; it <= after; ++it)
    {
        gaps.push_back(*it - *(it - 1));
    }
    // A gap is a pause of half to the whole nominal time and the 2 ms of the
    // call itself.
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

// Guards against hosts that retry at the same time after an outage.
TEST_CASE("hosts with different seeds pause for different times")
{
    std::set<core::time_point> second_calls;
    for (std::uint64_t seed = 0; seed < 20; ++seed)
    {
        limited l({.m_calls_per_second = 1000}, seed);
        l.m_platform.m_fault = [](std::uint64_t call, auto const&)
        {
            return call == 0 ? fault::down : fault::none;
        };
        l.call_until(core::time_point(milliseconds(10)));
        l.m_platform.run();
        REQUIRE(l.m_platform.m_call_times.size() == 2);
        second_calls.insert(l.m_platform.m_call_times[1]);
    }
    CHECK(second_calls.size() == 20);
}

// Guards against calls that never answer and against late answers that are
// delivered a second time.
TEST_CASE("every call is answered exactly once, whatever the platform does")
{
    for (auto const kind : {fault::none, fault::down, fault::slow,
                            fault::answer_lost, fault::silent})
    {
        CAPTURE(static_cast<int>(kind));
        // A slow answer comes after the time limit.
        limited l({.m_longest_call = milliseconds(500)});
        l.m_platform.m_fault = [&](auto, auto const&)
        {
            return kind;
        };
        l.get();
        l.m_calls.m_watch("key", 0, milliseconds(100),
                          [&](auto const& r) { l.note(r); });
        l.m_calls.m_compare_and_swap("key", "value", 0,
                                     [&](auto const& r) { l.note(r); });
        l.m_calls.m_list_hosts([&](auto const& r) { l.note(r); });
        l.m_platform.run();
        CHECK(l.m_answers.size() == 4);
        if (kind != fault::none)
        {
            CHECK(std::count(l.m_answers.begin(), l.m_answers.end(),
                             result_code::store_unavailable) == 4);
        }
    }
}

// Guards against a queue that grows for as long as an outage lasts, and
// against calls that wait for a whole outage.
TEST_CASE("waiting calls are bounded in number and time")
{
    limited l({.m_calls_per_second = 0.01,
               .m_longest_wait = seconds(3),
               .m_max_waiting = 10});
    for (int i = 0; i < 15; ++i)
    {
        l.get();
    }
    l.m_platform.run();
    CHECK(l.m_answers.size() == 15);
    CHECK(l.m_platform.m_calls == 0);
    CHECK(l.m_limiter->counters().m_refused == 15);
}

// Guards against a lapsed lease that is taken for an outage: the holder must
// learn of it at once and other calls must go on.
TEST_CASE("a lease that lapsed while its holder was paused is reported")
{
    limited l;
    std::string lease;
    l.m_calls.m_create_lease(seconds(5),
                             [&](auto const& r) { lease = value(r); });
    l.m_platform.run();
    l.m_platform.m_now += seconds(6);
    l.m_calls.m_renew_lease(lease, [&](auto const& r) { l.note(r); });
    l.m_platform.run();
    CHECK(l.m_answers == std::vector{result_code::not_found});
    CHECK(l.m_limiter->counters().m_pauses == 0);
}

} // namespace hawthornspur::platform
