// Measures a decision of the fair queue with many flows, beside the queue of a
// pool without customers with as many waiting requests.

#include "core/fair_share.hpp"
#include "core/kind_queue.hpp"
#include "core/pool.hpp"

#include <benchmark/benchmark.h>

#include <chrono>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace
{

using namespace hawthornspur::core;
using std::chrono::milliseconds;

constexpr int requests_per_flow = 2;
constexpr int slots = 50;
constexpr std::uint32_t priority_count = 10;
constexpr std::uint32_t kind_count = 2;

/// Starts the next request of the flow that goes next and adds one to it.
void choose_flow(benchmark::State& state)
{
    auto const flows = static_cast<std::uint32_t>(state.range(0));
    fair_share share;
    time_point now{std::chrono::hours(1)};
    std::uint64_t sequence = 0;
    for (std::uint32_t i = 0; i < flows; ++i)
    {
        flow_key const key{{i + 1}, {0}};
        auto const priority = static_cast<int>(i % priority_count);
        record_arrival(share, key, {priority, 0}, rank_weight(priority, 0),
                       now);
        for (int n = 0; n < requests_per_flow; ++n, ++sequence)
        {
            push(share, key, {{sequence}, sequence, now, now},
                 queue_order::first_come);
        }
    }
    for (auto _ : state)
    {
        auto const key = *next_flow(share, {0});
        record_start(share, key);
        auto const first = share.m_flows.at(key).m_queue.front().m_request;
        remove(share, key, first);
        push(share, key, {{sequence}, sequence, now, now},
             queue_order::first_come);
        ++sequence;
    }
}
BENCHMARK(choose_flow)->Arg(10)->Arg(100)->Arg(1000);

/// A pool whose slots are taken and whose queue holds `waiting` requests, of
/// as many customers or of none.
struct loaded_pool
{
    pool_ptr m_pool;
    service_budgets m_budgets;
    time_point m_now{std::chrono::hours(1)};
    std::uint64_t m_next_request = 1;
    std::vector<dispatch_effect> m_started;
    pool_effects m_out;
};

void send(loaded_pool& state, std::uint32_t flow, bool names_customer)
{
    arrival call;
    call.m_request = {state.m_next_request++};
    call.m_kind = {flow % kind_count};
    call.m_deadline = state.m_now + std::chrono::hours(1);
    if (names_customer)
    {
        call.m_customer = customer_id{flow / kind_count + 1};
        call.m_customer_priority =
            static_cast<int>(flow / kind_count % priority_count);
    }
    state.m_out.clear();
    on_arrival(*state.m_pool, call, state.m_now, state.m_budgets, state.m_out);
    for (auto const& effect : state.m_out)
    {
        if (auto const* started = std::get_if<dispatch_effect>(&effect))
        {
            state.m_started.push_back(*started);
        }
    }
}

/// Ends the attempt that has run longest; the pool starts the next request.
void end_oldest(loaded_pool& state)
{
    auto const oldest = state.m_started.front();
    state.m_started.erase(state.m_started.begin());
    state.m_out.clear();
    on_attempt_ended(
        *state.m_pool,
        {oldest.m_request, oldest.m_attempt, attempt_outcome::ok, {}, false},
        state.m_now, state.m_budgets, state.m_out);
    for (auto const& effect : state.m_out)
    {
        if (auto const* started = std::get_if<dispatch_effect>(&effect))
        {
            state.m_started.push_back(*started);
        }
    }
}

loaded_pool make_loaded_pool(std::uint32_t flows, bool names_customers)
{
    loaded_pool state;
    pool_rules rules;
    rules.m_max_queue = 10'000;
    for (std::uint32_t i = 0; i < kind_count; ++i)
    {
        kind_config kind;
        kind.m_name = std::to_string(i);
        kind.m_share_declared = true;
        rules.m_kinds.push_back(kind);
    }
    state.m_pool = make_pool(rules, pool_start::fresh, state.m_now);
    std::vector<pool_target> const targets{{{1}, slots, false, {}}};
    set_targets(*state.m_pool, targets, state.m_now, state.m_budgets,
                state.m_out);
    for (std::uint32_t i = 0; i < slots + flows; ++i)
    {
        send(state, i % flows, names_customers);
    }
    state.m_now += milliseconds(100);
    return state;
}

/// An arrival and the start of a waiting request.
void serve_request(benchmark::State& state, bool names_customers)
{
    auto const flows = static_cast<std::uint32_t>(state.range(0));
    auto pool = make_loaded_pool(flows, names_customers);
    std::uint32_t next = 0;
    for (auto _ : state)
    {
        pool.m_now += milliseconds(2);
        send(pool, next++ % flows, names_customers);
        end_oldest(pool);
    }
    state.counters["waiting"] = static_cast<double>(queue_length(*pool.m_pool));
}

void serve_by_kind(benchmark::State& state)
{
    serve_request(state, false);
}
BENCHMARK(serve_by_kind)->Arg(10)->Arg(100)->Arg(1000);

void serve_by_customer(benchmark::State& state)
{
    serve_request(state, true);
}
BENCHMARK(serve_by_customer)->Arg(10)->Arg(100)->Arg(1000);

} // namespace
