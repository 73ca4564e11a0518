#include "core/repeat_budget.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <vector>

namespace hawthornspur::core
{

namespace
{

using std::chrono::milliseconds;

constexpr repeat_limits limits{0.2, 12, std::chrono::seconds(10)};
constexpr int host_count = 6;

std::ptrdiff_t count(std::vector<time_point> const& times, time_point begin,
                     time_point end)
{
    return std::upper_bound(times.begin(), times.end(), end) -
           std::upper_bound(times.begin(), times.end(), begin);
}

} // namespace

// Guards against repeats beyond the limit while hosts are lost and others take
// over their callers, each with a budget of its own.
TEST_CASE("hosts that come and go stay within the limit of repeats together")
{
    auto const property = [](std::vector<std::uint8_t> const& load)
    {
        time_point now{std::chrono::hours(1)};
        std::vector<repeat_budget> hosts(
            host_count, make_repeat_budget(limits, host_count, now));
        std::vector<time_point> requests;
        std::vector<time_point> repeats;
        for (auto const step : load)
        {
            now += milliseconds(step % 8 * 40);
            auto const host = static_cast<std::size_t>(step / 8 % host_count);
            auto& budget = hosts[host];
            if (step >= 240)
            {
                budget = make_repeat_budget(limits, host_count, now);
            }
            for (int i = 0; i < step % 5 * 4; ++i)
            {
                record_request(budget, now);
                requests.push_back(now);
            }
            while (try_spend(budget, now))
            {
                repeats.push_back(now);
            }
        }
        auto const lifetime = limits.m_window / 8;
        for (auto const end : repeats)
        {
            auto const begin = end - limits.m_window;
            auto const counted = count(requests, begin - lifetime, end);
            RC_ASSERT(static_cast<double>(count(repeats, begin, end)) <=
                      8.0 / 9 * limits.m_ratio * static_cast<double>(counted) +
                          limits.m_burst + 1e-6);
        }
    };
    CHECK(rc::check(property));
}

// Guards against a budget that is not used: a host that has just taken over its
// callers could not repeat their failed requests.
TEST_CASE("under steady load most of the ratio can be used from the start")
{
    time_point now{std::chrono::hours(1)};
    auto budget = make_repeat_budget({0.2, 0, limits.m_window}, 1, now);
    int spent = 0;
    constexpr int requests = 1000;
    for (int i = 0; i < requests; ++i)
    {
        now += milliseconds(4);
        record_request(budget, now);
        spent += try_spend(budget, now) ? 1 : 0;
    }
    CHECK(spent >= 170);
    CHECK(spent <= 178);
}

} // namespace hawthornspur::core
