#include "core/pool.hpp"

#include <doctest/doctest.h>

#include <optional>
#include <set>
#include <variant>
#include <vector>

// Load pattern: one request ends each target that runs it, and takes the other
// requests of the target with it.

namespace hawthornspur::core
{

namespace
{

using std::chrono::milliseconds;

constexpr kind_id look_up{0};

struct fixture
{
    pool_ptr m_pool;
    service_budgets m_budgets;
    time_point m_now{std::chrono::hours(1)};
    pool_effects m_out;
    std::uint64_t m_next_request = 1;
};

fixture make_fixture(std::uint32_t targets, int slots)
{
    kind_config idempotent;
    idempotent.m_name = "look-up";
    idempotent.m_execution = execution_rule::idempotent;
    idempotent.m_max_attempts = 4;
    fixture test;
    pool_rules rules;
    rules.m_kinds = {idempotent};
    test.m_pool = make_pool(rules, pool_start::fresh, test.m_now);
    test.m_budgets.m_probe = make_token_bucket(10, 10, test.m_now);
    test.m_budgets.m_repeat.m_spare = {0, 100, 100, test.m_now};
    std::vector<pool_target> list;
    for (std::uint32_t id = 0; id < targets; ++id)
    {
        list.push_back({{id}, slots, false});
    }
    set_targets(*test.m_pool, list, test.m_now, test.m_budgets, test.m_out);
    return test;
}

request_id arrive(fixture& test, content_id content, int target_ends = 0)
{
    request_id const id{test.m_next_request++};
    on_arrival(*test.m_pool,
               {.m_request = id,
                .m_kind = look_up,
                .m_deadline = test.m_now + std::chrono::seconds(2),
                .m_content = content,
                .m_target_ends = target_ends},
               test.m_now, test.m_budgets, test.m_out);
    return id;
}

template <class Effect>
std::vector<Effect> find_effects(fixture const& test, request_id id)
{
    std::vector<Effect> found;
    for (auto const& effect : test.m_out)
    {
        auto const* match = std::get_if<Effect>(&effect);
        if (match != nullptr && match->m_request == id)
        {
            found.push_back(*match);
        }
    }
    return found;
}

std::size_t count_attempts(fixture const& test, request_id id)
{
    return find_effects<dispatch_effect>(test, id).size();
}

target_id last_target(fixture const& test, request_id id)
{
    return find_effects<dispatch_effect>(test, id).back().m_target;
}

std::optional<result_code> refusal_of(fixture const& test, request_id id)
{
    auto const refusals = find_effects<refuse_effect>(test, id);
    return refusals.empty() ? std::nullopt
                            : std::optional(refusals.back().m_code);
}

void end_attempt(fixture& test, request_id id, attempt_outcome outcome)
{
    auto const attempt =
        find_effects<dispatch_effect>(test, id).back().m_attempt;
    test.m_now += milliseconds(1);
    on_attempt_ended(*test.m_pool, {id, attempt, outcome, {}, false},
                     test.m_now, test.m_budgets, test.m_out);
}

} // namespace

// Guards against a request that ends as many targets as it may have attempts.
TEST_CASE("a request that lost two targets is not sent to a third one")
{
    auto test = make_fixture(5, 3);
    auto const request = arrive(test, {1});
    end_attempt(test, request, attempt_outcome::closed);
    CHECK(count_attempts(test, request) == 2);
    end_attempt(test, request, attempt_outcome::closed);
    CHECK(count_attempts(test, request) == 2);
    CHECK(refusal_of(test, request) == result_code::target_closed);
}

TEST_CASE("a copy of a request that ended a target gets no retry after a loss")
{
    auto test = make_fixture(5, 3);
    auto const request = arrive(test, {1}, 1);
    end_attempt(test, request, attempt_outcome::closed);
    CHECK(count_attempts(test, request) == 1);
    CHECK(refusal_of(test, request) == result_code::target_closed);
}

TEST_CASE("a request that ended targets is retried if it has not run")
{
    auto test = make_fixture(5, 3);
    auto const request = arrive(test, {1}, 2);
    end_attempt(test, request, attempt_outcome::connect_failed);
    CHECK(count_attempts(test, request) == 2);
}

// Guards against requests that accompany a deadly one from target to target.
TEST_CASE("requests that lost the same target are retried at different ones")
{
    auto test = make_fixture(4, 3);
    std::vector<request_id> requests;
    // Twelve slots at four targets: three requests share each of them.
    for (std::uint64_t i = 0; i < 12; ++i)
    {
        requests.push_back(arrive(test, {i + 1}));
    }
    auto const ended = last_target(test, requests.front());
    std::vector<request_id> lost;
    std::vector<request_id> others;
    for (auto const id : requests)
    {
        (last_target(test, id) == ended ? lost : others).push_back(id);
    }
    REQUIRE(lost.size() == 3);
    for (auto const id : others)
    {
        end_attempt(test, id, attempt_outcome::ok);
    }
    for (auto const id : lost)
    {
        end_attempt(test, id, attempt_outcome::closed);
    }
    std::set<target_id> targets;
    for (auto const id : lost)
    {
        REQUIRE(count_attempts(test, id) == 2);
        targets.insert(last_target(test, id));
    }
    CHECK(targets.size() == 3);
}

// Guards against waiting copies of a request that is known to be deadly.
TEST_CASE("waiting copies are refused when their content is suspected")
{
    auto test = make_fixture(1, 1);
    auto const running = arrive(test, {1});
    auto const copy = arrive(test, {1});
    auto const other = arrive(test, {2});
    refuse_suspects(*test.m_pool, {1}, test.m_now, test.m_out);
    CHECK(refusal_of(test, copy) == result_code::request_suspected);
    CHECK_FALSE(refusal_of(test, running).has_value());
    end_attempt(test, running, attempt_outcome::ok);
    CHECK(count_attempts(test, other) == 1);
}

} // namespace hawthornspur::core
