// Replays loads on a pool in virtual time whose targets advertise rate limits.

#include "core/advertised_rate.hpp"
#include "core/pool.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <random>
#include <string>
#include <variant>
#include <vector>

namespace hawthornspur::core
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr duration service_duration = milliseconds(140);
constexpr duration deadline = seconds(3);
constexpr duration window = seconds(4);
constexpr int slots = 3;

/// A request at one target, in the order of their starts.
struct sent_request
{
    time_point m_at{};
    target_id m_target;
};

struct replay
{
    pool_ptr m_pool;
    service_budgets m_budgets;
    time_point m_now{std::chrono::hours(1)};
    std::mt19937_64 m_random{1};
    /// Attempts by the time at which they end.
    std::multimap<time_point, dispatch_effect> m_running;
    std::map<request_id, time_point> m_arrived;
    std::vector<sent_request> m_sent;
    /// Time that each refused request waited.
    std::vector<duration> m_refused_after;
    std::map<target_id, double> m_limits;
    std::uint64_t m_next_request = 1;
};

void handle_effects(replay& state, pool_effects const& effects)
{
    for (auto const& effect : effects)
    {
        if (auto const* sent = std::get_if<dispatch_effect>(&effect))
        {
            state.m_sent.push_back({state.m_now, sent->m_target});
            state.m_running.emplace(state.m_now + service_duration, *sent);
        }
        else if (auto const* refused = std::get_if<refuse_effect>(&effect))
        {
            state.m_refused_after.push_back(
                state.m_now - state.m_arrived.at(refused->m_request));
        }
    }
}

replay make_replay(std::uint32_t targets)
{
    kind_config kind;
    kind.m_name = "look-up";
    kind.m_execution = execution_rule::idempotent;
    kind.m_target_latency = milliseconds(400);
    pool_rules rules;
    rules.m_kinds = {kind};
    replay state;
    state.m_pool = make_pool(rules, pool_start::fresh, state.m_now);
    std::vector<pool_target> list;
    for (std::uint32_t id = 0; id < targets; ++id)
    {
        list.push_back({{id}, slots, false});
    }
    pool_effects out;
    set_targets(*state.m_pool, list, state.m_now, state.m_budgets, out);
    return state;
}

/// An answer of the target, which names its current limit.
void report_limit(replay& state, target_id target, time_point started_at)
{
    auto const found = state.m_limits.find(target);
    pool_effects out;
    on_rate_report(*state.m_pool,
                   {target,
                    found == state.m_limits.end()
                        ? std::nullopt
                        : std::optional(found->second),
                    rate_source::answer, started_at},
                   state.m_now, out);
    handle_effects(state, out);
}

void end_first_attempt(replay& state)
{
    auto const ended = state.m_running.begin()->second;
    state.m_running.erase(state.m_running.begin());
    report_limit(state, ended.m_target, state.m_now - service_duration);
    pool_effects out;
    on_attempt_ended(
        *state.m_pool,
        {ended.m_request, ended.m_attempt, attempt_outcome::ok, {}, false},
        state.m_now, state.m_budgets, out);
    handle_effects(state, out);
}

void arrive(replay& state)
{
    request_id const id{state.m_next_request++};
    state.m_arrived[id] = state.m_now;
    pool_effects out;
    on_arrival(
        *state.m_pool,
        {.m_request = id, .m_kind = {0}, .m_deadline = state.m_now + deadline},
        state.m_now, state.m_budgets, out);
    handle_effects(state, out);
}

/// Plays arrivals at random times for `length`.
void play(replay& state, double requests_per_second, duration length)
{
    std::exponential_distribution<double> gap(requests_per_second);
    auto const draw = [&]
    {
        return std::chrono::duration_cast<duration>(
            std::chrono::duration<double>(gap(state.m_random)));
    };
    auto const end = state.m_now + length;
    auto next_arrival = state.m_now + draw();
    while (state.m_now < end)
    {
        auto next = std::min(next_arrival, end);
        if (!state.m_running.empty())
        {
            next = std::min(next, state.m_running.begin()->first);
        }
        auto const timer = next_timer(*state.m_pool);
        next = std::max(state.m_now, timer ? std::min(next, *timer) : next);
        state.m_now = next;
        if (timer && *timer <= next)
        {
            pool_effects out;
            on_timer(*state.m_pool, next, state.m_budgets, out);
            handle_effects(state, out);
        }
        while (!state.m_running.empty() &&
               state.m_running.begin()->first <= next)
        {
            end_first_attempt(state);
        }
        if (next_arrival <= next)
        {
            arrive(state);
            next_arrival = next + draw();
        }
    }
}

/// The most requests that a target got in a window of four seconds, starting
/// at `from`.
int max_in_window(replay const& state, target_id target, time_point from)
{
    int most = 0;
    for (auto first = state.m_sent.begin(); first != state.m_sent.end();
         ++first)
    {
        if (first->m_target != target || first->m_at < from)
        {
            continue;
        }
        auto const count =
            std::count_if(first, state.m_sent.end(),
                          [&](sent_request const& sent) {
                              return sent.m_target == target &&
                                     sent.m_at < first->m_at + window;
                          });
        most = std::max(most, static_cast<int>(count));
    }
    return most;
}

/// What the limit allows in the window, and one request that was saved up.
int allowed_in_window(double requests_per_second)
{
    return static_cast<int>(4 * requests_per_second) + 1;
}

void advertise(replay& state, std::map<target_id, double> limits)
{
    state.m_limits = std::move(limits);
    for (auto const& [target, limit] : state.m_limits)
    {
        report_limit(state, target, state.m_now);
    }
}

} // namespace

// Guards against a target in need that gets more requests than its advertised
// rate limit, and against a limit that is left unused.
TEST_CASE("a target gets no more requests than its advertised rate limit")
{
    auto state = make_replay(5);
    play(state, 60, seconds(2));
    advertise(state, {{{0}, 1.2}, {{1}, 1.8}, {{2}, 3.5}});
    auto const from = state.m_now;
    play(state, 30, seconds(20));
    for (auto const& row : state.m_limits)
    {
        auto const target = row.first;
        auto const limit = row.second;
        CAPTURE(target.m_value);
        auto const most = max_in_window(state, target, from);
        CHECK(most <= allowed_in_window(limit));
        CHECK(most >= static_cast<int>(4 * limit) - 1);
    }
    CHECK(state.m_refused_after.empty());
}

// Guards against requests that wait for a target that cannot take them, until
// their callers have no time left to try again.
TEST_CASE("requests beyond the rate limits of all targets are refused early")
{
    auto state = make_replay(3);
    play(state, 30, seconds(2));
    advertise(state, {{{0}, 2}, {{1}, 2}, {{2}, 2}});
    auto const sent_before = state.m_sent.size();
    play(state, 30, seconds(20));
    auto const& refused = state.m_refused_after;
    REQUIRE(refused.size() > 100);
    auto const at_once =
        std::count(refused.begin(), refused.end(), duration::zero());
    CHECK(at_once > 9 * static_cast<std::ptrdiff_t>(refused.size()) / 10);
    auto const sent = static_cast<double>(state.m_sent.size() - sent_before);
    CHECK(sent >= 0.9 * 6 * 20);
    CHECK(sent <= 6 * 20 + 3);
}

// Guards against a limit that stays in force after the target has recovered,
// and against one that a late answer from before it removes.
TEST_CASE("a rate limit ends with the first later answer without it")
{
    auto state = make_replay(1);
    advertise(state, {{{0}, 1}});
    state.m_limits.clear();
    report_limit(state, {0}, state.m_now - milliseconds(1));
    arrive(state);
    CHECK(state.m_sent.empty());
    state.m_now += milliseconds(10);
    report_limit(state, {0}, state.m_now);
    CHECK(state.m_sent.size() == 1);
}

// Guards against hosts that are not the owner of a pool and each send what the
// limits of its targets allow.
TEST_CASE("a host without a share of the limits uses only other targets")
{
    auto state = make_replay(2);
    advertise(state, {{{0}, 100}});
    pool_effects out;
    set_rate_share(*state.m_pool, 0, state.m_now, out);
    auto const from = state.m_now;
    play(state, 10, seconds(5));
    CHECK(max_in_window(state, {0}, from) == 0);
    CHECK(max_in_window(state, {1}, from) > 20);
    advertise(state, {{{0}, 100}, {{1}, 100}});
    auto const refused_before = state.m_refused_after.size();
    arrive(state);
    CHECK(state.m_refused_after.size() == refused_before + 1);
}

// Guards against a new owner that sends to a target in need until the target
// has told it the limit.
TEST_CASE("limits that another host knows hold from the first request")
{
    auto state = make_replay(2);
    adopt_rate_limits(*state.m_pool, std::vector{target_rate_limit{{0}, 2}},
                      state.m_now);
    state.m_limits = {{{0}, 2}};
    auto const from = state.m_now;
    play(state, 20, seconds(10));
    CHECK(max_in_window(state, {0}, from) <= allowed_in_window(2));
    CHECK(max_in_window(state, {1}, from) > 30);
}

// Guards against requests that wait at a new owner, which has seen no answer
// yet, although the limits do not allow them in time.
TEST_CASE("a new owner refuses what the rate limits do not allow in time")
{
    auto state = make_replay(1);
    adopt_rate_limits(*state.m_pool, std::vector{target_rate_limit{{0}, 0.2}},
                      state.m_now);
    arrive(state);
    CHECK(state.m_refused_after == std::vector<duration>{duration::zero()});
}

// Guards against a limit that no answer can end, because the target gets no
// requests under it.
TEST_CASE("a health answer without the limit ends it if others had it")
{
    for (bool const is_in_health_answers : {false, true})
    {
        CAPTURE(is_in_health_answers);
        auto state = make_replay(1);
        pool_effects out;
        auto const report = [&](std::optional<double> limit, rate_source source)
        {
            state.m_now += milliseconds(1);
            return on_rate_report(*state.m_pool,
                                  {{0}, limit, source, state.m_now},
                                  state.m_now, out);
        };
        CHECK(report(0, is_in_health_answers ? rate_source::health_answer
                                             : rate_source::answer) ==
              rate_change::begun_or_ended);
        CHECK(report({}, rate_source::failure) == rate_change::none);
        CHECK(report({}, rate_source::health_answer) ==
              (is_in_health_answers ? rate_change::begun_or_ended
                                    : rate_change::none));
    }
}

// Guards against a message to other hosts with each answer of a target that
// adjusts its limit continuously.
TEST_CASE("a limit that a target adjusts neither begins nor ends")
{
    auto state = make_replay(1);
    pool_effects out;
    auto const report = [&](std::optional<double> limit)
    {
        state.m_now += milliseconds(1);
        return on_rate_report(*state.m_pool,
                              {{0}, limit, rate_source::answer, state.m_now},
                              state.m_now, out);
    };
    CHECK(report(1) == rate_change::begun_or_ended);
    CHECK(report(1) == rate_change::none);
    CHECK(report(20) == rate_change::adjusted);
    CHECK(report({}) == rate_change::begun_or_ended);
}

} // namespace hawthornspur::core
