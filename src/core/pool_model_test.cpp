#include "core/pool_state.hpp"
#include "core/retry_rules.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <cstdint>
#include <map>
#include <set>
#include <tuple>
#include <vector>

namespace hawthornspur::core
{

namespace
{

using std::chrono::milliseconds;

// Less than the probes that are due cost, so that the budget limits them.
constexpr double probe_rate = 0.004;
constexpr double retry_ratio = 1;
constexpr std::uint32_t target_count = 6;
constexpr kind_id at_most_once_kind{0};
constexpr kind_id limited_kind{2};
constexpr double limited_share = 0.4;

struct attempt_model
{
    target_id m_target;
    bool m_live = true;
    /// Whether the attempt has ended and may have run.
    bool m_may_have_run = false;
    bool m_has_reached_target = true;
};

struct request_model
{
    kind_id m_kind;
    time_point m_deadline;
    std::vector<attempt_model> m_attempts;
    int m_answers = 0;
    bool m_cancelled = false;
    bool m_is_incoming_spill = false;
    bool m_was_spilled = false;
    /// Currently at an owner in another zone.
    bool m_is_spilled = false;
};

struct target_model
{
    int m_slots = 0;
    bool m_listed = false;
    bool m_leaving = false;
    bool m_draining = false;
    /// Last complete answer.
    time_point m_answered{};
};

/// The pool with a model of its host, its requests and its targets. Each effect
/// of the pool is checked against the model.
struct pool_harness
{
    pool_ptr m_pool;
    service_budgets m_budgets;
    time_point m_started_at{std::chrono::hours(1)};
    time_point m_now{m_started_at};
    pool_effects m_out;
    std::map<std::uint64_t, request_model> m_requests;
    std::map<std::uint32_t, target_model> m_targets;
    std::vector<std::uint32_t> m_probes;
    double m_probe_seconds = 0;
    /// Requests that pay for repeats.
    double m_counted = 0;
    /// Attempts that reached no target.
    double m_unsent = 0;
    double m_retries = 0;
};

pool_rules make_rules()
{
    kind_config at_most_once;
    at_most_once.m_name = "claim";
    at_most_once.m_priority = 2;
    // Without effect for an at-most-once kind.
    at_most_once.m_hedge = true;
    kind_config idempotent;
    idempotent.m_name = "look-up";
    idempotent.m_execution = execution_rule::idempotent;
    idempotent.m_hedge = true;
    kind_config limited;
    limited.m_name = "report";
    limited.m_execution = execution_rule::idempotent;
    limited.m_max_share = limited_share;
    limited.m_share_declared = true;
    pool_rules rules;
    rules.m_kinds = {at_most_once, idempotent, limited};
    rules.m_max_queue = 12;
    return rules;
}

pool_harness make_harness()
{
    pool_harness harness;
    harness.m_pool = make_pool(make_rules(), pool_start::fresh, harness.m_now);
    harness.m_budgets.m_probe = make_token_bucket(probe_rate, 1, harness.m_now);
    harness.m_budgets.m_repeat =
        make_repeat_budget({retry_ratio, 0}, 1, harness.m_now);
    return harness;
}

int live_at_target(pool_harness const& harness, target_id target)
{
    int live = 0;
    for (auto const& [id, request] : harness.m_requests)
    {
        for (auto const& attempt : request.m_attempts)
        {
            live += attempt.m_live && attempt.m_target == target ? 1 : 0;
        }
    }
    return live;
}

int live_of_kind(pool_harness const& harness, kind_id kind)
{
    int live = 0;
    for (auto const& [id, request] : harness.m_requests)
    {
        for (auto const& attempt : request.m_attempts)
        {
            live += attempt.m_live && request.m_kind == kind ? 1 : 0;
        }
    }
    return live;
}

int present_slots(pool_harness const& harness)
{
    int slots = 0;
    for (auto const& [id, target] : harness.m_targets)
    {
        bool const is_present =
            target.m_listed && !target.m_leaving && !target.m_draining;
        slots += is_present ? target.m_slots : 0;
    }
    return slots;
}

void check(pool_harness& harness, dispatch_effect const& effect)
{
    auto& request = harness.m_requests.at(effect.m_request.m_value);
    auto const& target = harness.m_targets.at(effect.m_target.m_value);
    RC_ASSERT(request.m_answers == 0 && !request.m_cancelled);
    RC_ASSERT(target.m_listed && !target.m_leaving && !target.m_draining);
    RC_ASSERT(live_at_target(harness, effect.m_target) < target.m_slots);
    RC_ASSERT(effect.m_attempt == request.m_attempts.size() + 1);
    RC_ASSERT((effect.m_reason == attempt_reason::first) ==
              request.m_attempts.empty());
    bool const is_once = request.m_kind == at_most_once_kind;
    RC_ASSERT(effect.m_needs_verified_connection == is_once);
    for (auto const& earlier : request.m_attempts)
    {
        RC_ASSERT(earlier.m_target != effect.m_target);
        RC_ASSERT(!is_once || (!earlier.m_live && !earlier.m_may_have_run));
    }
    if (request.m_kind == limited_kind)
    {
        RC_ASSERT(live_of_kind(harness, limited_kind) <
                  std::max(1, static_cast<int>(limited_share *
                                               present_slots(harness))));
    }
    harness.m_retries += effect.m_reason == attempt_reason::first ? 0 : 1;
    RC_ASSERT(harness.m_retries - harness.m_unsent <=
              retry_ratio * harness.m_counted + 1e-6);
    // The host that spilled the request decides on its repeats.
    RC_ASSERT(!request.m_is_incoming_spill ||
              std::none_of(request.m_attempts.begin(), request.m_attempts.end(),
                           [](attempt_model const& earlier)
                           { return earlier.m_has_reached_target; }));
    request.m_attempts.push_back({effect.m_target});
}

void check(pool_harness& harness, refuse_effect const& effect)
{
    auto& request = harness.m_requests.at(effect.m_request.m_value);
    RC_ASSERT(request.m_answers == 0 && !request.m_cancelled);
    ++request.m_answers;
    if (info(effect.m_code).m_execution == execution::not_run)
    {
        for (auto const& attempt : request.m_attempts)
        {
            RC_ASSERT(!attempt.m_live && !attempt.m_may_have_run);
        }
    }
    // Only requests that were spilled to this owner return to their sender.
    RC_ASSERT(effect.m_code != result_code::spill_refused ||
              request.m_is_incoming_spill);
}

void check(pool_harness& harness, relay_effect const& effect)
{
    auto& request = harness.m_requests.at(effect.m_request.m_value);
    RC_ASSERT(request.m_answers == 0 && !request.m_cancelled);
    RC_ASSERT(effect.m_attempt <= request.m_attempts.size());
    ++request.m_answers;
}

void check(pool_harness& harness, cancel_attempt_effect const& effect)
{
    auto const& request = harness.m_requests.at(effect.m_request.m_value);
    auto const& attempt = request.m_attempts.at(effect.m_attempt - 1);
    RC_ASSERT(attempt.m_live && attempt.m_target == effect.m_target);
}

void check(pool_harness& harness, spill_effect const& effect)
{
    auto& request = harness.m_requests.at(effect.m_request.m_value);
    RC_ASSERT(request.m_answers == 0 && request.m_attempts.empty());
    RC_ASSERT(!request.m_is_incoming_spill && !request.m_was_spilled);
    request.m_was_spilled = true;
    request.m_is_spilled = true;
    ++request.m_answers;
}

void check(pool_harness& harness, probe_effect const& effect)
{
    auto const& target = harness.m_targets.at(effect.m_target.m_value);
    RC_ASSERT(target.m_listed && !target.m_leaving);
    RC_ASSERT(harness.m_now - target.m_answered >= std::chrono::seconds(1));
    harness.m_probes.push_back(effect.m_target.m_value);
    harness.m_probe_seconds += 0.007;
    auto const elapsed = seconds(harness.m_now - harness.m_started_at).count();
    RC_ASSERT(harness.m_probe_seconds <= probe_rate * elapsed + 1e-9);
}

/// Checks the effects of an event and the invariants of the state after it.
void check_state(pool_harness& harness)
{
    for (auto const& effect : std::exchange(harness.m_out, {}))
    {
        std::visit([&](auto const& e) { check(harness, e); }, effect);
    }
    std::size_t live = 0;
    int present = 0;
    int ejected = 0;
    for (auto const& target : harness.m_pool->m_targets)
    {
        live += static_cast<std::size_t>(
            live_at_target(harness, target.m_spec.m_id));
        RC_ASSERT(target.m_in_flight ==
                  live_at_target(harness, target.m_spec.m_id));
        if (!is_leaving(target))
        {
            ++present;
            ejected += target.m_outlier.m_ejected ? 1 : 0;
        }
    }
    RC_ASSERT(in_flight(*harness.m_pool) == live);
    RC_ASSERT(2 * ejected <= present);
}

void arrive(pool_harness& harness, std::uint32_t random_a,
            std::uint32_t random_b)
{
    auto const id = harness.m_requests.size() + 1;
    request_model request;
    request.m_kind = {random_a % 3};
    request.m_deadline = harness.m_now + milliseconds(random_b % 400);
    request.m_is_incoming_spill = random_b % 11 == 0;
    harness.m_requests[id] = request;
    if (!request.m_is_incoming_spill)
    {
        ++harness.m_counted;
        record_request(harness.m_budgets.m_repeat, harness.m_now);
    }
    on_arrival(*harness.m_pool,
               {.m_request = {id},
                .m_kind = request.m_kind,
                .m_deadline = request.m_deadline,
                .m_earlier_attempts = random_b % 7 == 0 ? 1 : 0,
                .m_spilled = request.m_is_incoming_spill},
               harness.m_now, harness.m_budgets, harness.m_out);
}

request_model* pick_request(pool_harness& harness, std::uint32_t random_a,
                            std::uint64_t& id)
{
    if (harness.m_requests.empty())
    {
        return nullptr;
    }
    id = harness.m_requests.size() -
         random_a % std::min<std::size_t>(harness.m_requests.size(), 15);
    return &harness.m_requests.at(id);
}

void start_answer(pool_harness& harness, std::uint32_t random_a,
                  std::uint32_t random_b)
{
    std::uint64_t id = 0;
    if (pick_request(harness, random_a, id) != nullptr)
    {
        on_answer_started(*harness.m_pool, {id}, random_b % 5, harness.m_now,
                          harness.m_out);
    }
}

/// Ends an attempt that is live, has already ended or was never made.
void end_attempt(pool_harness& harness, std::uint32_t random_a,
                 std::uint32_t random_b, attempt_outcome outcome)
{
    std::uint64_t id = 0;
    auto* request = pick_request(harness, random_a, id);
    if (request == nullptr)
    {
        on_attempt_ended(*harness.m_pool, {{77}, 1, outcome, {}, false},
                         harness.m_now, harness.m_budgets, harness.m_out);
        return;
    }
    auto const number = random_b % (request->m_attempts.size() + 2);
    bool const is_draining = random_b % 31 == 0;
    bool const is_live = number >= 1 && number <= request->m_attempts.size() &&
                         request->m_attempts[number - 1].m_live;
    if (is_live)
    {
        auto& attempt = request->m_attempts[number - 1];
        attempt.m_live = false;
        attempt.m_may_have_run = !is_certainly_not_run(outcome);
        attempt.m_has_reached_target = has_reached_target(outcome);
        harness.m_unsent += attempt.m_has_reached_target ? 0 : 1;
        harness.m_targets.at(attempt.m_target.m_value).m_draining |=
            is_draining;
        if (outcome == attempt_outcome::ok)
        {
            harness.m_targets.at(attempt.m_target.m_value).m_answered =
                harness.m_now;
        }
    }
    reported_load const load{static_cast<int>(random_b % 9),
                             static_cast<int>(random_b % 4)};
    on_attempt_ended(
        *harness.m_pool,
        {{id}, static_cast<attempt_number>(number), outcome, load, is_draining},
        harness.m_now, harness.m_budgets, harness.m_out);
}

void cancel(pool_harness& harness, std::uint32_t random_a)
{
    std::uint64_t id = 0;
    auto* request = pick_request(harness, random_a, id);
    if (request == nullptr || request->m_cancelled || request->m_is_spilled)
    {
        return;
    }
    on_cancel(*harness.m_pool, {id}, harness.m_now, harness.m_budgets,
              harness.m_out);
    // The cancel effects are checked while the request counts as not cancelled.
    check_state(harness);
    request->m_cancelled = true;
}

void change_targets(pool_harness& harness, std::uint32_t random_a,
                    std::uint32_t random_b)
{
    std::vector<pool_target> list;
    for (std::uint32_t id = 0; id < target_count; ++id)
    {
        auto& target = harness.m_targets[id];
        auto const leaving_before = target.m_leaving;
        auto const listed_before = target.m_listed;
        target.m_listed = ((random_a >> id) & 1U) != 0 || random_a % 3 != 0;
        if (!target.m_listed)
        {
            continue;
        }
        target.m_leaving = ((random_b >> id) & 3U) == 3;
        target.m_slots = 1 + static_cast<int>((random_a >> (id + 3)) % 3);
        bool const is_back = leaving_before && !target.m_leaving;
        bool const is_new =
            !listed_before && live_at_target(harness, {id}) == 0;
        target.m_draining = target.m_draining && !is_back && !is_new;
        list.push_back({{id}, target.m_slots, target.m_leaving});
    }
    set_targets(*harness.m_pool, list, harness.m_now, harness.m_budgets,
                harness.m_out);
}

void advance_time(pool_harness& harness, std::uint32_t random_a,
                  std::uint32_t random_b)
{
    harness.m_now +=
        random_a % 4 == 0
            ? duration(milliseconds(random_b % 1500))
            : duration(std::chrono::microseconds(random_b % 20000));
    on_timer(*harness.m_pool, harness.m_now, harness.m_budgets, harness.m_out);
    auto const next = next_timer(*harness.m_pool);
    RC_ASSERT(!next || *next > harness.m_now);
}

void answer_probe(pool_harness& harness, std::uint32_t random_a,
                  std::uint32_t random_b)
{
    if (harness.m_probes.empty())
    {
        return;
    }
    auto const id = harness.m_probes[random_a % harness.m_probes.size()];
    auto* entry = find_target(*harness.m_pool, {id});
    bool const is_draining = random_b % 5 == 0;
    bool const healthy = random_b % 3 != 0;
    if (entry != nullptr && entry->m_probe_pending)
    {
        auto& draining = harness.m_targets.at(id).m_draining;
        draining = is_draining || (draining && !healthy);
    }
    on_probe_answer(*harness.m_pool, {{id}, healthy, is_draining, {}},
                    harness.m_now, harness.m_budgets, harness.m_out);
}

void refuse_spill(pool_harness& harness, std::uint32_t random_a)
{
    std::uint64_t id = 0;
    auto* request = pick_request(harness, random_a, id);
    // The host discards refusals of requests that are not spilled.
    if (request == nullptr || !request->m_is_spilled)
    {
        return;
    }
    request->m_is_spilled = false;
    request->m_answers = 0;
    on_spill_refused(*harness.m_pool,
                     {.m_request = {id},
                      .m_kind = request->m_kind,
                      .m_deadline = request->m_deadline},
                     harness.m_now, harness.m_budgets, harness.m_out);
}

using random_event = std::tuple<std::uint32_t, std::uint32_t, std::uint32_t>;

void run_event(pool_harness& harness, random_event const& event)
{
    auto const [selector, random_a, random_b] = event;
    constexpr std::array failures{
        attempt_outcome::shed,      attempt_outcome::connect_failed,
        attempt_outcome::silent,    attempt_outcome::closed,
        attempt_outcome::malformed, attempt_outcome::server_error,
        attempt_outcome::cancelled, attempt_outcome::misdirected,
        attempt_outcome::not_sent};
    switch (selector % 18)
    {
    case 0:
    case 1:
    case 2:
    case 3:
    case 4:
        arrive(harness, random_a, random_b);
        break;
    case 5:
    case 6:
    case 7:
        end_attempt(harness, random_a, random_b, attempt_outcome::ok);
        break;
    case 8:
    case 9:
    case 16:
        end_attempt(harness, random_a, random_b,
                    failures[random_b % failures.size()]);
        break;
    case 10:
        start_answer(harness, random_a, random_b);
        break;
    case 11:
        cancel(harness, random_a);
        break;
    case 12:
        change_targets(harness, random_a, random_b);
        break;
    case 13:
        answer_probe(harness, random_a, random_b);
        refuse_spill(harness, random_b);
        break;
    case 14:
        on_summary(
            *harness.m_pool,
            {"b", static_cast<int>(random_a % 3), 6, 0, duration::zero()},
            milliseconds(random_b % 5), harness.m_now);
        break;
    default:
        advance_time(harness, random_a, random_b);
        break;
    }
    check_state(harness);
}

/// Ends all attempts and lets all deadlines pass.
void finish_all(pool_harness& harness)
{
    for (auto& [id, request] : harness.m_requests)
    {
        for (std::size_t i = 0; i < request.m_attempts.size(); ++i)
        {
            if (request.m_attempts[i].m_live)
            {
                request.m_attempts[i].m_live = false;
                request.m_attempts[i].m_may_have_run = true;
                on_attempt_ended(*harness.m_pool,
                                 {{id},
                                  static_cast<attempt_number>(i + 1),
                                  attempt_outcome::ok,
                                  {},
                                  false},
                                 harness.m_now, harness.m_budgets,
                                 harness.m_out);
                check_state(harness);
            }
        }
    }
    harness.m_now += std::chrono::seconds(10);
    on_timer(*harness.m_pool, harness.m_now, harness.m_budgets, harness.m_out);
    check_state(harness);
}

std::vector<random_event> generate_events()
{
    return *rc::gen::resize(
        400, rc::gen::container<std::vector<random_event>>(rc::gen::resize(
                 1000000,
                 rc::gen::tuple(rc::gen::inRange<std::uint32_t>(0, 1 << 20),
                                rc::gen::inRange<std::uint32_t>(0, 1 << 20),
                                rc::gen::inRange<std::uint32_t>(0, 1 << 20)))));
}

} // namespace

// Guards against sequences of late, duplicate or unknown answers, failures,
// cancellations, target changes and time steps that violate slot counts, the
// one answer per request, at-most-once execution, budgets, the exclusion of
// leaving targets or the bound on ejections.
TEST_CASE("the pool keeps its invariants over random sequences of events")
{
    CHECK(rc::check(
        []
        {
            auto harness = make_harness();
            change_targets(harness, 0x3f1, 0);
            check_state(harness);
            for (auto const& event : generate_events())
            {
                run_event(harness, event);
            }
            finish_all(harness);
            // The first pass may have dispatched waiting requests.
            finish_all(harness);
            for (auto const& [id, request] : harness.m_requests)
            {
                RC_ASSERT(request.m_cancelled || request.m_answers == 1);
            }
            RC_ASSERT(queue_length(*harness.m_pool) == 0);
            RC_ASSERT(harness.m_pool->m_requests.empty());
        }));
}

} // namespace hawthornspur::core
