#include "core/pool.hpp"

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

struct fixture
{
    pool_ptr m_pool;
    service_budgets m_budgets;
    time_point m_now{std::chrono::hours(1)};
    pool_effects m_out;
    std::uint64_t m_next = 1;
};

pool_rules make_rules()
{
    kind_config once;
    once.m_name = "claim";
    once.m_priority = 1;
    kind_config repeatable;
    repeatable.m_name = "look-up";
    repeatable.m_execution = execution_rule::idempotent;
    kind_config lengthy;
    lengthy.m_name = "report";
    lengthy.m_execution = execution_rule::idempotent;
    pool_rules rules;
    rules.m_kinds = {once, repeatable, lengthy};
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

void set(fixture& f, std::vector<pool_target> const& list)
{
    set_targets(*f.m_pool, list, f.m_now, f.m_budgets, f.m_out);
}

fixture make_fixture(std::uint32_t targets, int slots,
                     pool_start how = pool_start::fresh)
{
    fixture f;
    f.m_pool = make_pool(make_rules(), how, f.m_now);
    f.m_budgets.m_probe = make_token_bucket(0, 0, f.m_now);
    f.m_budgets.m_retry.m_tokens = 10;
    set(f, make_targets(targets, slots));
    return f;
}

request_id arrive(fixture& f, kind_id kind,
                  duration deadline = std::chrono::seconds(2),
                  bool is_spilled = false, int earlier = 0)
{
    request_id const id{f.m_next++};
    on_arrival(*f.m_pool,
               {.m_request = id,
                .m_kind = kind,
                .m_deadline = f.m_now + deadline,
                .m_earlier_attempts = earlier,
                .m_spilled = is_spilled},
               f.m_now, f.m_budgets, f.m_out);
    return id;
}

/// The last effect of this type for the request.
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

void end(fixture& f, request_id id, attempt_outcome outcome,
         bool drains = false)
{
    auto const attempt = find_effect<dispatch_effect>(f, id)->m_attempt;
    on_attempt_ended(*f.m_pool, {id, attempt, outcome, {}, drains}, f.m_now,
                     f.m_budgets, f.m_out);
}

/// Runs a request of the kind from arrival to its answer.
void serve(fixture& f, kind_id kind, duration time)
{
    auto const id = arrive(f, kind);
    REQUIRE(find_effect<dispatch_effect>(f, id));
    f.m_now += time;
    on_timer(*f.m_pool, f.m_now, f.m_budgets, f.m_out);
    end(f, id, attempt_outcome::ok);
}

std::size_t count_dispatches(fixture const& f)
{
    return static_cast<std::size_t>(std::count_if(
        f.m_out.begin(), f.m_out.end(),
        [](pool_effect const& effect)
        { return std::holds_alternative<dispatch_effect>(effect); }));
}

} // namespace

// Guards against a second run of an at-most-once request, against refusals
// that claim too much, and against retries that are counted under a wrong
// reason.
TEST_CASE("an attempt that fails is retried or refused by its outcome")
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
    for (auto const& c : cases)
    {
        CAPTURE(static_cast<int>(c.m_outcome));
        CAPTURE(c.m_kind.m_value);
        auto f = make_fixture(2, 1);
        auto const id = arrive(f, c.m_kind);
        auto const first = find_effect<dispatch_effect>(f, id);
        REQUIRE(first);
        end(f, id, c.m_outcome);
        auto const last = find_effect<dispatch_effect>(f, id);
        auto const refusal = find_effect<refuse_effect>(f, id);
        CHECK((last->m_attempt == 2) == c.m_retry.has_value());
        CHECK(refusal.has_value() == !c.m_retry.has_value());
        if (c.m_retry)
        {
            CHECK(last->m_reason == *c.m_retry);
            CHECK(last->m_target != first->m_target);
        }
        else
        {
            CHECK(refusal->m_code == c.m_code);
        }
    }
}

// Guards against retries beyond the budget, retries of requests that were
// already retried further up, and retries without another target.
TEST_CASE("a retry needs a budget, a first attempt and an untried target")
{
    auto f = make_fixture(2, 1);
    f.m_budgets.m_retry.m_tokens = 0;
    auto const poor = arrive(f, look_up);
    end(f, poor, attempt_outcome::shed);
    CHECK(find_effect<refuse_effect>(f, poor)->m_code ==
          result_code::retry_budget_empty);

    auto g = make_fixture(2, 1);
    auto const repeated = arrive(g, look_up, std::chrono::seconds(2), false, 1);
    end(g, repeated, attempt_outcome::shed);
    CHECK(find_effect<refuse_effect>(g, repeated)->m_code ==
          result_code::target_shed);

    auto h = make_fixture(1, 2);
    auto const alone = arrive(h, look_up);
    end(h, alone, attempt_outcome::connect_failed);
    CHECK(find_effect<refuse_effect>(h, alone)->m_code ==
          result_code::connect_failed);
}

// Guards against a refusal as not run after an earlier attempt of the request
// may have run.
TEST_CASE("a request that may have run is never refused as not run")
{
    auto f = make_fixture(2, 1);
    auto const id = arrive(f, look_up);
    end(f, id, attempt_outcome::silent);
    REQUIRE(find_effect<dispatch_effect>(f, id)->m_attempt == 2);
    end(f, id, attempt_outcome::shed);
    CHECK(find_effect<refuse_effect>(f, id)->m_code ==
          result_code::target_silent);
}

// Guards against a target that fails within microseconds and so frees its
// slots for ever more requests.
TEST_CASE("a target that fails fast gets no more work than a healthy one")
{
    auto f = make_fixture(4, 1);
    for (int i = 0; i < 40; ++i)
    {
        serve(f, look_up, milliseconds(10));
    }
    int failures = 0;
    for (int i = 0; i < 400; ++i)
    {
        auto const id = arrive(f, look_up);
        auto const sent = find_effect<dispatch_effect>(f, id);
        if (sent && sent->m_target.m_value == 0)
        {
            ++failures;
            end(f, id, attempt_outcome::server_error);
        }
        else if (sent)
        {
            f.m_now += milliseconds(1);
            on_timer(*f.m_pool, f.m_now, f.m_budgets, f.m_out);
            end(f, id, attempt_outcome::ok);
        }
    }
    // A fair share of 400 requests among four targets.
    CHECK(failures <= 100);
}

// Guards against a slow target that stays in use because its attempts are
// cancelled, by hedges or by callers, before they show how long they take.
TEST_CASE("attempts that are cancelled late make their target slow")
{
    auto f = make_fixture(4, 1);
    for (int i = 0; i < 40; ++i)
    {
        serve(f, look_up, milliseconds(10));
    }
    int slow = 0;
    for (int i = 0; i < 100; ++i)
    {
        auto const id = arrive(f, look_up);
        auto const sent = find_effect<dispatch_effect>(f, id);
        REQUIRE(sent);
        bool const is_slow = sent->m_target.m_value == 0;
        slow += is_slow ? 1 : 0;
        f.m_now += milliseconds(is_slow ? 100 : 10);
        on_timer(*f.m_pool, f.m_now, f.m_budgets, f.m_out);
        if (is_slow)
        {
            on_cancel(*f.m_pool, id, f.m_now, f.m_budgets, f.m_out);
        }
        end(f, id, is_slow ? attempt_outcome::cancelled : attempt_outcome::ok);
    }
    // A fair share would be 25.
    CHECK(slow <= 12);
}

// Guards against a summary that shows one moment without free slots for half a
// second, in which slots come free all the time.
TEST_CASE("a summary shows the free slots that arrivals usually find")
{
    auto f = make_fixture(2, 3);
    for (int i = 0; i < 200; ++i)
    {
        serve(f, look_up, milliseconds(10));
    }
    for (int i = 0; i < 7; ++i)
    {
        arrive(f, look_up);
    }
    auto const busy = summarize(*f.m_pool, "a", f.m_now);
    CHECK(busy.m_queued == 1);
    CHECK(busy.m_free_slots >= 4);
    for (int i = 0; i < 200; ++i)
    {
        arrive(f, look_up);
    }
    CHECK(summarize(*f.m_pool, "a", f.m_now).m_free_slots == 0);
}

// Guards against new work for a target that shows any sign of leaving.
TEST_CASE("each sign of leaving stops new work")
{
    auto const dispatched_to_first = [](fixture& f)
    {
        f.m_out.clear();
        bool found = false;
        for (int i = 0; i < 4; ++i)
        {
            auto const id = arrive(f, look_up);
            auto const sent = find_effect<dispatch_effect>(f, id);
            found = found || (sent && sent->m_target.m_value == 0);
        }
        return found;
    };
    auto listed = make_fixture(2, 2);
    CHECK(dispatched_to_first(listed));

    auto leaving = make_fixture(2, 2);
    set(leaving, {{{0}, 2, true}, {{1}, 2, false}});
    CHECK(!dispatched_to_first(leaving));

    auto removed = make_fixture(2, 2);
    set(removed, {{{1}, 2, false}});
    CHECK(!dispatched_to_first(removed));

    auto announced = make_fixture(2, 2);
    request_id last{0};
    do
    {
        last = arrive(announced, look_up);
    } while (find_effect<dispatch_effect>(announced, last)->m_target.m_value !=
             0);
    end(announced, last, attempt_outcome::ok, true);
    CHECK(!dispatched_to_first(announced));
}

// Guards against full load on a target that has just been started, and on the
// targets of an owner that does not know its predecessor's calls.
TEST_CASE("cold targets and a start after a crash begin with fewer slots")
{
    auto f = make_fixture(2, 6, pool_start::after_crash);
    for (int i = 0; i < 20; ++i)
    {
        arrive(f, look_up);
    }
    CHECK(in_flight(*f.m_pool) == 6);

    auto g = make_fixture(1, 6);
    set(g, make_targets(2, 6));
    for (int i = 0; i < 20; ++i)
    {
        arrive(g, look_up);
    }
    CHECK(in_flight(*g.m_pool) == 7);
}

// Guards against short requests that wait behind long ones whose kind nobody
// declared.
TEST_CASE("an undeclared long kind gets half of the slots")
{
    auto f = make_fixture(2, 3);
    for (int i = 0; i < 20; ++i)
    {
        serve(f, look_up, milliseconds(2));
    }
    for (int i = 0; i < 4; ++i)
    {
        serve(f, report, milliseconds(100));
    }
    f.m_out.clear();
    for (int i = 0; i < 10; ++i)
    {
        arrive(f, report);
    }
    CHECK(count_dispatches(f) == 3);
    arrive(f, look_up);
    CHECK(count_dispatches(f) == 4);
}

// Guards against urgent requests that wait behind less urgent ones, and against
// a full queue that shuts them out.
TEST_CASE("urgent kinds go first and push others out of a full queue")
{
    auto f = make_fixture(1, 1);
    auto rules = make_rules();
    rules.m_max_queue = 2;
    set_rules(*f.m_pool, rules);
    auto const running = arrive(f, look_up);
    auto const kept = arrive(f, look_up);
    auto const evicted = arrive(f, look_up);
    auto const urgent = arrive(f, claim);
    CHECK(find_effect<refuse_effect>(f, evicted)->m_code ==
          result_code::queue_full);
    end(f, running, attempt_outcome::ok);
    CHECK(find_effect<dispatch_effect>(f, urgent));
    CHECK(!find_effect<dispatch_effect>(f, kept));
}

// Guards against requests that are refused only when their deadline has
// passed, although it was clear at arrival.
TEST_CASE("a request that cannot finish in time is refused at arrival")
{
    auto f = make_fixture(1, 1);
    for (int i = 0; i < 10; ++i)
    {
        serve(f, look_up, milliseconds(10));
    }
    arrive(f, look_up);
    arrive(f, look_up);
    auto const late = arrive(f, look_up, milliseconds(15));
    CHECK(find_effect<refuse_effect>(f, late)->m_code ==
          result_code::deadline_unreachable);
}

// Guards against a deadline that passes unnoticed in the queue or at a target.
TEST_CASE("a deadline is kept in the queue and after dispatch")
{
    auto f = make_fixture(1, 1);
    auto const sent = arrive(f, look_up, milliseconds(50));
    auto const waiting = arrive(f, look_up, milliseconds(50));
    f.m_now += milliseconds(51);
    on_timer(*f.m_pool, f.m_now, f.m_budgets, f.m_out);
    CHECK(find_effect<refuse_effect>(f, sent)->m_code ==
          result_code::deadline_passed_after_dispatch);
    CHECK(find_effect<cancel_attempt_effect>(f, sent));
    CHECK(find_effect<refuse_effect>(f, waiting)->m_code ==
          result_code::deadline_passed_in_queue);
    CHECK(in_flight(*f.m_pool) == 1);
}

// Guards against requests that travel between zones in circles, and against
// summaries that are used more often than they have free slots.
TEST_CASE("a request is spilled once and only into free slots")
{
    auto f = make_fixture(1, 1);
    for (int i = 0; i < 10; ++i)
    {
        serve(f, look_up, milliseconds(50));
    }
    on_summary(*f.m_pool, {"b", 2, 6, 0, duration::zero()}, milliseconds(5),
               f.m_now);
    arrive(f, look_up);
    auto const one = arrive(f, look_up);
    auto const two = arrive(f, look_up);
    auto const three = arrive(f, look_up);
    auto const incoming = arrive(f, look_up, std::chrono::seconds(2), true);
    CHECK(find_effect<spill_effect>(f, one));
    CHECK(find_effect<spill_effect>(f, two));
    CHECK(!find_effect<spill_effect>(f, three));
    CHECK(find_effect<refuse_effect>(f, incoming)->m_code ==
          result_code::spill_refused);
    on_spill_refused(*f.m_pool,
                     {.m_request = one,
                      .m_kind = look_up,
                      .m_deadline = f.m_now + std::chrono::seconds(2)},
                     f.m_now, f.m_budgets, f.m_out);
    CHECK(queue_length(*f.m_pool) == 2);
}

// Guards against a new owner that fills slots which its predecessor's calls
// still hold.
TEST_CASE("a hand-over keeps slots taken until they are released")
{
    auto before = make_fixture(2, 3);
    for (int i = 0; i < 4; ++i)
    {
        arrive(before, look_up);
    }
    auto const counts = make_handover(*before.m_pool);
    fixture f;
    f.m_pool = make_pool(make_rules(), pool_start::fresh, f.m_now);
    apply_handover(*f.m_pool, counts, f.m_now + milliseconds(100), f.m_now);
    set(f, make_targets(2, 3));
    for (int i = 0; i < 6; ++i)
    {
        arrive(f, look_up);
    }
    CHECK(in_flight(*f.m_pool) == 2);
    f.m_now += milliseconds(100);
    on_timer(*f.m_pool, f.m_now, f.m_budgets, f.m_out);
    CHECK(in_flight(*f.m_pool) == 6);
}

// Guards against targets that are probed although they answer, and against an
// ejected target that never comes back without a probe budget.
TEST_CASE("an ejected target is probed or tried again")
{
    for (bool const has_budget : {true, false})
    {
        CAPTURE(has_budget);
        auto f = make_fixture(2, 1);
        f.m_budgets.m_probe = make_token_bucket(has_budget ? 1 : 0, 1, f.m_now);
        for (int i = 0; i < 3; ++i)
        {
            auto const id = arrive(f, look_up, milliseconds(500));
            auto const sent = find_effect<dispatch_effect>(f, id);
            REQUIRE(sent);
            end(f, id, attempt_outcome::connect_failed);
            f.m_now += milliseconds(20);
            on_timer(*f.m_pool, f.m_now, f.m_budgets, f.m_out);
        }
        f.m_out.clear();
        f.m_now += milliseconds(600);
        on_timer(*f.m_pool, f.m_now, f.m_budgets, f.m_out);
        auto const probes = std::count_if(
            f.m_out.begin(), f.m_out.end(),
            [](pool_effect const& effect)
            { return std::holds_alternative<probe_effect>(effect); });
        CHECK((probes > 0) == has_budget);
        if (!has_budget)
        {
            arrive(f, look_up);
            arrive(f, look_up);
            CHECK(in_flight(*f.m_pool) == 2);
        }
    }
}

} // namespace hawthornspur::core
