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
constexpr duration usual_time = milliseconds(100);
constexpr duration objective = milliseconds(400);
constexpr double slowdown_factor = 7;

/// A pool whose targets report their slowness. Other workloads on their
/// machines slow them down by a factor of seven.
struct pool_fixture
{
    pool_ptr m_pool;
    service_budgets m_budgets;
    time_point m_now{std::chrono::hours(1)};
    pool_effects m_out;
    std::uint64_t m_next_request = 1;
};

pool_fixture
make_fixture(std::uint32_t targets, int slots,
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
    pool_fixture fixture;
    fixture.m_pool = make_pool(rules, pool_start::fresh, fixture.m_now);
    fixture.m_budgets.m_probe = make_token_bucket(100, 100, fixture.m_now);
    fixture.m_budgets.m_repeat.m_spare = {0, 10, 10, fixture.m_now};
    std::vector<pool_target> list;
    for (std::uint32_t id = 0; id < targets; ++id)
    {
        list.push_back({{id}, slots, false, {}});
    }
    set_targets(*fixture.m_pool, list, fixture.m_now, fixture.m_budgets,
                fixture.m_out);
    return fixture;
}

request_id arrive(pool_fixture& fixture, duration deadline = seconds(2),
                  bool is_spilled = false)
{
    arrival request;
    request.m_request = {fixture.m_next_request++};
    request.m_kind = claim;
    request.m_deadline = fixture.m_now + deadline;
    request.m_objective = fixture.m_now + objective;
    request.m_spilled = is_spilled;
    on_arrival(*fixture.m_pool, request, fixture.m_now, fixture.m_budgets,
               fixture.m_out);
    return request.m_request;
}

template <class Effect>
std::optional<Effect> find_effect(pool_fixture const& fixture, request_id id)
{
    std::optional<Effect> found;
    for (auto const& effect : fixture.m_out)
    {
        auto const* match = std::get_if<Effect>(&effect);
        if (match != nullptr && match->m_request == id)
        {
            found = *match;
        }
    }
    return found;
}

void advance_time(pool_fixture& fixture, duration time)
{
    fixture.m_now += time;
    on_timer(*fixture.m_pool, fixture.m_now, fixture.m_budgets, fixture.m_out);
}

void end_attempt(pool_fixture& fixture, request_id id, double slowness)
{
    auto const dispatch = find_effect<dispatch_effect>(fixture, id);
    REQUIRE(dispatch);
    reported_load load;
    load.m_slots = 2;
    load.m_slowness = slowness;
    on_attempt_ended(
        *fixture.m_pool,
        {id, dispatch->m_attempt, attempt_outcome::ok, load, false},
        fixture.m_now, fixture.m_budgets, fixture.m_out);
}

void answer_probe(pool_fixture& fixture, std::uint32_t target, double slowness)
{
    probe_answer answer;
    answer.m_target = {target};
    answer.m_healthy = true;
    answer.m_load = reported_load{0, 2, 0, slowness};
    on_probe_answer(*fixture.m_pool, answer, fixture.m_now, fixture.m_budgets,
                    fixture.m_out);
}

/// Waits for a probe of the target and answers it with this slowness.
void report_slowness(pool_fixture& fixture, std::uint32_t target,
                     double slowness)
{
    // The pool ignores answers to probes that it did not request.
    advance_time(fixture, seconds(2));
    answer_probe(fixture, target, slowness);
}

/// Serves requests from which the pool estimates the usual time of the kind.
void observe_usual_time(pool_fixture& fixture)
{
    for (int i = 0; i < 20; ++i)
    {
        auto const id = arrive(fixture);
        fixture.m_now += usual_time;
        end_attempt(fixture, id, 1);
    }
}

std::size_t count_probes(pool_fixture const& fixture)
{
    return static_cast<std::size_t>(std::count_if(
        fixture.m_out.begin(), fixture.m_out.end(),
        [](pool_effect const& effect)
        { return std::holds_alternative<probe_effect>(effect); }));
}

} // namespace

// Another workload slows down one of two targets. Guards against a request that
// is sent there and misses its objective although the other target is free.
TEST_CASE(
    "a target that reports slowness gets no request while another is free")
{
    auto fixture = make_fixture(2, 2);
    observe_usual_time(fixture);
    report_slowness(fixture, 0, slowdown_factor);
    report_slowness(fixture, 1, 1);
    report_slowness(fixture, 0, slowdown_factor);
    auto const id = arrive(fixture);
    REQUIRE(find_effect<dispatch_effect>(fixture, id));
    CHECK(find_effect<dispatch_effect>(fixture, id)->m_target == target_id{1});
}

// The only free slots are at a slow target. Guards against dispatching the
// request there at once although a fast slot becomes free in time.
TEST_CASE("a request waits for a fast slot while its objective allows it")
{
    auto fixture = make_fixture(1, 2);
    observe_usual_time(fixture);
    report_slowness(fixture, 0, slowdown_factor);
    auto const id = arrive(fixture);
    CHECK(!find_effect<dispatch_effect>(fixture, id));
    // The other workload ends and the target reports its usual speed.
    advance_time(fixture, milliseconds(150));
    probe_answer answer;
    answer.m_target = {0};
    answer.m_healthy = true;
    answer.m_load = reported_load{0, 2, 0, 1.0};
    on_probe_answer(*fixture.m_pool, answer, fixture.m_now, fixture.m_budgets,
                    fixture.m_out);
    CHECK(find_effect<dispatch_effect>(fixture, id));
}

// All targets stay slow. Guards against a request that waits for a fast slot
// until it can no longer finish before its deadline.
TEST_CASE("a late request takes a slow slot instead of waiting")
{
    auto fixture = make_fixture(1, 2);
    observe_usual_time(fixture);
    report_slowness(fixture, 0, slowdown_factor);
    auto const id = arrive(fixture, seconds(2));
    CHECK(!find_effect<dispatch_effect>(fixture, id));
    advance_time(fixture, milliseconds(310));
    CHECK(find_effect<dispatch_effect>(fixture, id));
}

// A load peak filled the queue. Guards against late requests that make all
// later ones late as well.
TEST_CASE(
    "requests that can meet their objective are dispatched before late ones")
{
    auto fixture = make_fixture(1, 1);
    observe_usual_time(fixture);
    auto const running = arrive(fixture);
    auto const late = arrive(fixture);
    fixture.m_now += milliseconds(350);
    auto const fresh = arrive(fixture);
    end_attempt(fixture, running, 1);
    CHECK(find_effect<dispatch_effect>(fixture, fresh));
    CHECK(!find_effect<dispatch_effect>(fixture, late));
    fixture.m_now += usual_time;
    end_attempt(fixture, fresh, 1);
    CHECK(find_effect<dispatch_effect>(fixture, late));
}

// All slots stay taken for longer than the deadline. Guards against a refusal
// that leaves the caller no time for a retry.
TEST_CASE("a request without a slot is refused before its deadline")
{
    auto fixture = make_fixture(1, 1);
    observe_usual_time(fixture);
    arrive(fixture);
    auto const waiting = arrive(fixture, milliseconds(500));
    advance_time(fixture, milliseconds(390));
    CHECK(!find_effect<refuse_effect>(fixture, waiting));
    advance_time(fixture, milliseconds(20));
    REQUIRE(find_effect<refuse_effect>(fixture, waiting));
    CHECK(info(find_effect<refuse_effect>(fixture, waiting)->m_code)
              .m_execution == execution::not_run);
}

// Guards against a refusal with kind_share_full, which would be wrong for a
// kind without a share, when requests wait for a fast slot.
TEST_CASE("a refusal while slow slots are free reports an unreachable deadline")
{
    auto fixture = make_fixture(1, 2);
    observe_usual_time(fixture);
    report_slowness(fixture, 0, slowdown_factor);
    arrive(fixture);
    arrive(fixture);
    auto const refused = arrive(fixture, milliseconds(110));
    REQUIRE(find_effect<refuse_effect>(fixture, refused));
    CHECK(find_effect<refuse_effect>(fixture, refused)->m_code ==
          result_code::deadline_unreachable);
}

// Other workloads slow a target down repeatedly. Guards against a limit that is
// lowered because of them and stays low after they have ended.
TEST_CASE("answers slowed by other workloads do not lower a target's limit")
{
    auto fixture = make_fixture(1, 2);
    observe_usual_time(fixture);
    for (int i = 0; i < 20; ++i)
    {
        auto const id = arrive(fixture);
        if (find_effect<dispatch_effect>(fixture, id))
        {
            fixture.m_now += 7 * usual_time;
            end_attempt(fixture, id, slowdown_factor);
        }
        report_slowness(fixture, 0, 1);
    }
    auto const first = arrive(fixture);
    auto const second = arrive(fixture);
    CHECK(find_effect<dispatch_effect>(fixture, first));
    CHECK(find_effect<dispatch_effect>(fixture, second));
}

// The local targets are slow and another zone has free slots. Guards against
// waiting locally although the other zone would finish the request sooner.
TEST_CASE("a request is spilled while local targets are slow")
{
    auto fixture = make_fixture(1, 2);
    observe_usual_time(fixture);
    report_slowness(fixture, 0, slowdown_factor);
    pool_summary other;
    other.m_zone = "b";
    other.m_free_slots = 3;
    other.m_slots = 6;
    on_summary(*fixture.m_pool, other, milliseconds(10), fixture.m_now);
    auto const id = arrive(fixture);
    CHECK(find_effect<spill_effect>(fixture, id));
}

// Guards against accepting a spilled request that only slow targets can serve.
TEST_CASE("a spilled request is refused while all targets are slow")
{
    auto fixture = make_fixture(1, 2);
    observe_usual_time(fixture);
    report_slowness(fixture, 0, slowdown_factor);
    auto const id = arrive(fixture, seconds(2), true);
    REQUIRE(find_effect<refuse_effect>(fixture, id));
    CHECK(find_effect<refuse_effect>(fixture, id)->m_code ==
          result_code::spill_refused);
}

// Guards against target selection by outdated reports.
TEST_CASE("targets are probed for their slowness while requests arrive")
{
    auto fixture = make_fixture(2, 2);
    observe_usual_time(fixture);
    report_slowness(fixture, 0, 1);
    report_slowness(fixture, 1, 1);
    arrive(fixture);
    auto const before = count_probes(fixture);
    for (int i = 0; i < 8; ++i)
    {
        advance_time(fixture, milliseconds(25));
    }
    CHECK(count_probes(fixture) > before);
}

// Targets refuse some requests although they have free slots. Guards against
// lowered limits and held slots that reduce the remaining capacity.
TEST_CASE("refusals with free slots do not reduce the capacity of a target")
{
    auto fixture = make_fixture(1, 2);
    observe_usual_time(fixture);
    reported_load const free_slots{0, 2, 0, 1.0};
    for (int i = 0; i < 3; ++i)
    {
        auto const id = arrive(fixture);
        REQUIRE(find_effect<dispatch_effect>(fixture, id));
        on_attempt_ended(*fixture.m_pool,
                         {id, 1, attempt_outcome::shed, free_slots, false},
                         fixture.m_now, fixture.m_budgets, fixture.m_out);
    }
    auto const first = arrive(fixture);
    auto const second = arrive(fixture);
    CHECK(find_effect<dispatch_effect>(fixture, first));
    CHECK(find_effect<dispatch_effect>(fixture, second));
}

// One target refuses all requests immediately and thus always has a free slot.
// Guards against a target that attracts requests by refusing them.
TEST_CASE(
    "a target that refuses requests is selected after one that serves them")
{
    auto fixture = make_fixture(2, 2);
    observe_usual_time(fixture);
    reported_load const free_slots{0, 2, 0, 1.0};
    auto const id = arrive(fixture);
    auto const refusing = find_effect<dispatch_effect>(fixture, id)->m_target;
    for (int i = 0; i < 3; ++i)
    {
        auto const next = arrive(fixture);
        auto const dispatch = find_effect<dispatch_effect>(fixture, next);
        REQUIRE(dispatch);
        bool const is_refused = dispatch->m_target == refusing;
        on_attempt_ended(
            *fixture.m_pool,
            {next, 1, is_refused ? attempt_outcome::shed : attempt_outcome::ok,
             free_slots, false},
            fixture.m_now, fixture.m_budgets, fixture.m_out);
    }
    on_attempt_ended(*fixture.m_pool,
                     {id, 1, attempt_outcome::shed, free_slots, false},
                     fixture.m_now, fixture.m_budgets, fixture.m_out);
    auto const last = arrive(fixture);
    REQUIRE(find_effect<dispatch_effect>(fixture, last));
    CHECK(find_effect<dispatch_effect>(fixture, last)->m_target != refusing);
}

// Guards against a crash when a request was classified under a configuration
// with more kinds than that of the pool.
TEST_CASE("a request of an unknown kind is refused")
{
    auto fixture = make_fixture(1, 2);
    arrival late;
    late.m_request = {fixture.m_next_request++};
    late.m_kind = {7};
    late.m_deadline = fixture.m_now + seconds(2);
    on_arrival(*fixture.m_pool, late, fixture.m_now, fixture.m_budgets,
               fixture.m_out);
    REQUIRE(find_effect<refuse_effect>(fixture, late.m_request));
    CHECK(info(find_effect<refuse_effect>(fixture, late.m_request)->m_code)
              .m_execution == execution::not_run);
    late.m_request = {fixture.m_next_request++};
    on_spill_refused(*fixture.m_pool, late, fixture.m_now, fixture.m_budgets,
                     fixture.m_out);
    CHECK(find_effect<refuse_effect>(fixture, late.m_request));
}

// Guards against a Retry-After that exceeds the time callers can wait.
TEST_CASE("the retry delay grows with the queue up to a bound")
{
    auto fixture = make_fixture(1, 1);
    observe_usual_time(fixture);
    auto const idle = retry_after_delay(*fixture.m_pool, claim, fixture.m_now);
    for (int i = 0; i < 5; ++i)
    {
        arrive(fixture);
    }
    auto const busy = retry_after_delay(*fixture.m_pool, claim, fixture.m_now);
    CHECK(idle < busy);
    CHECK(busy <= seconds(2));
}

// All targets stay slow while requests arrive. Guards against late requests
// that are refused because they wait behind requests that do not take slow
// slots.
TEST_CASE("late requests take slow slots while others wait for a fast one")
{
    auto fixture = make_fixture(1, 2);
    observe_usual_time(fixture);
    report_slowness(fixture, 0, slowdown_factor);
    auto const late = arrive(fixture);
    fixture.m_now += milliseconds(290);
    auto const in_time = arrive(fixture);
    CHECK(!find_effect<dispatch_effect>(fixture, late));
    advance_time(fixture, milliseconds(20));
    CHECK(find_effect<dispatch_effect>(fixture, late));
    CHECK(!find_effect<dispatch_effect>(fixture, in_time));
}

// All targets of a service are replaced at peak load. Guards against limits of
// the new targets that start at one request.
TEST_CASE("replacement targets get requests for all of their slots")
{
    auto fixture = make_fixture(2, 3);
    observe_usual_time(fixture);
    std::vector<pool_target> const list{{{10}, 3, false, {}},
                                        {{11}, 3, false, {}}};
    set_targets(*fixture.m_pool, {}, fixture.m_now, fixture.m_budgets,
                fixture.m_out);
    set_targets(*fixture.m_pool, list, fixture.m_now, fixture.m_budgets,
                fixture.m_out);
    for (int i = 0; i < 6; ++i)
    {
        CHECK(find_effect<dispatch_effect>(fixture, arrive(fixture)));
    }
}

// Three of four targets are slow at peak load. Guards against requests admitted
// on the assumption that the slow slots serve them in the usual time.
TEST_CASE("slots of slow targets are weighted by their speed at admission")
{
    auto fixture = make_fixture(4, 1);
    observe_usual_time(fixture);
    advance_time(fixture, seconds(2));
    for (std::uint32_t target = 0; target < 3; ++target)
    {
        answer_probe(fixture, target, slowdown_factor);
    }
    answer_probe(fixture, 3, 1);
    for (int i = 0; i < 4; ++i)
    {
        arrive(fixture);
    }
    auto const refused = arrive(fixture, milliseconds(250));
    REQUIRE(find_effect<refuse_effect>(fixture, refused));
    CHECK(find_effect<refuse_effect>(fixture, refused)->m_code ==
          result_code::deadline_unreachable);
    CHECK(find_effect<dispatch_effect>(fixture, refused) == std::nullopt);
}

// A target becomes seven times slower while it processes a request. Guards
// against an idempotent request that misses its objective there although a fast
// target is free.
TEST_CASE("only an idempotent request whose target becomes slow gets a second "
          "attempt")
{
    for (auto const execution :
         {execution_rule::idempotent, execution_rule::at_most_once})
    {
        auto fixture = make_fixture(2, 2, execution);
        observe_usual_time(fixture);
        advance_time(fixture, milliseconds(200));
        answer_probe(fixture, 0, 1);
        answer_probe(fixture, 1, 1);
        auto const id = arrive(fixture);
        auto const first = find_effect<dispatch_effect>(fixture, id);
        REQUIRE(first);
        advance_time(fixture, milliseconds(160));
        answer_probe(fixture, first->m_target.m_value, slowdown_factor);
        answer_probe(fixture, 1 - first->m_target.m_value, 1);
        advance_time(fixture, milliseconds(60));
        auto const last = find_effect<dispatch_effect>(fixture, id);
        bool const is_repeated = last->m_attempt == 2;
        CHECK(is_repeated == (execution == execution_rule::idempotent));
        CHECK((last->m_target == first->m_target) != is_repeated);
    }
}

// Guards against second attempts that can no longer meet the objective.
TEST_CASE("a late request gets no second attempt when its target is slow")
{
    auto fixture = make_fixture(2, 2, execution_rule::idempotent);
    observe_usual_time(fixture);
    advance_time(fixture, milliseconds(200));
    answer_probe(fixture, 0, 1);
    answer_probe(fixture, 1, 1);
    auto const id = arrive(fixture);
    auto const first = find_effect<dispatch_effect>(fixture, id);
    REQUIRE(first);
    advance_time(fixture, milliseconds(310));
    answer_probe(fixture, first->m_target.m_value, slowdown_factor);
    advance_time(fixture, milliseconds(60));
    CHECK(find_effect<dispatch_effect>(fixture, id)->m_attempt == 1);
}

namespace
{

/// Newer rules, which list an idempotent kind before the claim kind.
pool_rules reordered_rules()
{
    kind_config look_up;
    look_up.m_name = "look";
    look_up.m_execution = execution_rule::idempotent;
    look_up.m_target_latency = objective;
    look_up.m_max_attempts = 2;
    look_up.m_priority = 5;
    kind_config claim_kind;
    claim_kind.m_name = "claim";
    claim_kind.m_target_latency = objective;
    claim_kind.m_max_attempts = 2;
    claim_kind.m_execution = execution_rule::at_most_once;
    pool_rules rules;
    rules.m_kinds = {look_up, claim_kind};
    return rules;
}

} // namespace

// Guards against a waiting claim that runs twice because a newer configuration
// lists an idempotent kind at the index of its kind.
TEST_CASE(
    "a request keeps its kind when newer rules list kinds in another order")
{
    auto fixture = make_fixture(2, 1);
    observe_usual_time(fixture);
    auto const first = arrive(fixture);
    auto const second = arrive(fixture);
    auto const waiting = arrive(fixture);
    set_rules(*fixture.m_pool, reordered_rules());
    CHECK(find_kind(*fixture.m_pool, "claim") == kind_id{1});
    // A later claim waits behind `waiting`, since both have the same kind.
    arrival later;
    later.m_request = {fixture.m_next_request++};
    later.m_kind = kind_id{1};
    later.m_deadline = fixture.m_now + seconds(2);
    later.m_objective = fixture.m_now + objective;
    on_arrival(*fixture.m_pool, later, fixture.m_now, fixture.m_budgets,
               fixture.m_out);
    end_attempt(fixture, first, 1);
    REQUIRE(find_effect<dispatch_effect>(fixture, waiting));
    CHECK(!find_effect<dispatch_effect>(fixture, later.m_request));
    static_cast<void>(on_cancel(*fixture.m_pool, later.m_request, fixture.m_now,
                                fixture.m_budgets, fixture.m_out));
    for (auto const id : {second, waiting})
    {
        on_attempt_ended(*fixture.m_pool,
                         {id, 1, attempt_outcome::closed, {}, false},
                         fixture.m_now, fixture.m_budgets, fixture.m_out);
        advance_time(fixture, milliseconds(50));
        REQUIRE(find_effect<refuse_effect>(fixture, id));
        CHECK(find_effect<dispatch_effect>(fixture, id)->m_attempt == 1);
    }
    CHECK(queue_length(*fixture.m_pool) == 0);
}

// Guards against a second run of a claim that another zone refused after newer
// rules had assigned the index of its kind to an idempotent kind.
TEST_CASE("a request that may run only once gets one attempt under any rules")
{
    auto fixture = make_fixture(2, 2);
    observe_usual_time(fixture);
    set_rules(*fixture.m_pool, reordered_rules());
    advance_time(fixture, milliseconds(200));
    answer_probe(fixture, 0, 1);
    answer_probe(fixture, 1, 1);
    arrival returned;
    returned.m_request = {fixture.m_next_request++};
    returned.m_kind = claim;
    returned.m_deadline = fixture.m_now + seconds(2);
    returned.m_objective = fixture.m_now + objective;
    returned.m_spill_refusals = 1;
    returned.m_may_repeat = false;
    on_spill_refused(*fixture.m_pool, returned, fixture.m_now,
                     fixture.m_budgets, fixture.m_out);
    auto const id = returned.m_request;
    REQUIRE(find_effect<dispatch_effect>(fixture, id));
    on_attempt_ended(*fixture.m_pool,
                     {id, 1, attempt_outcome::closed, {}, false}, fixture.m_now,
                     fixture.m_budgets, fixture.m_out);
    advance_time(fixture, milliseconds(200));
    REQUIRE(find_effect<refuse_effect>(fixture, id));
    CHECK(find_effect<dispatch_effect>(fixture, id)->m_attempt == 1);
}

} // namespace hawthornspur::core
