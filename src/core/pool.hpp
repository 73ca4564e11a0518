#ifndef HAWTHORNSPUR_CORE_POOL_HPP
#define HAWTHORNSPUR_CORE_POOL_HPP

#include "core/configuration.hpp"
#include "core/ids.hpp"
#include "core/kind_queue.hpp"
#include "core/pool_effects.hpp"
#include "core/retry_budget.hpp"
#include "core/time.hpp"
#include "core/token_bucket.hpp"

#include <cstddef>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace hawthornspur::core
{

/// The owner's state of one pool: queue, slots in use, limits, observations.
/// It lives on the host that owns the pool, from take-over to hand-over. All
/// changes go through the functions below; none of them blocks or reads a
/// clock, and each appends what the host has to do to `out`.
struct pool;

struct pool_deleter
{
    void operator()(pool* p) const noexcept;
};
using pool_ptr = std::unique_ptr<pool, pool_deleter>;

/// Budgets of one service on one host, shared by its pools there.
struct service_budgets
{
    /// Tokens are seconds of target time.
    token_bucket m_probe;
    retry_budget m_retry;
};

/// How the owner came to own the pool. After a crash the predecessor's calls
/// in flight are unknown, so limits start reduced.
enum class pool_start : std::uint8_t
{
    fresh,
    after_crash,
};

struct pool_target
{
    target_id m_id;
    int m_slots = 1;
    bool m_leaving = false;
    /// The target has just started and is slow until then.
    time_point m_cold_until{};
};

struct pool_rules
{
    std::vector<kind_config> m_kinds;
    std::size_t m_max_queue = 1000;
    duration m_probe_cost = std::chrono::milliseconds(6);
    duration m_connection_cost = std::chrono::milliseconds(1);
    queue_order m_order = queue_order::first_come;
};

struct arrival
{
    request_id m_request;
    kind_id m_kind;
    time_point m_deadline;
    /// Attempts that callers further up the chain already made; a request
    /// that is a retry of another host or caller is not retried here.
    int m_earlier_attempts = 0;
    /// A spilled request is refused at once when no slot is free.
    bool m_spilled = false;
    /// Until then an answer has its full value; none when only the deadline
    /// counts.
    std::optional<time_point> m_objective = std::nullopt;
    /// Times that other zones refused the request.
    int m_spill_refusals = 0;
    /// The rules that the caller's request was classified under allow a second
    /// run. It holds whatever the pool's rules say later.
    bool m_may_repeat = true;
};

/// How an attempt ended at its target.
enum class attempt_outcome : std::uint8_t
{
    /// A whole answer; the kind's status rules found nothing wrong.
    ok,
    /// A whole answer with a server error status.
    server_error,
    /// Declared as not run by the target.
    shed,
    connect_failed,
    /// No answer in time on a connection; the connection was closed.
    silent,
    closed,
    malformed,
    cancelled,
};

/// Load that a target reports with an answer or a probe.
struct reported_load
{
    int m_in_flight = 0;
    int m_slots = 0;
    /// Requests that wait at the target for a slot.
    int m_waiting = 0;
    /// How much longer work takes at the moment than usual, 1 being as usual;
    /// nothing from targets that do not tell it.
    std::optional<double> m_slowness = std::nullopt;
};

struct attempt_end
{
    request_id m_request;
    attempt_number m_attempt = 0;
    attempt_outcome m_outcome = attempt_outcome::ok;
    std::optional<reported_load> m_load;
    bool m_draining = false;
};

struct probe_answer
{
    target_id m_target;
    bool m_healthy = false;
    bool m_draining = false;
    std::optional<reported_load> m_load;
};

/// What owners tell each other about their pools for spilling.
struct pool_summary
{
    std::string m_zone;
    int m_free_slots = 0;
    int m_slots = 0;
    std::size_t m_queued = 0;
    duration m_expected_wait{0};
};

/// In-flight counts and limits handed to the next owner in a planned change.
struct target_handover
{
    target_id m_id;
    int m_in_flight = 0;
    double m_limit = 1;
};

pool_ptr make_pool(pool_rules rules, pool_start start, time_point now);

/// Replaces the rules. Kinds are matched by name: a newer document may list
/// them in another order, and requests that wait or run stay what they are.
void set_rules(pool& p, pool_rules rules);

/// The kind with this name, or nothing if the rules do not have it.
std::optional<kind_id> find_kind(pool const& p, std::string_view name);

/// Replaces the list of targets. Targets that are no longer listed or are
/// leaving get no new work; their attempts in flight go on.
void set_targets(pool& p, std::span<pool_target const> targets, time_point now,
                 service_budgets& budgets, pool_effects& out);

void on_arrival(pool& p, arrival const& request, time_point now,
                service_budgets& budgets, pool_effects& out);

/// The head of an answer that may be relayed has arrived. For a hedged
/// request the first one is relayed and the other attempt is cancelled.
void on_answer_started(pool& p, request_id request, attempt_number attempt,
                       time_point now, pool_effects& out);

/// The attempt is over and its slot is free. Unknown requests or attempts are
/// ignored, since answers may arrive late or twice.
void on_attempt_ended(pool& p, attempt_end const& end, time_point now,
                      service_budgets& budgets, pool_effects& out);

/// What a cancellation met.
enum class cancel_result : std::uint8_t
{
    unknown_request,
    before_dispatch,
    after_dispatch,
};

/// The caller went away. The request gets no answer any more; attempts in
/// flight are cancelled and hold their slots until on_attempt_ended.
cancel_result on_cancel(pool& p, request_id request, time_point now,
                        service_budgets& budgets, pool_effects& out);

void on_probe_answer(pool& p, probe_answer const& answer, time_point now,
                     service_budgets& budgets, pool_effects& out);

/// The owner in another zone described its pool; `cost` is the round trip and
/// the extra cost of the link.
void on_summary(pool& p, pool_summary const& summary, duration cost,
                time_point now);

/// A spilled request came back refused as not run; it must be answered here.
void on_spill_refused(pool& p, arrival const& request, time_point now,
                      service_budgets& budgets, pool_effects& out);

void on_timer(pool& p, time_point now, service_budgets& budgets,
              pool_effects& out);

/// When on_timer has to be called next, if at all.
std::optional<time_point> next_timer(pool const& p);

pool_summary summarize(pool const& p, std::string zone, time_point now);

/// Counts of a planned hand-over to the next owner.
std::vector<target_handover> make_handover(pool const& p);

/// Takes over the counts of the previous owner: its calls in flight hold
/// slots until `release_at`.
void apply_handover(pool& p, std::span<target_handover const> counts,
                    time_point release_at, time_point now);

/// When a refused request of this kind may find a slot: the time in which the
/// requests that wait now are expected to be done.
duration retry_after_delay(pool const& p, kind_id kind, time_point now);

std::size_t queue_length(pool const& p) noexcept;
std::size_t in_flight(pool const& p) noexcept;

} // namespace hawthornspur::core

#endif
