#include "core/pool.hpp"
#include "core/second_run.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <vector>

namespace hawthornspur::core
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr duration usual_time = milliseconds(100);
constexpr duration long_time = milliseconds(700);
constexpr duration objective = milliseconds(400);

/// Serves one read at a time at two targets of one slot each.
struct fixture
{
    pool_ptr m_pool;
    service_budgets m_budgets;
    time_point m_now{std::chrono::hours(1)};
    std::uint64_t m_requests = 0;
};

fixture make_fixture(execution_rule execution)
{
    kind_config kind;
    kind.m_name = "look-up";
    kind.m_execution = execution;
    kind.m_target_latency = objective;
    kind.m_max_attempts = 2;
    kind.m_share_declared = true;
    pool_rules rules;
    rules.m_kinds = {kind};
    fixture created;
    created.m_pool = make_pool(rules, pool_start::fresh, created.m_now);
    created.m_budgets.m_repeat.m_spare = {100, 100, 100, created.m_now};
    pool_effects ignored;
    set_targets(
        *created.m_pool,
        std::vector<pool_target>{{{1}, 1, false, {}}, {{2}, 1, false, {}}},
        created.m_now, created.m_budgets, ignored);
    return created;
}

struct served_read
{
    duration m_elapsed{0};
    int m_attempts = 0;
};

/// Serves a read whose first run takes `first` and whose second run takes
/// `second`.
served_read serve(fixture& test, duration first, duration second)
{
    arrival request;
    request.m_request = {++test.m_requests};
    request.m_kind = {0};
    request.m_deadline = test.m_now + seconds(2);
    request.m_objective = test.m_now + objective;
    auto const start = test.m_now;
    std::vector<time_point> ends;
    pool_effects effects;
    on_arrival(*test.m_pool, request, test.m_now, test.m_budgets, effects);
    while (test.m_now < start + seconds(2))
    {
        for (std::size_t i = 0; i < effects.size(); ++i)
        {
            auto const effect = effects[i];
            if (std::holds_alternative<dispatch_effect>(effect))
            {
                ends.push_back(test.m_now + (ends.empty() ? first : second));
            }
            if (auto const* cancel =
                    std::get_if<cancel_attempt_effect>(&effect))
            {
                on_attempt_ended(*test.m_pool,
                                 {cancel->m_request,
                                  cancel->m_attempt,
                                  attempt_outcome::cancelled,
                                  {},
                                  false},
                                 test.m_now, test.m_budgets, effects);
            }
        }
        effects.clear();
        auto const due = std::min_element(ends.begin(), ends.end());
        if (due != ends.end() && *due <= test.m_now)
        {
            auto const attempt =
                static_cast<attempt_number>(due - ends.begin() + 1);
            on_answer_started(*test.m_pool, request.m_request, attempt,
                              test.m_now, effects);
            on_attempt_ended(
                *test.m_pool,
                {request.m_request, attempt, attempt_outcome::ok, {}, false},
                test.m_now, test.m_budgets, effects);
            for (auto const& effect : pool_effects(effects))
            {
                if (auto const* cancel =
                        std::get_if<cancel_attempt_effect>(&effect))
                {
                    on_attempt_ended(*test.m_pool,
                                     {cancel->m_request,
                                      cancel->m_attempt,
                                      attempt_outcome::cancelled,
                                      {},
                                      false},
                                     test.m_now, test.m_budgets, effects);
                }
            }
            break;
        }
        test.m_now += milliseconds(1);
        on_timer(*test.m_pool, test.m_now, test.m_budgets, effects);
    }
    return {test.m_now - start, static_cast<int>(ends.size())};
}

void warm_up(fixture& test)
{
    for (int i = 0; i < 20; ++i)
    {
        CHECK(serve(test, usual_time, usual_time).m_attempts == 1);
    }
}

} // namespace

// Guards against a read that misses its objective although a second run would
// be short, with a free slot and budget at hand.
TEST_CASE("a read that runs long is answered in time by a second run")
{
    auto test = make_fixture(execution_rule::idempotent);
    warm_up(test);
    auto const served = serve(test, long_time, usual_time);
    CHECK(served.m_attempts == 2);
    CHECK(served.m_elapsed <= objective);
}

// Guards against a second run of a request that must run at most once.
TEST_CASE("an at-most-once request that runs long gets no second run")
{
    auto test = make_fixture(execution_rule::at_most_once);
    warm_up(test);
    auto const served = serve(test, long_time, usual_time);
    CHECK(served.m_attempts == 1);
    CHECK(served.m_elapsed == long_time);
}

// Guards against second runs that take slots without helping, where long reads
// are long at any target.
TEST_CASE("second runs that never answer first become rare")
{
    auto test = make_fixture(execution_rule::idempotent);
    warm_up(test);
    int attempts = 0;
    for (int i = 0; i < 100; ++i)
    {
        attempts += serve(test, long_time, 2 * long_time).m_attempts - 1;
        for (int usual = 0; usual < 10; ++usual)
        {
            serve(test, usual_time, usual_time);
        }
    }
    CHECK(attempts >= 8);
    CHECK(attempts <= 20);
}

} // namespace hawthornspur::core
