#include "core/pool.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <optional>
#include <variant>
#include <vector>

namespace hawthornspur::core
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr kind_id claim{0};
constexpr duration usual = milliseconds(100);
constexpr duration objective = milliseconds(400);
constexpr double slow = 7;

/// A pool whose targets tell how fast they work, as neighbours on their
/// machines slow them down by a factor of seven.
struct fixture
{
    pool_ptr m_pool;
    service_budgets m_budgets;
    time_point m_now{std::chrono::hours(1)};
    pool_effects m_out;
    std::uint64_t m_next = 1;
};

fixture make_fixture(std::uint32_t targets, int slots,
                     execution_rule execution = execution_rule::at_most_once)
{
    kind_config kind;
    kind.m_execution = execution;
    kind.m_name = "claim";
    kind.m_target_latency = objective;
    kind.m_max_attempts = 2;
    kind.m_share_declared = true;
    pool_rules rules;
    rules.m_kinds = {kind};
    fixture f;
    f.m_pool = make_pool(rules, pool_start::fresh, f.m_now);
    f.m_budgets.m_probe = make_token_bucket(100, 100, f.m_now);
    f.m_budgets.m_retry.m_tokens = 10;
    std::vector<pool_target> list;
    for (std::uint32_t id = 0; id < targets; ++id)
    {
        list.push_back({{id}, slots, false, {}});
    }
    set_targets(*f.m_pool, list, f.m_now, f.m_budgets, f.m_out);
    return f;
}

request_id arrive(fixture& f, duration deadline = seconds(2),
                  bool is_spilled = false)
{
    arrival made;
    made.m_request = {f.m_next++};
    made.m_kind = claim;
    made.m_deadline = f.m_now + deadline;
    made.m_objective = f.m_now + objective;
    made.m_spilled = is_spilled;
    on_arrival(*f.m_pool, made, f.m_now, f.m_budgets, f.m_out);
    return made.m_request;
}

template <class Effect>
std::optional<Effect> find_effect(fixture const& f, request_id id)
{
    std::optional<Effect> found;
    for (auto const& effect : f.m_out)
    {
        auto const* match = std::get_if<Effect>(&effect);
        if (match != nullptr && match->m_request == id)
        {
            found = *match;
        }
    }
    return found;
}

void wait(fixture& f, duration time)
{
    f.m_now += time;
    on_timer(*f.m_pool, f.m_now, f.m_budgets, f.m_out);
}

void end(fixture& f, request_id id, double slowness)
{
    auto const dispatch = find_effect<dispatch_effect>(f, id);
    REQUIRE(dispatch);
    reported_load load;
    load.m_slots = 2;
    load.m_slowness = slowness;
    on_attempt_ended(
        *f.m_pool, {id, dispatch->m_attempt, attempt_outcome::ok, load, false},
        f.m_now, f.m_budgets, f.m_out);
}

void answer_probe(fixture& f, std::uint32_t target, double slowness)
{
    probe_answer answer;
    answer.m_target = {target};
    answer.m_healthy = true;
    answer.m_load = reported_load{0, 2, 0, slowness};
    on_probe_answer(*f.m_pool, answer, f.m_now, f.m_budgets, f.m_out);
}

/// A probe of the target was answered with this slowness.
void report(fixture& f, std::uint32_t target, double slowness)
{
    // The pool takes answers only to probes that it asked for.
    wait(f, seconds(2));
    answer_probe(f, target, slowness);
}

/// Serves a few requests so that the kind's usual time is known.
void learn_usual_time(fixture& f)
{
    for (int i = 0; i < 20; ++i)
    {
        auto const id = arrive(f);
        f.m_now += usual;
        end(f, id, 1);
    }
}

std::size_t count_probes(fixture const& f)
{
    return static_cast<std::size_t>(std::count_if(
        f.m_out.begin(), f.m_out.end(),
        [](pool_effect const& effect)
        { return std::holds_alternative<probe_effect>(effect); }));
}

} // namespace

// Load: one of two targets has a busy neighbour. Guards against a request that
// is placed there and misses its objective although another target is free.
TEST_CASE("a target that says it is slow gets no request while another is free")
{
    auto f = make_fixture(2, 2);
    learn_usual_time(f);
    report(f, 0, slow);
    report(f, 1, 1);
    report(f, 0, slow);
    auto const id = arrive(f);
    REQUIRE(find_effect<dispatch_effect>(f, id));
    CHECK(find_effect<dispatch_effect>(f, id)->m_target == target_id{1});
}

// Load: the only free slot is at a target with a busy neighbour. Guards against
// binding there at once, when a fast slot comes free in time.
TEST_CASE("a request waits for a fast slot while its objective allows it")
{
    auto f = make_fixture(1, 2);
    learn_usual_time(f);
    report(f, 0, slow);
    auto const id = arrive(f);
    CHECK(!find_effect<dispatch_effect>(f, id));
    // The neighbour's load passes and the target says so.
    wait(f, milliseconds(150));
    probe_answer answer;
    answer.m_target = {0};
    answer.m_healthy = true;
    answer.m_load = reported_load{0, 2, 0, 1.0};
    on_probe_answer(*f.m_pool, answer, f.m_now, f.m_budgets, f.m_out);
    CHECK(find_effect<dispatch_effect>(f, id));
}

// Load: all targets stay slow for long. Guards against a request that waits
// for a fast slot until nobody can serve it any more.
TEST_CASE("a late request takes a slow slot rather than none")
{
    auto f = make_fixture(1, 2);
    learn_usual_time(f);
    report(f, 0, slow);
    auto const id = arrive(f, seconds(2));
    CHECK(!find_effect<dispatch_effect>(f, id));
    wait(f, milliseconds(310));
    CHECK(find_effect<dispatch_effect>(f, id));
}

// Load: a peak filled the queue. Guards against requests that are late anyway
// making all later ones late too.
TEST_CASE("requests that can meet their objective go before late ones")
{
    auto f = make_fixture(1, 1);
    learn_usual_time(f);
    auto const running = arrive(f);
    auto const late = arrive(f);
    f.m_now += milliseconds(350);
    auto const fresh = arrive(f);
    end(f, running, 1);
    CHECK(find_effect<dispatch_effect>(f, fresh));
    CHECK(!find_effect<dispatch_effect>(f, late));
    f.m_now += usual;
    end(f, fresh, 1);
    CHECK(find_effect<dispatch_effect>(f, late));
}

// Load: more requests than slots for longer than a deadline. Guards against a
// refusal that comes when the caller has no time left to come back.
TEST_CASE("a request without a slot is refused before its deadline")
{
    auto f = make_fixture(1, 1);
    learn_usual_time(f);
    arrive(f);
    auto const waiting = arrive(f, milliseconds(500));
    wait(f, milliseconds(390));
    CHECK(!find_effect<refuse_effect>(f, waiting));
    wait(f, milliseconds(20));
    REQUIRE(find_effect<refuse_effect>(f, waiting));
    CHECK(info(find_effect<refuse_effect>(f, waiting)->m_code).m_execution ==
          execution::not_run);
}

// Guards against a refusal that blames a share which the kind does not have.
TEST_CASE("requests that wait for a fast slot are refused for their deadline")
{
    auto f = make_fixture(1, 2);
    learn_usual_time(f);
    report(f, 0, slow);
    arrive(f);
    arrive(f);
    auto const refused = arrive(f, milliseconds(110));
    REQUIRE(find_effect<refuse_effect>(f, refused));
    CHECK(find_effect<refuse_effect>(f, refused)->m_code ==
          result_code::deadline_unreachable);
}

// Load: neighbours slow a target down again and again. Guards against a limit
// that was lowered by their load and stays low when they are gone.
TEST_CASE("answers slowed by neighbours do not lower a target's limit")
{
    auto f = make_fixture(1, 2);
    learn_usual_time(f);
    for (int i = 0; i < 20; ++i)
    {
        auto const id = arrive(f);
        if (find_effect<dispatch_effect>(f, id))
        {
            f.m_now += 7 * usual;
            end(f, id, slow);
        }
        report(f, 0, 1);
    }
    auto const first = arrive(f);
    auto const second = arrive(f);
    CHECK(find_effect<dispatch_effect>(f, first));
    CHECK(find_effect<dispatch_effect>(f, second));
}

// Load: local targets are slow, another zone has free slots. Guards against
// waiting here for what the other zone does sooner.
TEST_CASE("a request goes to another zone while local targets are slow")
{
    auto f = make_fixture(1, 2);
    learn_usual_time(f);
    report(f, 0, slow);
    pool_summary other;
    other.m_zone = "b";
    other.m_free_slots = 3;
    other.m_slots = 6;
    on_summary(*f.m_pool, other, milliseconds(10), f.m_now);
    auto const id = arrive(f);
    CHECK(find_effect<spill_effect>(f, id));
}

// Guards against a request that another zone sends to targets which are slow
// themselves.
TEST_CASE("a spilled request is refused while all targets are slow")
{
    auto f = make_fixture(1, 2);
    learn_usual_time(f);
    report(f, 0, slow);
    auto const id = arrive(f, seconds(2), true);
    REQUIRE(find_effect<refuse_effect>(f, id));
    CHECK(find_effect<refuse_effect>(f, id)->m_code ==
          result_code::spill_refused);
}

// Guards against placement by old reports, and against probes that a pool
// without requests pays for.
TEST_CASE("targets are asked for their speed while requests arrive")
{
    auto f = make_fixture(2, 2);
    learn_usual_time(f);
    report(f, 0, 1);
    report(f, 1, 1);
    arrive(f);
    auto const before = count_probes(f);
    for (int i = 0; i < 8; ++i)
    {
        wait(f, milliseconds(25));
    }
    CHECK(count_probes(f) > before);
}

// Load: targets refuse part of their requests although they have free slots.
// Guards against limits and held slots that take the rest of the capacity too.
TEST_CASE("refusals with free slots do not shrink a target")
{
    auto f = make_fixture(1, 2);
    learn_usual_time(f);
    reported_load const free_slots{0, 2, 0, 1.0};
    for (int i = 0; i < 3; ++i)
    {
        auto const id = arrive(f);
        REQUIRE(find_effect<dispatch_effect>(f, id));
        on_attempt_ended(*f.m_pool,
                         {id, 1, attempt_outcome::shed, free_slots, false},
                         f.m_now, f.m_budgets, f.m_out);
    }
    auto const first = arrive(f);
    auto const second = arrive(f);
    CHECK(find_effect<dispatch_effect>(f, first));
    CHECK(find_effect<dispatch_effect>(f, second));
}

// Load: one target refuses everything at once and so always has a free slot.
// Guards against a target that attracts the requests which it refuses.
TEST_CASE("a target that refuses is chosen after one that serves")
{
    auto f = make_fixture(2, 2);
    learn_usual_time(f);
    reported_load const free_slots{0, 2, 0, 1.0};
    auto const id = arrive(f);
    auto const refusing = find_effect<dispatch_effect>(f, id)->m_target;
    for (int i = 0; i < 3; ++i)
    {
        auto const next = arrive(f);
        auto const dispatch = find_effect<dispatch_effect>(f, next);
        REQUIRE(dispatch);
        bool const is_refused = dispatch->m_target == refusing;
        on_attempt_ended(
            *f.m_pool,
            {next, 1, is_refused ? attempt_outcome::shed : attempt_outcome::ok,
             free_slots, false},
            f.m_now, f.m_budgets, f.m_out);
    }
    on_attempt_ended(*f.m_pool,
                     {id, 1, attempt_outcome::shed, free_slots, false}, f.m_now,
                     f.m_budgets, f.m_out);
    auto const last = arrive(f);
    REQUIRE(find_effect<dispatch_effect>(f, last));
    CHECK(find_effect<dispatch_effect>(f, last)->m_target != refusing);
}

// Guards against a process that ends when a request was classified under a
// document with more kinds than that of a pool which was created since.
TEST_CASE("a request of a kind that the pool does not know is refused")
{
    auto f = make_fixture(1, 2);
    arrival late;
    late.m_request = {f.m_next++};
    late.m_kind = {7};
    late.m_deadline = f.m_now + seconds(2);
    on_arrival(*f.m_pool, late, f.m_now, f.m_budgets, f.m_out);
    REQUIRE(find_effect<refuse_effect>(f, late.m_request));
    CHECK(info(find_effect<refuse_effect>(f, late.m_request)->m_code)
              .m_execution == execution::not_run);
    late.m_request = {f.m_next++};
    on_spill_refused(*f.m_pool, late, f.m_now, f.m_budgets, f.m_out);
    CHECK(find_effect<refuse_effect>(f, late.m_request));
}

// Guards against a Retry-After beyond what callers can follow.
TEST_CASE("the time to come back grows with the queue within bounds")
{
    auto f = make_fixture(1, 1);
    learn_usual_time(f);
    auto const idle = retry_after_delay(*f.m_pool, claim, f.m_now);
    for (int i = 0; i < 5; ++i)
    {
        arrive(f);
    }
    auto const busy = retry_after_delay(*f.m_pool, claim, f.m_now);
    CHECK(idle < busy);
    CHECK(busy <= seconds(2));
}

// Load: neighbours keep all targets slow while requests go on arriving. Guards
// against late requests that wait behind those in time, which do not want the
// slow slots, until they are refused.
TEST_CASE("late requests take slow slots while others wait for a fast one")
{
    auto f = make_fixture(1, 2);
    learn_usual_time(f);
    report(f, 0, slow);
    auto const late = arrive(f);
    f.m_now += milliseconds(290);
    auto const in_time = arrive(f);
    CHECK(!find_effect<dispatch_effect>(f, late));
    wait(f, milliseconds(20));
    CHECK(find_effect<dispatch_effect>(f, late));
    CHECK(!find_effect<dispatch_effect>(f, in_time));
}

// Load: all targets of a service are replaced at a peak. Guards against new
// ones that take one request each until they have proved every slot.
TEST_CASE("targets that replace others take work for all their slots")
{
    auto f = make_fixture(2, 3);
    learn_usual_time(f);
    std::vector<pool_target> const list{{{10}, 3, false, {}},
                                        {{11}, 3, false, {}}};
    set_targets(*f.m_pool, {}, f.m_now, f.m_budgets, f.m_out);
    set_targets(*f.m_pool, list, f.m_now, f.m_budgets, f.m_out);
    for (int i = 0; i < 6; ++i)
    {
        CHECK(find_effect<dispatch_effect>(f, arrive(f)));
    }
}

// Load: a peak while three of four targets are slow. Guards against requests
// that are admitted for slots which take seven times as long.
TEST_CASE("slots of slow targets count for the work that they do")
{
    auto f = make_fixture(4, 1);
    learn_usual_time(f);
    wait(f, seconds(2));
    for (std::uint32_t target = 0; target < 3; ++target)
    {
        answer_probe(f, target, slow);
    }
    answer_probe(f, 3, 1);
    for (int i = 0; i < 4; ++i)
    {
        arrive(f);
    }
    auto const hopeless = arrive(f, milliseconds(250));
    REQUIRE(find_effect<refuse_effect>(f, hopeless));
    CHECK(find_effect<refuse_effect>(f, hopeless)->m_code ==
          result_code::deadline_unreachable);
    CHECK(find_effect<dispatch_effect>(f, hopeless) == std::nullopt);
}

// Load: a neighbour makes a target seven times slower while it works on a
// request. Guards against a request that may be repeated and misses its
// objective there although a fast target is free.
TEST_CASE("a request whose target turns slow gets a second attempt")
{
    for (auto const execution :
         {execution_rule::idempotent, execution_rule::at_most_once})
    {
        auto f = make_fixture(2, 2, execution);
        learn_usual_time(f);
        wait(f, milliseconds(200));
        answer_probe(f, 0, 1);
        answer_probe(f, 1, 1);
        auto const id = arrive(f);
        auto const first = find_effect<dispatch_effect>(f, id);
        REQUIRE(first);
        wait(f, milliseconds(160));
        answer_probe(f, first->m_target.m_value, slow);
        answer_probe(f, 1 - first->m_target.m_value, 1);
        wait(f, milliseconds(60));
        auto const last = find_effect<dispatch_effect>(f, id);
        bool const is_repeated = last->m_attempt == 2;
        CHECK(is_repeated == (execution == execution_rule::idempotent));
        CHECK((last->m_target == first->m_target) != is_repeated);
    }
}

// Guards against second attempts that cannot meet the objective any more.
TEST_CASE("a request that is late gets no second attempt for a slow target")
{
    auto f = make_fixture(2, 2, execution_rule::idempotent);
    learn_usual_time(f);
    wait(f, milliseconds(200));
    answer_probe(f, 0, 1);
    answer_probe(f, 1, 1);
    auto const id = arrive(f);
    auto const first = find_effect<dispatch_effect>(f, id);
    REQUIRE(first);
    wait(f, milliseconds(310));
    answer_probe(f, first->m_target.m_value, slow);
    wait(f, milliseconds(60));
    CHECK(find_effect<dispatch_effect>(f, id)->m_attempt == 1);
}

namespace
{

/// Newer rules that list an idempotent kind before the claim.
pool_rules reordered_rules()
{
    kind_config look;
    look.m_name = "look";
    look.m_execution = execution_rule::idempotent;
    look.m_target_latency = objective;
    look.m_max_attempts = 2;
    look.m_priority = 5;
    kind_config last;
    last.m_name = "claim";
    last.m_target_latency = objective;
    last.m_max_attempts = 2;
    last.m_execution = execution_rule::at_most_once;
    pool_rules rules;
    rules.m_kinds = {look, last};
    return rules;
}

} // namespace

// Guards against a claim that runs twice since a newer document lists another
// kind at its place while it waits.
TEST_CASE(
    "a request keeps its kind when newer rules list kinds in another order")
{
    auto f = make_fixture(2, 1);
    learn_usual_time(f);
    auto const first = arrive(f);
    auto const second = arrive(f);
    auto const waiting = arrive(f);
    set_rules(*f.m_pool, reordered_rules());
    CHECK(find_kind(*f.m_pool, "claim") == kind_id{1});
    // A claim that comes later waits behind it, since both are claims.
    arrival later;
    later.m_request = {f.m_next++};
    later.m_kind = kind_id{1};
    later.m_deadline = f.m_now + seconds(2);
    later.m_objective = f.m_now + objective;
    on_arrival(*f.m_pool, later, f.m_now, f.m_budgets, f.m_out);
    end(f, first, 1);
    REQUIRE(find_effect<dispatch_effect>(f, waiting));
    CHECK(!find_effect<dispatch_effect>(f, later.m_request));
    static_cast<void>(
        on_cancel(*f.m_pool, later.m_request, f.m_now, f.m_budgets, f.m_out));
    for (auto const id : {second, waiting})
    {
        on_attempt_ended(*f.m_pool, {id, 1, attempt_outcome::closed, {}, false},
                         f.m_now, f.m_budgets, f.m_out);
        wait(f, milliseconds(50));
        REQUIRE(find_effect<refuse_effect>(f, id));
        CHECK(find_effect<dispatch_effect>(f, id)->m_attempt == 1);
    }
    CHECK(queue_length(*f.m_pool) == 0);
}

// Guards against a claim that another zone refused under newer rules, in which
// its place belongs to a kind that may run twice.
TEST_CASE("a request that may run once gets one attempt whatever its kind says")
{
    auto f = make_fixture(2, 2);
    learn_usual_time(f);
    set_rules(*f.m_pool, reordered_rules());
    wait(f, milliseconds(200));
    answer_probe(f, 0, 1);
    answer_probe(f, 1, 1);
    arrival returned;
    returned.m_request = {f.m_next++};
    returned.m_kind = claim;
    returned.m_deadline = f.m_now + seconds(2);
    returned.m_objective = f.m_now + objective;
    returned.m_spill_refusals = 1;
    returned.m_may_repeat = false;
    on_spill_refused(*f.m_pool, returned, f.m_now, f.m_budgets, f.m_out);
    auto const id = returned.m_request;
    REQUIRE(find_effect<dispatch_effect>(f, id));
    on_attempt_ended(*f.m_pool, {id, 1, attempt_outcome::closed, {}, false},
                     f.m_now, f.m_budgets, f.m_out);
    wait(f, milliseconds(200));
    REQUIRE(find_effect<refuse_effect>(f, id));
    CHECK(find_effect<dispatch_effect>(f, id)->m_attempt == 1);
}

} // namespace hawthornspur::core
