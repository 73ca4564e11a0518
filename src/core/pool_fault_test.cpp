#include "core/pool.hpp"
#include "core/slot_usage.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace hawthornspur::core
{

namespace
{

using std::chrono::milliseconds;

constexpr kind_id claim{0};
constexpr kind_id look_up{1};
constexpr kind_id report{2};

struct pool_fixture
{
    pool_ptr m_pool;
    service_budgets m_budgets;
    time_point m_now{std::chrono::hours(1)};
    pool_effects m_out;
    std::uint64_t m_next_request = 1;
};

pool_rules make_rules()
{
    kind_config at_most_once;
    at_most_once.m_name = "claim";
    at_most_once.m_priority = 1;
    kind_config idempotent;
    idempotent.m_name = "look-up";
    idempotent.m_execution = execution_rule::idempotent;
    kind_config long_kind;
    long_kind.m_name = "report";
    long_kind.m_execution = execution_rule::idempotent;
    pool_rules rules;
    rules.m_kinds = {at_most_once, idempotent, long_kind};
    return rules;
}

std::vector<pool_target> make_targets(std::uint32_t count, int slots)
{
    std::vector<pool_target> list;
    for (std::uint32_t id = 0; id < count; ++id)
    {
        list.push_back({{id}, slots, false});
    }
    return list;
}

void set_pool_targets(pool_fixture& fixture,
                      std::vector<pool_target> const& list)
{
    set_targets(*fixture.m_pool, list, fixture.m_now, fixture.m_budgets,
                fixture.m_out);
}

pool_fixture make_fixture(std::uint32_t targets, int slots,
                          pool_start start = pool_start::fresh)
{
    pool_fixture fixture;
    fixture.m_pool = make_pool(make_rules(), start, fixture.m_now);
    fixture.m_budgets.m_probe = make_token_bucket(0, 0, fixture.m_now);
    fixture.m_budgets.m_repeat.m_spare = {0, 10, 10, fixture.m_now};
    set_pool_targets(fixture, make_targets(targets, slots));
    return fixture;
}

request_id arrive(pool_fixture& fixture, kind_id kind,
                  duration deadline = std::chrono::seconds(2),
                  bool is_spilled = false, int earlier_attempts = 0)
{
    request_id const id{fixture.m_next_request++};
    on_arrival(*fixture.m_pool,
               {.m_request = id,
                .m_kind = kind,
                .m_deadline = fixture.m_now + deadline,
                .m_earlier_attempts = earlier_attempts,
                .m_spilled = is_spilled},
               fixture.m_now, fixture.m_budgets, fixture.m_out);
    return id;
}

/// The last effect of this type for the request.
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

void end_attempt(pool_fixture& fixture, request_id id, attempt_outcome outcome,
                 bool is_draining = false)
{
    auto const attempt = find_effect<dispatch_effect>(fixture, id)->m_attempt;
    on_attempt_ended(*fixture.m_pool, {id, attempt, outcome, {}, is_draining},
                     fixture.m_now, fixture.m_budgets, fixture.m_out);
}

/// Runs a request of the kind from arrival to its answer.
void serve(pool_fixture& fixture, kind_id kind, duration time)
{
    auto const id = arrive(fixture, kind);
    REQUIRE(find_effect<dispatch_effect>(fixture, id));
    fixture.m_now += time;
    on_timer(*fixture.m_pool, fixture.m_now, fixture.m_budgets, fixture.m_out);
    end_attempt(fixture, id, attempt_outcome::ok);
}

std::size_t count_dispatches(pool_fixture const& fixture)
{
    return static_cast<std::size_t>(std::count_if(
        fixture.m_out.begin(), fixture.m_out.end(),
        [](pool_effect const& effect)
        { return std::holds_alternative<dispatch_effect>(effect); }));
}

} // namespace

// Guards against a second run of an at-most-once request, against refusals with
// the wrong result code and against retries counted under the wrong reason.
TEST_CASE("a failed attempt is retried or refused according to its outcome")
{
    struct fault_case
    {
        attempt_outcome m_outcome;
        kind_id m_kind;
        std::optional<attempt_reason> m_retry;
        result_code m_code;
    };
    std::vector<fault_case> const cases{
        {attempt_outcome::shed, claim, attempt_reason::retry_after_shed,
         result_code::ok},
        {attempt_outcome::connect_failed, claim,
         attempt_reason::retry_after_connect_failure, result_code::ok},
        {attempt_outcome::not_sent, claim,
         attempt_reason::retry_after_connect_failure, result_code::ok},
        {attempt_outcome::silent, claim, std::nullopt,
         result_code::target_silent},
        {attempt_outcome::closed, claim, std::nullopt,
         result_code::target_closed},
        {attempt_outcome::malformed, claim, std::nullopt,
         result_code::target_answer_malformed},
        {attempt_outcome::cancelled, claim, std::nullopt,
         result_code::cancelled_after_dispatch},
        {attempt_outcome::shed, look_up, attempt_reason::retry_after_shed,
         result_code::ok},
        {attempt_outcome::silent, look_up, attempt_reason::retry_after_silence,
         result_code::ok},
        {attempt_outcome::closed, look_up, attempt_reason::retry_after_close,
         result_code::ok},
        {attempt_outcome::malformed, look_up,
         attempt_reason::retry_after_malformed_answer, result_code::ok},
    };
    for (auto const& fault : cases)
    {
        CAPTURE(static_cast<int>(fault.m_outcome));
        CAPTURE(fault.m_kind.m_value);
        auto fixture = make_fixture(2, 1);
        auto const id = arrive(fixture, fault.m_kind);
        auto const first = find_effect<dispatch_effect>(fixture, id);
        REQUIRE(first);
        end_attempt(fixture, id, fault.m_outcome);
        auto const last = find_effect<dispatch_effect>(fixture, id);
        auto const refusal = find_effect<refuse_effect>(fixture, id);
        CHECK((last->m_attempt == 2) == fault.m_retry.has_value());
        CHECK(refusal.has_value() == !fault.m_retry.has_value());
        if (fault.m_retry)
        {
            CHECK(last->m_reason == *fault.m_retry);
            CHECK(last->m_target != first->m_target);
        }
        else
        {
            CHECK(refusal->m_code == fault.m_code);
        }
    }
}

// Guards against retries beyond the budget, of requests that the caller already
// retried, and at a target that was already tried.
TEST_CASE("a retry requires budget, no earlier attempts and an untried target")
{
    auto no_budget = make_fixture(2, 1);
    no_budget.m_budgets.m_repeat.m_spare.m_tokens = 0;
    auto const refused = arrive(no_budget, look_up);
    end_attempt(no_budget, refused, attempt_outcome::shed);
    CHECK(find_effect<refuse_effect>(no_budget, refused)->m_code ==
          result_code::retry_budget_empty);

    auto already_retried = make_fixture(2, 1);
    auto const repeated =
        arrive(already_retried, look_up, std::chrono::seconds(2), false, 1);
    end_attempt(already_retried, repeated, attempt_outcome::shed);
    CHECK(find_effect<refuse_effect>(already_retried, repeated)->m_code ==
          result_code::target_shed);

    auto single_target = make_fixture(1, 2);
    auto const alone = arrive(single_target, look_up);
    end_attempt(single_target, alone, attempt_outcome::connect_failed);
    CHECK(find_effect<refuse_effect>(single_target, alone)->m_code ==
          result_code::connect_failed);
}

// Guards against a refusal as not run after an earlier attempt of the request
// may have run.
TEST_CASE("a request that may have run is never refused as not run")
{
    auto fixture = make_fixture(2, 1);
    auto const id = arrive(fixture, look_up);
    end_attempt(fixture, id, attempt_outcome::silent);
    REQUIRE(find_effect<dispatch_effect>(fixture, id)->m_attempt == 2);
    end_attempt(fixture, id, attempt_outcome::shed);
    CHECK(find_effect<refuse_effect>(fixture, id)->m_code ==
          result_code::target_silent);
}

// Guards against a target that attracts requests by failing within
// microseconds, which frees its slots at once.
TEST_CASE("a target that fails fast gets no more requests than a healthy one")
{
    auto fixture = make_fixture(4, 1);
    for (int i = 0; i < 40; ++i)
    {
        serve(fixture, look_up, milliseconds(10));
    }
    int failures = 0;
    for (int i = 0; i < 400; ++i)
    {
        auto const id = arrive(fixture, look_up);
        auto const sent = find_effect<dispatch_effect>(fixture, id);
        if (sent && sent->m_target.m_value == 0)
        {
            ++failures;
            end_attempt(fixture, id, attempt_outcome::server_error);
        }
        else if (sent)
        {
            fixture.m_now += milliseconds(1);
            on_timer(*fixture.m_pool, fixture.m_now, fixture.m_budgets,
                     fixture.m_out);
            end_attempt(fixture, id, attempt_outcome::ok);
        }
    }
    // A fair share of 400 requests among four targets.
    CHECK(failures <= 100);
}

// Guards against a slow target that stays in use because its attempts are
// cancelled by hedges or callers before their time is observed.
TEST_CASE("late cancellations count as slow answers of the target")
{
    auto fixture = make_fixture(4, 1);
    for (int i = 0; i < 40; ++i)
    {
        serve(fixture, look_up, milliseconds(10));
    }
    int slow = 0;
    for (int i = 0; i < 100; ++i)
    {
        auto const id = arrive(fixture, look_up);
        auto const sent = find_effect<dispatch_effect>(fixture, id);
        REQUIRE(sent);
        bool const is_slow = sent->m_target.m_value == 0;
        slow += is_slow ? 1 : 0;
        fixture.m_now += milliseconds(is_slow ? 100 : 10);
        on_timer(*fixture.m_pool, fixture.m_now, fixture.m_budgets,
                 fixture.m_out);
        if (is_slow)
        {
            on_cancel(*fixture.m_pool, id, fixture.m_now, fixture.m_budgets,
                      fixture.m_out);
        }
        end_attempt(fixture, id,
                    is_slow ? attempt_outcome::cancelled : attempt_outcome::ok);
    }
    // A fair share would be 25.
    CHECK(slow <= 12);
}

// Guards against a summary that reports no free slots for half a second because
// none was free at one moment.
TEST_CASE("a summary contains the mean number of free slots at arrivals")
{
    auto fixture = make_fixture(2, 3);
    for (int i = 0; i < 200; ++i)
    {
        serve(fixture, look_up, milliseconds(10));
    }
    for (int i = 0; i < 7; ++i)
    {
        arrive(fixture, look_up);
    }
    auto const busy = summarize(*fixture.m_pool, "a", fixture.m_now);
    CHECK(busy.m_queued == 1);
    CHECK(busy.m_free_slots >= 4);
    for (int i = 0; i < 200; ++i)
    {
        arrive(fixture, look_up);
    }
    CHECK(summarize(*fixture.m_pool, "a", fixture.m_now).m_free_slots == 0);
}

// Guards against new attempts at a target that is listed as leaving, is no
// longer listed or has announced that it is draining.
TEST_CASE("a leaving, removed or draining target gets no new requests")
{
    auto const dispatched_to_first = [](pool_fixture& fixture)
    {
        fixture.m_out.clear();
        bool found = false;
        for (int i = 0; i < 4; ++i)
        {
            auto const id = arrive(fixture, look_up);
            auto const sent = find_effect<dispatch_effect>(fixture, id);
            found = found || (sent && sent->m_target.m_value == 0);
        }
        return found;
    };
    auto listed = make_fixture(2, 2);
    CHECK(dispatched_to_first(listed));

    auto leaving = make_fixture(2, 2);
    set_pool_targets(leaving, {{{0}, 2, true}, {{1}, 2, false}});
    CHECK(!dispatched_to_first(leaving));

    auto removed = make_fixture(2, 2);
    set_pool_targets(removed, {{{1}, 2, false}});
    CHECK(!dispatched_to_first(removed));

    auto announced = make_fixture(2, 2);
    request_id last{0};
    do
    {
        last = arrive(announced, look_up);
    } while (find_effect<dispatch_effect>(announced, last)->m_target.m_value !=
             0);
    end_attempt(announced, last, attempt_outcome::ok, true);
    CHECK(!dispatched_to_first(announced));
}

// Guards against full load on newly started targets, and on targets that may
// still run calls of a crashed owner.
TEST_CASE("limits start reduced for new targets and after a crash")
{
    auto crashed = make_fixture(2, 6, pool_start::after_crash);
    for (int i = 0; i < 20; ++i)
    {
        arrive(crashed, look_up);
    }
    CHECK(in_flight(*crashed.m_pool) == 6);

    auto extended = make_fixture(1, 6);
    set_pool_targets(extended, make_targets(2, 6));
    for (int i = 0; i < 20; ++i)
    {
        arrive(extended, look_up);
    }
    CHECK(in_flight(*extended.m_pool) == 7);
}

// Guards against short requests that wait because requests of a long kind, for
// which no share is declared, hold all slots.
TEST_CASE("a long kind without a declared share gets half of the slots")
{
    auto fixture = make_fixture(2, 3);
    for (int i = 0; i < 20; ++i)
    {
        serve(fixture, look_up, milliseconds(2));
    }
    for (int i = 0; i < 4; ++i)
    {
        serve(fixture, report, milliseconds(100));
    }
    fixture.m_out.clear();
    for (int i = 0; i < 10; ++i)
    {
        arrive(fixture, report);
    }
    CHECK(count_dispatches(fixture) == 3);
    arrive(fixture, look_up);
    CHECK(count_dispatches(fixture) == 4);
}

// Guards against urgent requests that wait behind less urgent ones or are
// refused because of a queue full of these.
TEST_CASE(
    "urgent kinds are dispatched first and evict others from a full queue")
{
    auto fixture = make_fixture(1, 1);
    auto rules = make_rules();
    rules.m_max_queue = 2;
    set_rules(*fixture.m_pool, rules);
    auto const running = arrive(fixture, look_up);
    auto const kept = arrive(fixture, look_up);
    auto const evicted = arrive(fixture, look_up);
    auto const urgent = arrive(fixture, claim);
    CHECK(find_effect<refuse_effect>(fixture, evicted)->m_code ==
          result_code::queue_full);
    end_attempt(fixture, running, attempt_outcome::ok);
    CHECK(find_effect<dispatch_effect>(fixture, urgent));
    CHECK(!find_effect<dispatch_effect>(fixture, kept));
}

// Guards against requests that wait until their deadline has passed although
// they could not be served in time from the start.
TEST_CASE("a request that cannot finish in time is refused at arrival")
{
    auto fixture = make_fixture(1, 1);
    for (int i = 0; i < 10; ++i)
    {
        serve(fixture, look_up, milliseconds(10));
    }
    arrive(fixture, look_up);
    arrive(fixture, look_up);
    auto const late = arrive(fixture, look_up, milliseconds(15));
    CHECK(find_effect<refuse_effect>(fixture, late)->m_code ==
          result_code::deadline_unreachable);
}

// Guards against requests that stay in the queue or at a target after their
// deadline.
TEST_CASE("a deadline is enforced in the queue and after dispatch")
{
    auto fixture = make_fixture(1, 1);
    auto const sent = arrive(fixture, look_up, milliseconds(50));
    auto const waiting = arrive(fixture, look_up, milliseconds(50));
    fixture.m_now += milliseconds(51);
    on_timer(*fixture.m_pool, fixture.m_now, fixture.m_budgets, fixture.m_out);
    CHECK(find_effect<refuse_effect>(fixture, sent)->m_code ==
          result_code::deadline_passed_after_dispatch);
    CHECK(find_effect<cancel_attempt_effect>(fixture, sent));
    CHECK(find_effect<refuse_effect>(fixture, waiting)->m_code ==
          result_code::deadline_passed_in_queue);
    CHECK(in_flight(*fixture.m_pool) == 1);
}

// Guards against requests that are spilled back and forth between zones, and
// against more spills than the summary has free slots.
TEST_CASE("a request is spilled once and only to free slots")
{
    auto fixture = make_fixture(1, 1);
    for (int i = 0; i < 10; ++i)
    {
        serve(fixture, look_up, milliseconds(50));
    }
    on_summary(*fixture.m_pool, {"b", 2, 6, 0, duration::zero()},
               milliseconds(5), fixture.m_now);
    arrive(fixture, look_up);
    auto const one = arrive(fixture, look_up);
    auto const two = arrive(fixture, look_up);
    auto const three = arrive(fixture, look_up);
    auto const incoming =
        arrive(fixture, look_up, std::chrono::seconds(2), true);
    CHECK(find_effect<spill_effect>(fixture, one));
    CHECK(find_effect<spill_effect>(fixture, two));
    CHECK(!find_effect<spill_effect>(fixture, three));
    CHECK(find_effect<refuse_effect>(fixture, incoming)->m_code ==
          result_code::spill_refused);
    on_spill_refused(*fixture.m_pool,
                     {.m_request = one,
                      .m_kind = look_up,
                      .m_deadline = fixture.m_now + std::chrono::seconds(2)},
                     fixture.m_now, fixture.m_budgets, fixture.m_out);
    CHECK(queue_length(*fixture.m_pool) == 2);
}

// Guards against arrivals beyond the limit of the route: a request rejected in
// another zone started over in its own, as if it had not been sent.
TEST_CASE("attempts of other hosts count and their targets are not tried again")
{
    auto fixture = make_fixture(3, 1);
    request_id const id{fixture.m_next_request++};
    on_arrival(*fixture.m_pool,
               {.m_request = id,
                .m_kind = look_up,
                .m_deadline = fixture.m_now + std::chrono::seconds(2),
                .m_prior_attempts = kind_config{}.m_max_attempts - 1,
                .m_tried_targets = {{0}}},
               fixture.m_now, fixture.m_budgets, fixture.m_out);
    auto const attempt = find_effect<dispatch_effect>(fixture, id);
    REQUIRE(attempt);
    CHECK(attempt->m_target != target_id{0});
    CHECK(attempt->m_reason == attempt_reason::retry_after_other_host);
    end_attempt(fixture, id, attempt_outcome::shed);
    CHECK(count_dispatches(fixture) == 1);
    CHECK(find_effect<refuse_effect>(fixture, id)->m_code ==
          result_code::target_shed);
}

// Guards against a host that ejects its targets because it has no descriptor
// left for requests and probes.
TEST_CASE("only what was sent to a target counts as its failure")
{
    for (int const probe_budget : {0, 9})
    {
        CAPTURE(probe_budget);
        auto fixture = make_fixture(2, 1);
        fixture.m_budgets.m_probe =
            make_token_bucket(probe_budget, probe_budget, fixture.m_now);
        for (std::uint32_t i = 0; i < 40; ++i)
        {
            if (probe_budget == 0)
            {
                auto const id = arrive(fixture, look_up);
                end_attempt(fixture, id, attempt_outcome::not_sent);
                end_attempt(fixture, id, attempt_outcome::not_sent);
            }
            fixture.m_now += milliseconds(250);
            on_timer(*fixture.m_pool, fixture.m_now, fixture.m_budgets,
                     fixture.m_out);
            on_probe_answer(*fixture.m_pool,
                            {.m_target = {i % 2}, .m_is_unsent = true},
                            fixture.m_now, fixture.m_budgets, fixture.m_out);
        }
        CHECK(count_slot_usage(*fixture.m_pool, fixture.m_now).m_ejected == 0);
    }
}

// Guards against a budget that is spent on targets which are down: a failed
// connection is no arrival.
TEST_CASE("an attempt that reached no target is repeated without budget")
{
    auto fixture = make_fixture(3, 1);
    fixture.m_budgets.m_repeat.m_spare.m_tokens = 1;
    auto const id =
        arrive(fixture, claim, std::chrono::seconds(2), /*is_spilled=*/true);
    end_attempt(fixture, id, attempt_outcome::connect_failed);
    CHECK(find_effect<dispatch_effect>(fixture, id)->m_attempt == 2);
    CHECK(fixture.m_budgets.m_repeat.m_spare.m_tokens == 1);
    end_attempt(fixture, id, attempt_outcome::misdirected);
    CHECK(find_effect<refuse_effect>(fixture, id)->m_code ==
          result_code::connect_failed);
}

// Guards against a new owner that uses slots which calls of the previous owner
// still hold.
TEST_CASE("slots inherited in a hand-over stay taken until the release time")
{
    auto before = make_fixture(2, 3);
    for (int i = 0; i < 4; ++i)
    {
        arrive(before, look_up);
    }
    auto const handover = make_handover(*before.m_pool);
    pool_fixture fixture;
    fixture.m_pool = make_pool(make_rules(), pool_start::fresh, fixture.m_now);
    apply_handover(*fixture.m_pool, handover, fixture.m_now + milliseconds(100),
                   fixture.m_now);
    set_pool_targets(fixture, make_targets(2, 3));
    for (int i = 0; i < 6; ++i)
    {
        arrive(fixture, look_up);
    }
    CHECK(in_flight(*fixture.m_pool) == 2);
    fixture.m_now += milliseconds(100);
    on_timer(*fixture.m_pool, fixture.m_now, fixture.m_budgets, fixture.m_out);
    CHECK(in_flight(*fixture.m_pool) == 6);
}

// Guards against an ejected target that is not probed, or is never readmitted
// because the probe budget is empty.
TEST_CASE("an ejected target is probed, or readmitted without probe budget")
{
    for (bool const has_budget : {true, false})
    {
        CAPTURE(has_budget);
        auto fixture = make_fixture(2, 1);
        fixture.m_budgets.m_probe =
            make_token_bucket(has_budget ? 1 : 0, 1, fixture.m_now);
        for (int i = 0; i < 3; ++i)
        {
            auto const id = arrive(fixture, look_up, milliseconds(500));
            auto const sent = find_effect<dispatch_effect>(fixture, id);
            REQUIRE(sent);
            end_attempt(fixture, id, attempt_outcome::connect_failed);
            fixture.m_now += milliseconds(20);
            on_timer(*fixture.m_pool, fixture.m_now, fixture.m_budgets,
                     fixture.m_out);
        }
        fixture.m_out.clear();
        fixture.m_now += milliseconds(600);
        on_timer(*fixture.m_pool, fixture.m_now, fixture.m_budgets,
                 fixture.m_out);
        auto const probes = std::count_if(
            fixture.m_out.begin(), fixture.m_out.end(),
            [](pool_effect const& effect)
            { return std::holds_alternative<probe_effect>(effect); });
        CHECK((probes > 0) == has_budget);
        if (!has_budget)
        {
            arrive(fixture, look_up);
            arrive(fixture, look_up);
            CHECK(in_flight(*fixture.m_pool) == 2);
        }
    }
}

} // namespace hawthornspur::core
