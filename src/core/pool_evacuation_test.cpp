// Replays evacuations of the zone of a pool in virtual time.

#include "core/pool.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <variant>
#include <vector>

namespace hawthornspur::core
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr time_point start{std::chrono::hours(1)};

struct replay
{
    pool_ptr m_pool;
    service_budgets m_budgets;
    pool_effects m_effects;
};

void set_evacuated(replay& state, bool is_evacuated)
{
    pool_target target{{1}, 2, is_evacuated};
    target.m_is_evacuated = is_evacuated;
    state.m_effects.clear();
    set_targets(*state.m_pool, std::vector{target}, start, state.m_budgets,
                state.m_effects);
}

/// A pool with one target of two slots.
replay make_replay()
{
    kind_config kind;
    kind.m_name = "look-up";
    kind.m_execution = execution_rule::idempotent;
    pool_rules rules;
    rules.m_kinds = {kind};
    replay state;
    state.m_pool = make_pool(rules, pool_start::fresh, start);
    set_evacuated(state, false);
    return state;
}

void arrive(replay& state, std::uint64_t id)
{
    on_arrival(
        *state.m_pool,
        {.m_request = {id}, .m_kind = {0}, .m_deadline = start + seconds(5)},
        start, state.m_budgets, state.m_effects);
}

void offer_slots(replay& state, int slots)
{
    on_summary(*state.m_pool, {"b", slots, 10, 0, duration(0)}, milliseconds(8),
               start);
}

template <class Effect>
std::size_t count_effects(replay const& state)
{
    return static_cast<std::size_t>(std::count_if(
        state.m_effects.begin(), state.m_effects.end(),
        [](auto const& e) { return std::holds_alternative<Effect>(e); }));
}

bool are_refused_as_unavailable(replay const& state)
{
    return std::all_of(state.m_effects.begin(), state.m_effects.end(),
                       [](auto const& e)
                       {
                           auto const* refused = std::get_if<refuse_effect>(&e);
                           return refused == nullptr ||
                                  refused->m_code ==
                                      result_code::no_target_available;
                       });
}

} // namespace

// Guards against requests that wait in the pool of an evacuated zone until
// their deadline although no target will take them, also while others run.
TEST_CASE("waiting requests leave the pool of an evacuated zone at once")
{
    auto state = make_replay();
    for (std::uint64_t id = 1; id <= 6; ++id)
    {
        arrive(state, id);
    }
    REQUIRE(queue_length(*state.m_pool) == 4);
    SUBCASE("no zone has a free slot")
    {
        set_evacuated(state, true);
        CHECK(count_effects<refuse_effect>(state) == 4);
    }
    SUBCASE("another zone has two free slots")
    {
        offer_slots(state, 2);
        set_evacuated(state, true);
        CHECK(count_effects<spill_effect>(state) == 2);
        CHECK(count_effects<refuse_effect>(state) == 2);
    }
    CHECK(are_refused_as_unavailable(state));
    CHECK(queue_length(*state.m_pool) == 0);
    CHECK(in_flight(*state.m_pool) == 2);
    CHECK(count_effects<cancel_attempt_effect>(state) == 0);
}

// Guards against requests that are sent to a target of an evacuated zone, or
// kept from it when the zone is taken back.
TEST_CASE("a pool sends nothing while its zone is evacuated")
{
    auto state = make_replay();
    set_evacuated(state, true);
    arrive(state, 1);
    CHECK(count_effects<dispatch_effect>(state) == 0);
    CHECK(count_effects<refuse_effect>(state) == 1);
    CHECK(are_refused_as_unavailable(state));
    set_evacuated(state, false);
    arrive(state, 2);
    CHECK(count_effects<dispatch_effect>(state) == 1);
}

// Guards against a pool that refuses its waiting requests when all its targets
// drain at the same time, as in a replacement: new ones may register in time.
TEST_CASE("requests wait if the targets leave without an evacuation")
{
    auto state = make_replay();
    for (std::uint64_t id = 1; id <= 4; ++id)
    {
        arrive(state, id);
    }
    state.m_effects.clear();
    set_targets(*state.m_pool, std::vector{pool_target{{1}, 2, true}}, start,
                state.m_budgets, state.m_effects);
    CHECK(queue_length(*state.m_pool) == 2);
}

} // namespace hawthornspur::core
