#include "core/configuration_proof.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <array>
#include <functional>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace hawthornspur::core
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr auto bound = seconds(5);
constexpr auto start = time_point(std::chrono::hours(1));
constexpr auto tick = milliseconds(10);

struct simulated_host
{
    configuration_proof m_proof;
    proof_schedule m_schedule;
    std::uint64_t m_generation = 1;
    time_point m_frozen_until{};
    std::vector<std::string> m_peers;
    bool m_confirms_for_zone = true;
    int m_store_questions = 0;
};

/// Hosts, a store and messages between them in virtual time.
struct simulation
{
    struct event
    {
        time_point m_time;
        std::size_t m_host = 0;
        std::function<void()> m_action;
    };
    std::mt19937_64 m_random;
    time_point m_now = start;
    std::uint64_t m_stored_generation = 1;
    std::vector<simulated_host> m_hosts;
    std::vector<event> m_events;
    /// Whether a message between a host and the store, or between two hosts, is
    /// lost, and its delay.
    std::function<bool(std::size_t)> m_is_store_silent;
    std::function<bool()> m_is_lost;
    std::function<duration()> m_delay;
};

void send(simulation& state, std::size_t receiver, std::function<void()> action)
{
    if (!state.m_is_lost())
    {
        state.m_events.push_back(
            {state.m_now + state.m_delay(), receiver, std::move(action)});
    }
}

/// Index of no host: the store, which is never frozen.
constexpr std::size_t store = 99;

void ask_store(simulation& state, std::size_t host)
{
    ++state.m_hosts[host].m_store_questions;
    if (state.m_is_store_silent(host))
    {
        return;
    }
    send(state, store,
         [&state, host, asked = state.m_now]
         {
             send(state, host,
                  [&state, host, asked, stored = state.m_stored_generation]
                  {
                      auto& self = state.m_hosts[host];
                      self.m_generation = std::max(self.m_generation, stored);
                      record_store_confirmation(self.m_proof, asked,
                                                self.m_generation);
                  });
         });
}

void ask_peer(simulation& state, std::size_t host, proof_step const& step)
{
    auto const peer = std::stoul(step.m_peer);
    send(state, peer,
         [&state, host, peer, number = step.m_question]
         {
             auto& other = state.m_hosts[peer];
             record_proof_demand(other.m_schedule, state.m_now);
             auto const age = proof_age(other.m_proof, state.m_now);
             if (!age)
             {
                 return;
             }
             send(state, host,
                  [&state, host, number, age = *age,
                   generation = other.m_proof.m_generation]
                  {
                      auto& self = state.m_hosts[host];
                      if (auto const asked =
                              take_question(self.m_schedule, number))
                      {
                          record_peer_confirmation(self.m_proof, *asked, age,
                                                   generation);
                      }
                  });
         });
}

void deliver(simulation& state)
{
    auto events = std::exchange(state.m_events, {});
    for (auto& event : events)
    {
        bool const is_frozen =
            event.m_host != store &&
            state.m_hosts[event.m_host].m_frozen_until > state.m_now;
        if (event.m_time > state.m_now || is_frozen)
        {
            state.m_events.push_back(std::move(event));
        }
        else
        {
            event.m_action();
        }
    }
}

/// Advances by one tick. Each host that is not frozen checks a request and
/// calls `on_check` with its index and whether the request was let through.
void run_tick(simulation& state,
              std::function<void(std::size_t, bool)> const& on_check)
{
    state.m_now += tick;
    deliver(state);
    for (std::size_t i = 0; i < state.m_hosts.size(); ++i)
    {
        auto& host = state.m_hosts[i];
        if (host.m_frozen_until > state.m_now)
        {
            continue;
        }
        on_check(i,
                 is_fresh(host.m_proof, host.m_generation, state.m_now, bound));
        auto const step =
            next_proof_step(host.m_schedule, host.m_proof,
                            {host.m_generation, state.m_now, bound,
                             host.m_confirms_for_zone, host.m_peers});
        if (step.m_asks_store)
        {
            ask_store(state, i);
        }
        if (!step.m_peer.empty())
        {
            ask_peer(state, i, step);
        }
    }
}

/// Hosts 0 and 1 confirm for their zones; host 2 is in the zone of host 0.
simulation make_simulation(std::uint64_t seed = 1)
{
    simulation state;
    state.m_random.seed(seed);
    state.m_hosts.resize(3);
    state.m_hosts[0].m_peers = {"1"};
    state.m_hosts[1].m_peers = {"0"};
    state.m_hosts[2].m_peers = {"0", "1"};
    state.m_hosts[2].m_confirms_for_zone = false;
    state.m_is_store_silent = [](std::size_t)
    {
        return false;
    };
    state.m_is_lost = []
    {
        return false;
    };
    state.m_delay = []
    {
        return milliseconds(5);
    };
    return state;
}

bool chance(simulation& state, double probability)
{
    return std::bernoulli_distribution(probability)(state.m_random);
}

} // namespace

// Guards against a key that is used after the bound because an answer was
// delayed, a host was frozen or a confirmation passed through several hosts.
TEST_CASE("no request sent later than the bound after a withdrawal passes")
{
    int late_refusals = 0;
    int passes = 0;
    CHECK(rc::check(
        [&](std::uint64_t seed)
        {
            auto state = make_simulation(seed);
            std::array<double, 3> silence{};
            for (auto& share : silence)
            {
                share = chance(state, 0.5) ? 1 : 0.3;
            }
            auto const loss = chance(state, 0.5) ? 0.5 : 0.05;
            std::exponential_distribution<double> delay(
                chance(state, 0.5) ? 1 : 50);
            auto const withdrawn_at =
                start + milliseconds(std::uniform_int_distribution(8000, 9000)(
                            state.m_random));
            // A confirmation shortly before the withdrawal is used longest.
            auto const silent_from =
                withdrawn_at + milliseconds(std::uniform_int_distribution(
                                   -1000, 200)(state.m_random));
            state.m_is_store_silent = [&](std::size_t host)
            {
                return state.m_now > silent_from &&
                       chance(state, silence.at(host));
            };
            state.m_is_lost = [&]
            {
                return chance(state, loss);
            };
            state.m_delay = [&]
            {
                return std::chrono::duration_cast<duration>(
                    std::chrono::duration<double>(delay(state.m_random)));
            };
            while (state.m_now < start + seconds(20))
            {
                state.m_stored_generation = state.m_now >= withdrawn_at ? 2 : 1;
                for (auto& host : state.m_hosts)
                {
                    record_proof_demand(host.m_schedule, state.m_now);
                    if (chance(state, 0.001))
                    {
                        host.m_frozen_until =
                            state.m_now +
                            milliseconds(std::uniform_int_distribution(1, 7000)(
                                state.m_random));
                    }
                }
                run_tick(state,
                         [&](std::size_t i, bool is_let_through)
                         {
                             bool const has_key =
                                 state.m_hosts[i].m_generation == 1;
                             bool const is_late =
                                 state.m_now > withdrawn_at + bound;
                             RC_ASSERT(!has_key || !is_late || !is_let_through);
                             late_refusals += has_key && is_late ? 1 : 0;
                             passes += is_let_through ? 1 : 0;
                         });
            }
        }));
    CHECK(late_refusals > 1000);
    CHECK(passes > 1000);
}

// Guards against a host that refuses requests although the store answers it or
// another host that it reaches, and against hosts that all poll the store.
TEST_CASE("a host with any path to the store keeps its proof")
{
    auto state = make_simulation();
    std::array<bool, 3> is_silent{};
    int allowed_questions_of_standby = 0;
    SUBCASE("the store answers all") {}
    SUBCASE("the store is silent to the owner")
    {
        is_silent[0] = true;
    }
    SUBCASE("the store answers only a host that owns nothing")
    {
        is_silent[0] = is_silent[1] = true;
        allowed_questions_of_standby = 45;
    }
    state.m_is_store_silent = [&](std::size_t host)
    {
        return is_silent.at(host);
    };
    int refused = 0;
    while (state.m_now < start + seconds(40))
    {
        record_proof_demand(state.m_hosts[2].m_schedule, state.m_now);
        if (is_silent[0])
        {
            record_proof_demand(state.m_hosts[0].m_schedule, state.m_now);
        }
        run_tick(state,
                 [&](std::size_t i, bool is_let_through)
                 {
                     bool const is_settled = state.m_now > start + seconds(1);
                     bool const has_path =
                         i == 2 || !is_silent.at(i) || !is_silent[1];
                     refused +=
                         is_settled && has_path && !is_let_through ? 1 : 0;
                 });
    }
    CHECK(refused == 0);
    CHECK(state.m_hosts[2].m_store_questions <= allowed_questions_of_standby);
    if (!is_silent[0])
    {
        CHECK(state.m_hosts[0].m_store_questions <= 42);
    }
}

// Guards against hosts without requests that ask for confirmations all the
// time, which costs the more the more hosts there are.
TEST_CASE("a host without requests asks nobody")
{
    auto state = make_simulation();
    while (state.m_now < start + seconds(10))
    {
        run_tick(state, [](std::size_t, bool) {});
    }
    CHECK(state.m_hosts[2].m_schedule.m_last_number == 0);
    CHECK(state.m_hosts[2].m_store_questions == 0);
}

// Guards against an older confirmation that replaces a newer one, and against
// keys of an older document than the confirmed one.
TEST_CASE("the newest confirmation counts, for its generation")
{
    configuration_proof proof;
    CHECK(!is_fresh(proof, 9, start, bound));
    CHECK(record_store_confirmation(proof, start, 7));
    CHECK(is_fresh(proof, 7, start + milliseconds(4749), bound));
    CHECK(!is_fresh(proof, 7, start + milliseconds(4750), bound));
    CHECK(!is_fresh(proof, 6, start, bound));
    CHECK(!record_peer_confirmation(proof, start + seconds(1), seconds(2), 8));
    CHECK(proof.m_generation == 7);
    CHECK(record_peer_confirmation(proof, start + seconds(3), seconds(2), 6));
    CHECK(proof_age(proof, start + seconds(4)) == seconds(3));
    CHECK(proof.m_generation == 7);
}

// Guards against a late reply that is matched with a later question.
TEST_CASE("each question is answered at most once")
{
    proof_schedule schedule;
    record_proof_demand(schedule, start);
    std::vector<std::string> const peers{"a"};
    proof_inputs const inputs{1, start, bound, true, peers};
    auto const step = next_proof_step(schedule, {}, inputs);
    CHECK(step.m_asks_store);
    CHECK(step.m_peer == "a");
    CHECK(!take_question(schedule, step.m_question + 1));
    CHECK(take_question(schedule, step.m_question) == start);
    CHECK(!take_question(schedule, step.m_question));
}

} // namespace hawthornspur::core
