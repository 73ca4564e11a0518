#include "core/models/sharing_replay.hpp"

#include "core/pool.hpp"

#include <algorithm>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <variant>

namespace hawthornspur::core
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint32_t target_count = 10;
constexpr int slots_per_target = 2;
constexpr double work_ms = 100;
constexpr duration deadline = milliseconds(1500);
constexpr duration objective = deadline / 2;
constexpr duration warm_up = seconds(5);
constexpr duration measured = seconds(8);
constexpr double neighbour_share = 0.25;
constexpr double neighbour_slowdown = 4;

struct caller_request
{
    std::size_t m_source = 0;
    time_point m_sent;
    time_point m_deadline;
    int m_returns = 0;
    bool m_is_measured = false;
};

struct replay
{
    sharing_scenario m_scenario;
    pool_ptr m_pool;
    service_budgets m_budgets;
    time_point m_start{std::chrono::hours(1)};
    time_point m_now{m_start};
    std::mt19937_64 m_random{20261206};
    std::multimap<time_point, std::function<void()>> m_events;
    std::map<std::uint64_t, caller_request> m_requests;
    std::uint64_t m_next_request = 1;
    std::vector<double> m_slowness = std::vector<double>(target_count, 1);
    std::vector<replay_counts> m_counts;
};

double uniform(replay& state)
{
    return std::uniform_real_distribution<double>(0, 1)(state.m_random);
}

duration to_duration(double milliseconds_value)
{
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double, std::milli>(milliseconds_value));
}

void handle_effects(replay& state, pool_effects const& effects);

arrival make_arrival(replay const& state, std::uint64_t id)
{
    auto const& request = state.m_requests.at(id);
    auto const& source = state.m_scenario.m_sources[request.m_source];
    arrival call;
    call.m_request = {id};
    call.m_kind = {source.m_kind};
    call.m_deadline = request.m_deadline;
    call.m_earlier_attempts = request.m_returns;
    if (state.m_scenario.m_has_objective)
    {
        call.m_objective = request.m_deadline - deadline + objective;
    }
    if (state.m_scenario.m_names_customers)
    {
        call.m_customer = customer_id{source.m_customer};
        call.m_customer_priority = source.m_priority;
    }
    return call;
}

void send_request(replay& state, caller_request request)
{
    auto const id = state.m_next_request++;
    request.m_sent = state.m_now;
    state.m_requests[id] = request;
    pool_effects out;
    on_arrival(*state.m_pool, make_arrival(state, id), state.m_now,
               state.m_budgets, out);
    handle_effects(state, out);
}

void end_attempt(replay& state, dispatch_effect const& attempt)
{
    auto const found = state.m_requests.find(attempt.m_request.m_value);
    if (found != state.m_requests.end())
    {
        auto const& request = found->second;
        if (request.m_is_measured && state.m_now <= request.m_deadline)
        {
            auto& counts = state.m_counts[request.m_source];
            ++counts.m_served;
            bool const is_in_time =
                state.m_now <= request.m_deadline - deadline + objective;
            counts.m_in_time += is_in_time ? 1 : 0;
        }
        state.m_requests.erase(found);
    }
    pool_effects out;
    on_attempt_ended(
        *state.m_pool,
        {attempt.m_request, attempt.m_attempt, attempt_outcome::ok, {}, false},
        state.m_now, state.m_budgets, out);
    handle_effects(state, out);
}

void refuse_request(replay& state, std::uint64_t id)
{
    auto request = state.m_requests.at(id);
    auto const given_delay =
        retry_after_delay(*state.m_pool, make_arrival(state, id), state.m_now);
    state.m_requests.erase(id);
    auto const& source = state.m_scenario.m_sources[request.m_source];
    if (request.m_is_measured && state.m_now > request.m_sent)
    {
        ++state.m_counts[request.m_source].m_refused_late;
    }
    constexpr int max_immediate_returns = 20;
    auto const max_returns = source.m_ignores_delay ? max_immediate_returns : 1;
    auto const delay =
        source.m_ignores_delay ? duration(milliseconds(5)) : given_delay;
    if (request.m_returns++ < max_returns &&
        state.m_now + delay < request.m_deadline)
    {
        state.m_events.emplace(state.m_now + delay, [&state, request]
                               { send_request(state, request); });
    }
}

void handle_effects(replay& state, pool_effects const& effects)
{
    for (auto const& effect : effects)
    {
        if (auto const* started = std::get_if<dispatch_effect>(&effect))
        {
            auto const work = work_ms * (0.8 + 0.4 * uniform(state)) *
                              state.m_slowness[started->m_target.m_value];
            state.m_events.emplace(state.m_now + to_duration(work),
                                   [&state, attempt = *started]
                                   { end_attempt(state, attempt); });
        }
        else if (auto const* refused = std::get_if<refuse_effect>(&effect))
        {
            refuse_request(state, refused->m_request.m_value);
        }
    }
}

void schedule_arrivals(replay& state, std::size_t index)
{
    auto const& source = state.m_scenario.m_sources[index];
    auto next = state.m_start;
    while (next < state.m_start + warm_up + measured)
    {
        bool const is_measured = next >= state.m_start + warm_up;
        std::exponential_distribution<double> gap(
            source.m_usual_rate * (is_measured ? source.m_factor : 1));
        next += to_duration(1000 * gap(state.m_random));
        state.m_counts[index].m_asked += is_measured ? 1 : 0;
        caller_request const request{index, next, next + deadline, 0,
                                     is_measured};
        state.m_events.emplace(next, [&state, request]
                               { send_request(state, request); });
    }
}

void change_neighbours(replay& state)
{
    for (auto& slowness : state.m_slowness)
    {
        slowness = uniform(state) < neighbour_share ? neighbour_slowdown : 1;
    }
    state.m_events.emplace(state.m_now + milliseconds(500),
                           [&state] { change_neighbours(state); });
}

} // namespace

std::vector<replay_counts> play_sharing(sharing_scenario const& scenario)
{
    replay state;
    state.m_scenario = scenario;
    pool_rules rules;
    for (auto const priority : scenario.m_kind_priorities)
    {
        kind_config kind;
        kind.m_name = "kind" + std::to_string(rules.m_kinds.size());
        kind.m_priority = priority;
        kind.m_execution = execution_rule::at_most_once;
        kind.m_share_declared = true;
        if (scenario.m_has_objective)
        {
            kind.m_target_latency = objective;
        }
        rules.m_kinds.push_back(kind);
    }
    state.m_pool = make_pool(rules, pool_start::fresh, state.m_start);
    state.m_budgets.m_probe = make_token_bucket(100, 100, state.m_start);
    state.m_budgets.m_repeat = make_repeat_budget({0.2, 16}, 1, state.m_start);
    std::vector<pool_target> targets;
    for (std::uint32_t id = 0; id < target_count; ++id)
    {
        targets.push_back({{id}, slots_per_target, false, {}});
    }
    pool_effects out;
    set_targets(*state.m_pool, targets, state.m_start, state.m_budgets, out);
    state.m_counts.resize(scenario.m_sources.size());
    for (std::size_t i = 0; i < scenario.m_sources.size(); ++i)
    {
        schedule_arrivals(state, i);
    }
    if (scenario.m_has_neighbours)
    {
        change_neighbours(state);
    }
    auto const end = state.m_start + warm_up + measured;
    while (!state.m_events.empty() && state.m_events.begin()->first <= end)
    {
        auto const timer = next_timer(*state.m_pool);
        if (timer && *timer < state.m_events.begin()->first)
        {
            state.m_now = std::max(state.m_now, *timer);
            pool_effects due;
            on_timer(*state.m_pool, state.m_now, state.m_budgets, due);
            handle_effects(state, due);
            continue;
        }
        auto const event = state.m_events.begin();
        state.m_now = event->first;
        auto const action = std::move(event->second);
        state.m_events.erase(event);
        action();
    }
    return state.m_counts;
}

double share_served(replay_counts const& counts)
{
    return counts.m_served / std::max(1.0, 1.0 * counts.m_asked);
}

} // namespace hawthornspur::core
