#ifndef HAWTHORNSPUR_CORE_POOL_HPP
#define HAWTHORNSPUR_CORE_POOL_HPP

#include "core/configuration.hpp"
#include "core/ids.hpp"
#include "core/kind_queue.hpp"
#include "core/pool_effects.hpp"
#include "core/repeat_budget.hpp"
#include "core/time.hpp"
#include "core/token_bucket.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace hawthornspur::core
{

/// State of one pool on the host that owns it: queue, slots in use, limits and
/// observations of the targets. It exists from the take-over of the pool until
/// its hand-over. The functions below change it; they neither block nor read a
/// clock, and append the actions that the host has to carry out to `out`.
struct pool;

struct pool_deleter
{
    void operator()(pool* pool) const noexcept;
};
using pool_ptr = std::unique_ptr<pool, pool_deleter>;

/// Budgets of one service, shared by all of its pools on this host.
struct service_budgets
{
    /// Tokens are seconds of target time.
    token_bucket m_probe;
    repeat_budget m_repeat;
};

/// How ownership of the pool began. After a crash of the previous owner, the
/// calls that it had in flight are unknown, so limits start reduced.
enum class pool_start : std::uint8_t
{
    fresh,
    after_crash,
};

/// A target as listed by the configuration or its registration.
struct pool_target
{
    target_id m_id;
    int m_slots = 1;
    bool m_leaving = false;
    /// A newly started target is expected to be slow until this time.
    time_point m_cold_until{};
    /// The zone is evacuated. The target is then leaving as well.
    bool m_is_evacuated = false;
};

struct pool_rules
{
    std::vector<kind_config> m_kinds;
    std::size_t m_max_queue = 1000;
    duration m_probe_cost = std::chrono::milliseconds(6);
    duration m_connection_cost = std::chrono::milliseconds(1);
    queue_order m_order = queue_order::first_come;
    /// Requests per second that a cold target takes from all hosts together; 0
    /// means no limit.
    double m_cold_rate = 0;
};

/// A request as it arrives at the owner of the pool.
struct arrival
{
    request_id m_request;
    kind_id m_kind;
    time_point m_deadline;
    /// Attempts that the caller has made before. The pool does not repeat a
    /// request that has any.
    int m_earlier_attempts = 0;
    /// Whether this host decides on attempts beyond the first. Otherwise the
    /// pool makes one attempt at most.
    bool m_decides_on_repeats = true;
    /// Attempts that hosts have made of this request, and the targets of those
    /// whose targets are known. A further attempt has been paid for.
    int m_prior_attempts = 0;
    std::vector<target_id> m_tried_targets = {};
    /// Spilled by another zone; refused at once when no slot is free.
    bool m_spilled = false;
    /// Time by which an answer meets the target latency of the kind; empty if
    /// only the deadline counts.
    std::optional<time_point> m_objective = std::nullopt;
    /// How many times other zones refused the request after a spill.
    int m_spill_refusals = 0;
    /// Whether the rules under which the request was classified allow it to run
    /// more than once. If false, it runs at most once even under newer rules.
    bool m_may_repeat = true;
    content_id m_content = {};
    /// Targets that have ended under requests with this content.
    int m_target_ends = 0;
    /// Empty if the request needs no access key.
    std::optional<customer_id> m_customer = std::nullopt;
    /// Of the customer, 0 is the most urgent. Unused without a customer.
    int m_customer_priority = 0;
};

/// How an attempt ended at its target.
enum class attempt_outcome : std::uint8_t
{
    /// A complete answer without a server error status.
    ok,
    /// A complete answer with a server error status.
    server_error,
    /// The target declared that it did not run the request.
    shed,
    /// No byte of the request reached a target.
    connect_failed,
    /// This host could not send the request, which says nothing about the
    /// target.
    not_sent,
    /// Another target has the address and declared that it did not run the
    /// request.
    misdirected,
    /// No answer within the time limit; the connection was closed.
    silent,
    closed,
    malformed,
    cancelled,
};

/// Load that a target reports with its answer to a request or a probe.
struct reported_load
{
    int m_in_flight = 0;
    int m_slots = 0;
    /// Requests queued at the target.
    int m_waiting = 0;
    /// Current processing time relative to the usual one, 1 being as usual;
    /// empty if the target does not report it.
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
    std::optional<reported_load> m_load = std::nullopt;
    /// Set if this host could not send the probe or got the answer to another
    /// request; only the target is then used.
    bool m_is_unsent = false;
    /// How much longer the target is cold, as it reports; empty if it does not.
    std::optional<duration> m_cold_left = std::nullopt;
};

/// State of a pool that its owner sends to owners of the same service's pools
/// in other zones, which base spill decisions on it.
struct pool_summary
{
    std::string m_zone;
    int m_free_slots = 0;
    int m_slots = 0;
    std::size_t m_queued = 0;
    duration m_expected_wait{0};
};

/// Attempts in flight and limit of one target, sent to the next owner in a
/// planned change of ownership.
struct target_handover
{
    target_id m_id;
    int m_in_flight = 0;
    double m_limit = 1;
};

pool_ptr make_pool(pool_rules rules, pool_start start, time_point now);

/// Replaces the rules. Kinds are matched by name, since a newer document may
/// list them in another order; queued and running requests keep their kind.
void set_rules(pool& pool, pool_rules rules);

/// The kind with this name, or empty if the rules have none.
std::optional<kind_id> find_kind(pool const& pool, std::string_view name);

/// Replaces the list of targets. Targets that are no longer listed or are
/// leaving get no new attempts; their attempts in flight continue.
void set_targets(pool& pool, std::span<pool_target const> targets,
                 time_point now, service_budgets& budgets, pool_effects& out);

/// Dispatches, queues, spills or refuses a new request. Ignored if a request
/// with this id is already in the pool.
void on_arrival(pool& pool, arrival const& request, time_point now,
                service_budgets& budgets, pool_effects& out);

/// Called when the head of an answer has arrived and can be relayed. The first
/// such answer of a request is relayed; its other attempts are cancelled.
void on_answer_started(pool& pool, request_id request, attempt_number attempt,
                       time_point now, pool_effects& out);

/// Called when an attempt has ended; its slot becomes free. Unknown requests
/// and attempts are ignored, since answers may arrive late or twice.
void on_attempt_ended(pool& pool, attempt_end const& end, time_point now,
                      service_budgets& budgets, pool_effects& out);

/// Progress of a request at the time of its cancellation.
enum class cancel_result : std::uint8_t
{
    unknown_request,
    before_dispatch,
    after_dispatch,
};

/// Called when the caller has gone away. The request gets no answer; attempts
/// in flight are cancelled and hold their slots until on_attempt_ended.
cancel_result on_cancel(pool& pool, request_id request, time_point now,
                        service_budgets& budgets, pool_effects& out);

void on_probe_answer(pool& pool, probe_answer const& answer, time_point now,
                     service_budgets& budgets, pool_effects& out);

/// Stores the summary of the service's pool in another zone. `cost` is the
/// round trip to that zone plus the extra cost of the link.
void on_summary(pool& pool, pool_summary const& summary, duration cost,
                time_point now);

/// Refuses the waiting requests with this content, which is now suspected to
/// crash targets. Those in flight get no further attempt.
void refuse_suspects(pool& pool, content_id content, time_point now,
                     pool_effects& out);

/// Called when another zone refused a spilled request without running it. The
/// request is admitted to this pool or refused.
void on_spill_refused(pool& pool, arrival const& request, time_point now,
                      service_budgets& budgets, pool_effects& out);

/// Handles the deadlines, hedges, ejections and probes that are due.
void on_timer(pool& pool, time_point now, service_budgets& budgets,
              pool_effects& out);

/// Time at which on_timer has to be called next; empty if there is none.
std::optional<time_point> next_timer(pool const& pool);

/// The summary for owners in other zones; `zone` is the zone of this pool.
pool_summary summarize(pool const& pool, std::string zone, time_point now);

/// Counts and limits for the next owner.
std::vector<target_handover> make_handover(pool const& pool);

/// Applies the counts and limits of the previous owner. Its attempts in flight
/// occupy slots until `release_at`.
void apply_handover(pool& pool, std::span<target_handover const> handover,
                    time_point release_at, time_point now);

/// Delay after which a refused request of this kind should be retried: the
/// expected wait for a slot, clamped to 50 ms to 2 s.
duration retry_after_delay(pool const& pool, kind_id kind, time_point now);

/// Delay after which the caller of a refused request should retry. If the
/// request names a customer, the delay follows the measured rate of starts and
/// the returns promised to others, and the return is promised unless the caller
/// has returned before; 50 ms if no useful time is free. Otherwise the same as
/// for the kind.
duration retry_after_delay(pool& pool, arrival const& request, time_point now);

/// Counters of a pool for customers of one priority, from the start of the pool
/// on this host.
struct rank_counters
{
    std::uint64_t m_starts = 0;
    /// Sum of the times that started requests have waited.
    duration m_waited{0};
    std::map<result_code, std::uint64_t> m_refusals;
};

/// Number of priorities of customers; 0 is the most urgent.
constexpr std::size_t customer_priority_count = 10;

struct sharing_counters
{
    std::array<rank_counters, customer_priority_count> m_by_priority;
    std::uint64_t m_returns_promised = 0;
    /// Callers that came back within 100 ms of a promised time. Callers are not
    /// told apart.
    std::uint64_t m_returns_kept = 0;
};

/// All zero in a pool whose requests name no customer.
sharing_counters read_sharing_counters(pool const& pool);

/// Requests waiting for a slot, including retries.
std::size_t queue_length(pool const& pool) noexcept;
/// Attempts in flight at all targets.
std::size_t in_flight(pool const& pool) noexcept;

} // namespace hawthornspur::core

#endif
