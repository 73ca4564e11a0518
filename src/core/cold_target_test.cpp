// Replays cold targets in virtual time under the cold rate of their service.

#include "core/advertised_rate.hpp"
#include "core/pool.hpp"
#include "core/rate_share.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <variant>
#include <vector>

namespace hawthornspur::core
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr double cold_rate = 4.7;
constexpr auto warm_up = seconds(3);
constexpr duration service_duration = milliseconds(60);
constexpr duration step = milliseconds(5);
constexpr time_point start{std::chrono::hours(1)};
constexpr std::uint32_t target_count = 3;

/// The pool as one host runs it.
struct owner
{
    pool_ptr m_pool;
    service_budgets m_budgets;
    std::multimap<time_point, dispatch_effect> m_running;
    std::uint64_t m_next_request = 1;
    std::vector<target_id> m_probed;
};

/// Starts of attempts at each target, over all owners.
using start_log = std::map<target_id, std::vector<time_point>>;

owner make_owner()
{
    kind_config kind;
    kind.m_name = "look-up";
    kind.m_execution = execution_rule::idempotent;
    pool_rules rules;
    rules.m_kinds = {kind};
    rules.m_cold_rate = cold_rate;
    owner state;
    state.m_pool = make_pool(rules, pool_start::fresh, start);
    state.m_budgets.m_probe = make_token_bucket(1, 1, start);
    return state;
}

void handle(owner& state, pool_effects const& effects, time_point now,
            start_log& log)
{
    for (auto const& effect : effects)
    {
        if (auto const* sent = std::get_if<dispatch_effect>(&effect))
        {
            log[sent->m_target].push_back(now);
            state.m_running.emplace(now + service_duration, *sent);
        }
        else if (auto const* probe = std::get_if<probe_effect>(&effect))
        {
            state.m_probed.push_back(probe->m_target);
        }
    }
}

/// Lists the targets, which may be evacuated or cold until a time.
void list_targets(owner& state, bool is_evacuated, time_point cold_until,
                  time_point now, start_log& log)
{
    std::vector<pool_target> targets;
    for (std::uint32_t id = 1; id <= target_count; ++id)
    {
        targets.push_back({{id}, 4, is_evacuated, cold_until, is_evacuated});
    }
    pool_effects out;
    set_targets(*state.m_pool, targets, now, state.m_budgets, out);
    handle(state, out, now, log);
}

/// Ends the attempts that are due, plays one arrival and the timer.
void advance(owner& state, time_point now, start_log& log)
{
    while (!state.m_running.empty() && state.m_running.begin()->first <= now)
    {
        auto const ended = state.m_running.begin()->second;
        state.m_running.erase(state.m_running.begin());
        pool_effects out;
        on_attempt_ended(
            *state.m_pool,
            {ended.m_request, ended.m_attempt, attempt_outcome::ok, {}, false},
            now, state.m_budgets, out);
        handle(state, out, now, log);
    }
    pool_effects out;
    on_arrival(*state.m_pool,
               {.m_request = {state.m_next_request++},
                .m_kind = {0},
                .m_deadline = now + milliseconds(1500)},
               now, state.m_budgets, out);
    if (auto const next = next_timer(*state.m_pool); next && *next <= now)
    {
        on_timer(*state.m_pool, now, state.m_budgets, out);
    }
    handle(state, out, now, log);
}

/// Most starts within any second that ends before `end`.
int highest_rate(std::vector<time_point> const& starts, time_point end)
{
    std::ptrdiff_t highest = 0;
    for (auto first = starts.begin(); first != starts.end(); ++first)
    {
        auto const last = std::upper_bound(
            first, starts.end(), std::min(end, *first + duration(seconds(1))));
        highest = std::max(highest, last - first);
    }
    return static_cast<int>(highest);
}

} // namespace

// Guards against a crash of the cold targets of a zone that is taken back while
// demand is many times the cold rate and the owner changes.
TEST_CASE("a zone that returns cold at a peak gets no more than the cold rate")
{
    start_log log;
    owner owners[] = {make_owner(), make_owner()};
    auto const returned_at = start + seconds(2);
    auto const changed_at = returned_at + seconds(1);
    auto const cold_until = returned_at + warm_up;
    for (auto& state : owners)
    {
        list_targets(state, true, {}, start, log);
    }
    bool is_returned = false;
    for (auto now = start; now < cold_until + seconds(1); now += step)
    {
        if (now >= returned_at && !is_returned)
        {
            is_returned = true;
            for (auto& state : owners)
            {
                list_targets(state, false, cold_until, now, log);
            }
        }
        for (bool const is_second : {false, true})
        {
            auto& state = owners[is_second ? 1 : 0];
            bool const is_owner = (now >= changed_at) == is_second;
            pool_effects out;
            set_rate_share(
                *state.m_pool,
                rate_share(is_owner,
                           now < changed_at ? time_point{} : changed_at, {2, 0},
                           now),
                now, out);
            handle(state, out, now, log);
            advance(state, now, log);
        }
    }
    REQUIRE(log.size() == target_count);
    for (auto const& [target, starts] : log)
    {
        CHECK(starts.front() >= returned_at);
        CHECK(highest_rate(starts, cold_until) <= cold_rate * 1.5 + 8);
        // Most of the rate is used, and the limit ends with the cold state.
        auto const warm =
            std::lower_bound(starts.begin(), starts.end(), cold_until);
        CHECK(warm - starts.begin() >= 9);
        CHECK(starts.end() - warm > 30);
    }
}

// Guards against a target that becomes cold again without a new entry, and
// against an earlier entry that replaces what the target said later.
TEST_CASE("the newest report of a target says how long it is cold")
{
    start_log log;
    auto state = make_owner();
    list_targets(state, false, {}, start, log);
    auto now = start;
    auto const play = [&](duration length)
    {
        for (auto const end = now + length; now < end; now += step)
        {
            advance(state, now, log);
        }
    };
    auto const report = [&](duration left)
    {
        // All targets are probed within a second although all are busy.
        state.m_probed.clear();
        play(milliseconds(1300));
        for (std::uint32_t id = 1; id <= target_count; ++id)
        {
            REQUIRE(std::find(state.m_probed.begin(), state.m_probed.end(),
                              target_id{id}) != state.m_probed.end());
            probe_answer answer{{id}, true};
            answer.m_cold_left = left;
            pool_effects out;
            on_probe_answer(*state.m_pool, answer, now, state.m_budgets, out);
            handle(state, out, now, log);
        }
        log.clear();
    };
    report(seconds(3));
    list_targets(state, false, {}, now, log);
    play(seconds(1));
    for (auto const& [target, starts] : log)
    {
        CHECK(starts.size() <= 7);
    }
    report(duration(0));
    play(seconds(1));
    for (auto const& [target, starts] : log)
    {
        CHECK(starts.size() > 20);
    }
}

// Guards against two limits of which the higher one is used.
TEST_CASE("the lower of the advertised limit and the cold rate holds")
{
    advertised_rate rate;
    CHECK(!limit_in_force(rate));
    rate.m_cold_limit = cold_rate;
    CHECK(limit_in_force(rate) == cold_rate);
    rate.m_limit = 2;
    CHECK(limit_in_force(rate) == 2);
    rate.m_limit = 9;
    CHECK(limit_in_force(rate) == cold_rate);
}

} // namespace hawthornspur::core
