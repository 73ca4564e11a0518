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

// Small enough that probes are due more often than the budget allows them.
constexpr double probe_rate = 0.004;
constexpr double retry_ratio = 1;
constexpr double retry_burst = 5;
constexpr std::uint32_t target_count = 6;
constexpr kind_id at_most_once_kind{0};
constexpr kind_id limited_kind{2};
constexpr double limited_share = 0.4;

struct attempt_model
{
    target_id m_target;
    bool m_live = true;
    /// Whether the attempt has ended in a way that may have run.
    bool m_may_have_run = false;
};

struct request_model
{
    kind_id m_kind;
    time_point m_deadline;
    std::vector<attempt_model> m_attempts;
    int m_answers = 0;
    bool m_cancelled = false;
    bool m_spilled_here = false;
    bool m_spilled_away = false;
    /// At another owner now.
    bool m_is_away = false;
};

struct target_model
{
    int m_slots = 0;
    bool m_listed = false;
    bool m_leaving = false;
    bool m_draining = false;
    /// Last whole answer.
    time_point m_answered{};
};

/// The pool and what a host and its targets know about it. Each effect is
/// checked against the rules of the design when it appears.
struct harness
{
    pool_ptr m_pool;
    service_budgets m_budgets;
    time_point m_start{std::chrono::hours(1)};
    time_point m_now{m_start};
    pool_effects m_out;
    std::map<std::uint64_t, request_model> m_requests;
    std::map<std::uint32_t, target_model> m_targets;
    std::vector<std::uint32_t> m_probes;
    double m_probe_seconds = 0;
    double m_successes = 0;
    double m_repeats = 0;
};

pool_rules make_rules()
{
    kind_config once;
    once.m_name = "claim";
    once.m_priority = 2;
    // Ignored for a kind that may run only once.
    once.m_hedge = true;
    kind_config repeatable;
    repeatable.m_name = "look-up";
    repeatable.m_execution = execution_rule::idempotent;
    repeatable.m_hedge = true;
    kind_config limited;
    limited.m_name = "report";
    limited.m_execution = execution_rule::idempotent;
    limited.m_max_share = limited_share;
    limited.m_share_declared = true;
    pool_rules rules;
    rules.m_kinds = {once, repeatable, limited};
    rules.m_max_queue = 12;
    return rules;
}

harness make_harness()
{
    harness h;
    h.m_pool = make_pool(make_rules(), pool_start::fresh, h.m_now);
    h.m_budgets.m_probe = make_token_bucket(probe_rate, 1, h.m_now);
    h.m_budgets.m_retry.m_ratio = retry_ratio;
    h.m_budgets.m_retry.m_burst = retry_burst;
    return h;
}

int live_at_target(harness const& h, target_id target)
{
    int live = 0;
    for (auto const& [id, request] : h.m_requests)
    {
        for (auto const& attempt : request.m_attempts)
        {
            live += attempt.m_live && attempt.m_target == target ? 1 : 0;
        }
    }
    return live;
}

int live_of_kind(harness const& h, kind_id kind)
{
    int live = 0;
    for (auto const& [id, request] : h.m_requests)
    {
        for (auto const& attempt : request.m_attempts)
        {
            live += attempt.m_live && request.m_kind == kind ? 1 : 0;
        }
    }
    return live;
}

int present_slots(harness const& h)
{
    int slots = 0;
    for (auto const& [id, target] : h.m_targets)
    {
        bool const is_present =
            target.m_listed && !target.m_leaving && !target.m_draining;
        slots += is_present ? target.m_slots : 0;
    }
    return slots;
}

void check(harness& h, dispatch_effect const& effect)
{
    auto& request = h.m_requests.at(effect.m_request.m_value);
    auto const& target = h.m_targets.at(effect.m_target.m_value);
    RC_ASSERT(request.m_answers == 0 && !request.m_cancelled);
    RC_ASSERT(target.m_listed && !target.m_leaving && !target.m_draining);
    RC_ASSERT(live_at_target(h, effect.m_target) < target.m_slots);
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
        RC_ASSERT(
            live_of_kind(h, limited_kind) <
            std::max(1, static_cast<int>(limited_share * present_slots(h))));
    }
    h.m_repeats += effect.m_reason == attempt_reason::first ? 0 : 1;
    RC_ASSERT(h.m_repeats <= retry_ratio * h.m_successes + 1e-6);
    request.m_attempts.push_back({effect.m_target});
}

void check(harness& h, refuse_effect const& effect)
{
    auto& request = h.m_requests.at(effect.m_request.m_value);
    RC_ASSERT(request.m_answers == 0 && !request.m_cancelled);
    ++request.m_answers;
    if (info(effect.m_code).m_execution == execution::not_run)
    {
        for (auto const& attempt : request.m_attempts)
        {
            RC_ASSERT(!attempt.m_live && !attempt.m_may_have_run);
        }
    }
    // A refused spill goes back to the owner that sent it.
    RC_ASSERT(effect.m_code != result_code::spill_refused ||
              request.m_spilled_here);
}

void check(harness& h, relay_effect const& effect)
{
    auto& request = h.m_requests.at(effect.m_request.m_value);
    RC_ASSERT(request.m_answers == 0 && !request.m_cancelled);
    RC_ASSERT(effect.m_attempt <= request.m_attempts.size());
    ++request.m_answers;
}

void check(harness& h, cancel_attempt_effect const& effect)
{
    auto const& request = h.m_requests.at(effect.m_request.m_value);
    auto const& attempt = request.m_attempts.at(effect.m_attempt - 1);
    RC_ASSERT(attempt.m_live && attempt.m_target == effect.m_target);
}

void check(harness& h, spill_effect const& effect)
{
    auto& request = h.m_requests.at(effect.m_request.m_value);
    RC_ASSERT(request.m_answers == 0 && request.m_attempts.empty());
    RC_ASSERT(!request.m_spilled_here && !request.m_spilled_away);
    request.m_spilled_away = true;
    request.m_is_away = true;
    ++request.m_answers;
}

void check(harness& h, probe_effect const& effect)
{
    auto const& target = h.m_targets.at(effect.m_target.m_value);
    RC_ASSERT(target.m_listed && !target.m_leaving);
    RC_ASSERT(h.m_now - target.m_answered >= std::chrono::seconds(1));
    h.m_probes.push_back(effect.m_target.m_value);
    h.m_probe_seconds += 0.007;
    auto const elapsed = seconds(h.m_now - h.m_start).count();
    RC_ASSERT(h.m_probe_seconds <= probe_rate * elapsed + 1e-9);
}

/// Invariants of the state after each step.
void check_state(harness& h)
{
    for (auto const& effect : std::exchange(h.m_out, {}))
    {
        std::visit([&](auto const& e) { check(h, e); }, effect);
    }
    std::size_t live = 0;
    int present = 0;
    int ejected = 0;
    for (auto const& target : h.m_pool->m_targets)
    {
        live += static_cast<std::size_t>(live_at_target(h, target.m_spec.m_id));
        RC_ASSERT(target.m_in_flight == live_at_target(h, target.m_spec.m_id));
        if (!is_leaving(target))
        {
            ++present;
            ejected += target.m_outlier.m_ejected ? 1 : 0;
        }
    }
    RC_ASSERT(in_flight(*h.m_pool) == live);
    RC_ASSERT(2 * ejected <= present);
}

void arrive(harness& h, std::uint32_t a, std::uint32_t b)
{
    auto const id = h.m_requests.size() + 1;
    request_model request;
    request.m_kind = {a % 3};
    request.m_deadline = h.m_now + milliseconds(b % 400);
    request.m_spilled_here = b % 11 == 0;
    h.m_requests[id] = request;
    on_arrival(*h.m_pool,
               {.m_request = {id},
                .m_kind = request.m_kind,
                .m_deadline = request.m_deadline,
                .m_earlier_attempts = b % 7 == 0 ? 1 : 0,
                .m_spilled = request.m_spilled_here},
               h.m_now, h.m_budgets, h.m_out);
}

request_model* pick_request(harness& h, std::uint32_t a, std::uint64_t& id)
{
    if (h.m_requests.empty())
    {
        return nullptr;
    }
    id = h.m_requests.size() -
         a % std::min<std::size_t>(h.m_requests.size(), 15);
    return &h.m_requests.at(id);
}

void start_answer(harness& h, std::uint32_t a, std::uint32_t b)
{
    std::uint64_t id = 0;
    if (pick_request(h, a, id) != nullptr)
    {
        on_answer_started(*h.m_pool, {id}, b % 5, h.m_now, h.m_out);
    }
}

/// Ends an attempt that may be live, over, or never made.
void end_attempt(harness& h, std::uint32_t a, std::uint32_t b,
                 attempt_outcome outcome)
{
    std::uint64_t id = 0;
    auto* request = pick_request(h, a, id);
    if (request == nullptr)
    {
        on_attempt_ended(*h.m_pool, {{77}, 1, outcome, {}, false}, h.m_now,
                         h.m_budgets, h.m_out);
        return;
    }
    auto const number = b % (request->m_attempts.size() + 2);
    bool const drains = b % 31 == 0;
    bool const known = number >= 1 && number <= request->m_attempts.size() &&
                       request->m_attempts[number - 1].m_live;
    if (known)
    {
        auto& attempt = request->m_attempts[number - 1];
        attempt.m_live = false;
        attempt.m_may_have_run = !is_certainly_not_run(outcome);
        h.m_targets.at(attempt.m_target.m_value).m_draining |= drains;
        h.m_successes += outcome == attempt_outcome::ok ? 1 : 0;
        if (outcome == attempt_outcome::ok)
        {
            h.m_targets.at(attempt.m_target.m_value).m_answered = h.m_now;
        }
    }
    reported_load const load{static_cast<int>(b % 9), static_cast<int>(b % 4)};
    on_attempt_ended(
        *h.m_pool,
        {{id}, static_cast<attempt_number>(number), outcome, load, drains},
        h.m_now, h.m_budgets, h.m_out);
}

void cancel(harness& h, std::uint32_t a)
{
    std::uint64_t id = 0;
    auto* request = pick_request(h, a, id);
    if (request == nullptr || request->m_cancelled || request->m_is_away)
    {
        return;
    }
    on_cancel(*h.m_pool, {id}, h.m_now, h.m_budgets, h.m_out);
    // The cancelled attempts are checked before the model forgets the caller.
    check_state(h);
    request->m_cancelled = true;
}

void change_targets(harness& h, std::uint32_t a, std::uint32_t b)
{
    std::vector<pool_target> list;
    for (std::uint32_t id = 0; id < target_count; ++id)
    {
        auto& target = h.m_targets[id];
        auto const leaving_before = target.m_leaving;
        auto const listed_before = target.m_listed;
        target.m_listed = ((a >> id) & 1U) != 0 || a % 3 != 0;
        if (!target.m_listed)
        {
            continue;
        }
        target.m_leaving = ((b >> id) & 3U) == 3;
        target.m_slots = 1 + static_cast<int>((a >> (id + 3)) % 3);
        bool const is_back = leaving_before && !target.m_leaving;
        bool const is_new = !listed_before && live_at_target(h, {id}) == 0;
        target.m_draining = target.m_draining && !is_back && !is_new;
        list.push_back({{id}, target.m_slots, target.m_leaving});
    }
    set_targets(*h.m_pool, list, h.m_now, h.m_budgets, h.m_out);
}

void advance(harness& h, std::uint32_t a, std::uint32_t b)
{
    h.m_now += a % 4 == 0 ? duration(milliseconds(b % 1500))
                          : duration(std::chrono::microseconds(b % 20000));
    on_timer(*h.m_pool, h.m_now, h.m_budgets, h.m_out);
    auto const next = next_timer(*h.m_pool);
    RC_ASSERT(!next || *next > h.m_now);
}

void answer_probe(harness& h, std::uint32_t a, std::uint32_t b)
{
    if (h.m_probes.empty())
    {
        return;
    }
    auto const id = h.m_probes[a % h.m_probes.size()];
    auto* entry = find_target(*h.m_pool, {id});
    bool const drains = b % 5 == 0;
    bool const healthy = b % 3 != 0;
    if (entry != nullptr && entry->m_probe_pending)
    {
        auto& draining = h.m_targets.at(id).m_draining;
        draining = drains || (draining && !healthy);
    }
    on_probe_answer(*h.m_pool, {{id}, healthy, drains, {}}, h.m_now,
                    h.m_budgets, h.m_out);
}

void refuse_spill(harness& h, std::uint32_t a)
{
    std::uint64_t id = 0;
    auto* request = pick_request(h, a, id);
    // The host drops an answer from another owner that it does not expect.
    if (request == nullptr || !request->m_is_away)
    {
        return;
    }
    request->m_is_away = false;
    request->m_answers = 0;
    on_spill_refused(*h.m_pool,
                     {.m_request = {id},
                      .m_kind = request->m_kind,
                      .m_deadline = request->m_deadline},
                     h.m_now, h.m_budgets, h.m_out);
}

using step = std::tuple<std::uint32_t, std::uint32_t, std::uint32_t>;

void run_step(harness& h, step const& s)
{
    auto const [what, a, b] = s;
    constexpr std::array failures{
        attempt_outcome::shed,      attempt_outcome::connect_failed,
        attempt_outcome::silent,    attempt_outcome::closed,
        attempt_outcome::malformed, attempt_outcome::server_error,
        attempt_outcome::cancelled};
    switch (what % 18)
    {
    case 0:
    case 1:
    case 2:
    case 3:
    case 4:
        arrive(h, a, b);
        break;
    case 5:
    case 6:
    case 7:
        end_attempt(h, a, b, attempt_outcome::ok);
        break;
    case 8:
    case 9:
    case 16:
        end_attempt(h, a, b, failures[b % failures.size()]);
        break;
    case 10:
        start_answer(h, a, b);
        break;
    case 11:
        cancel(h, a);
        break;
    case 12:
        change_targets(h, a, b);
        break;
    case 13:
        answer_probe(h, a, b);
        refuse_spill(h, b);
        break;
    case 14:
        on_summary(*h.m_pool,
                   {"b", static_cast<int>(a % 3), 6, 0, duration::zero()},
                   milliseconds(b % 5), h.m_now);
        break;
    default:
        advance(h, a, b);
        break;
    }
    check_state(h);
}

/// Ends all attempts and lets all deadlines pass.
void finish_all(harness& h)
{
    for (auto& [id, request] : h.m_requests)
    {
        for (std::size_t i = 0; i < request.m_attempts.size(); ++i)
        {
            if (request.m_attempts[i].m_live)
            {
                request.m_attempts[i].m_live = false;
                request.m_attempts[i].m_may_have_run = true;
                ++h.m_successes;
                on_attempt_ended(*h.m_pool,
                                 {{id},
                                  static_cast<attempt_number>(i + 1),
                                  attempt_outcome::ok,
                                  {},
                                  false},
                                 h.m_now, h.m_budgets, h.m_out);
                check_state(h);
            }
        }
    }
    h.m_now += std::chrono::seconds(10);
    on_timer(*h.m_pool, h.m_now, h.m_budgets, h.m_out);
    check_state(h);
}

std::vector<step> any_steps()
{
    return *rc::gen::resize(
        400, rc::gen::container<std::vector<step>>(rc::gen::resize(
                 1000000,
                 rc::gen::tuple(rc::gen::inRange<std::uint32_t>(0, 1 << 20),
                                rc::gen::inRange<std::uint32_t>(0, 1 << 20),
                                rc::gen::inRange<std::uint32_t>(0, 1 << 20)))));
}

} // namespace

// Guards against sequences of late, doubled and unknown answers, losses,
// cancellations, target changes and steps of time that break a slot count, an
// answer, an at-most-once kind, a budget, a leaving target or the bound on
// ejections.
TEST_CASE("the pool keeps its rules over random sequences of events")
{
    CHECK(rc::check(
        []
        {
            auto h = make_harness();
            change_targets(h, 0x3f1, 0);
            check_state(h);
            for (auto const& s : any_steps())
            {
                run_step(h, s);
            }
            finish_all(h);
            // Attempts bound while the others ended are live again.
            finish_all(h);
            for (auto const& [id, request] : h.m_requests)
            {
                RC_ASSERT(request.m_cancelled || request.m_answers == 1);
            }
            RC_ASSERT(queue_length(*h.m_pool) == 0);
            RC_ASSERT(h.m_pool->m_requests.empty());
        }));
}

} // namespace hawthornspur::core
