#ifndef HAWTHORNSPUR_CORE_POOL_STATE_HPP
#define HAWTHORNSPUR_CORE_POOL_STATE_HPP

#include "core/advertised_rate.hpp"
#include "core/fair_share.hpp"
#include "core/kind_queue.hpp"
#include "core/outlier_detection.hpp"
#include "core/pool.hpp"
#include "core/return_schedule.hpp"
#include "core/second_run.hpp"
#include "core/service_time.hpp"
#include "core/slowness_estimate.hpp"
#include "core/spill_choice.hpp"
#include "core/target_limit.hpp"
#include "core/timer_heap.hpp"

#include <absl/container/flat_hash_map.h>
#include <absl/hash/hash.h>

#include <array>
#include <cstdint>
#include <vector>

namespace hawthornspur::core
{

/// Maximum number of attempts of one request by this owner, including hedges.
constexpr std::size_t max_attempts = 4;

/// A slot that counts as taken after an attempt failed, until the time at which
/// the attempt would usually have ended.
struct held_slot
{
    time_point m_until;
};

struct target_entry
{
    pool_target m_spec;
    bool m_listed = true;
    /// Announced by the target itself. Reset when a probe answer or the list of
    /// targets shows that the target is back.
    bool m_draining = false;
    bool m_probe_pending = false;
    /// The pending probe could not be sent; the next one waits for its timeout.
    bool m_is_probe_unsent = false;
    int m_in_flight = 0;
    /// Of these, attempts of requests that have lost a target before.
    int m_accused_in_flight = 0;
    /// Attempts of the previous owner that may still run.
    int m_inherited_in_flight = 0;
    time_point m_inherited_until{};
    target_limit m_limit;
    outlier_state m_outlier;
    /// Share of the target's slots in use, as last reported by the target.
    double m_reported_utilization = 0;
    slowness_estimate m_slowness_estimate;
    /// Moving average of the share of attempts that the target refused although
    /// it reported free slots.
    double m_refusal_share = 0;
    time_point m_last_dispatch{};
    /// Last successful answer, refusal or healthy probe.
    time_point m_last_answer{};
    time_point m_first_listed{};
    time_point m_last_probe{};
    std::vector<held_slot> m_held_slots;
    advertised_rate m_rate;
};

struct attempt_entry
{
    target_id m_target;
    time_point m_dispatched_at{};
    bool m_live = false;
    /// Counted in m_accused_in_flight of its target.
    bool m_is_accused = false;
    /// Slowness expected at dispatch.
    double m_expected_slowness = 1;
};

struct request_entry
{
    arrival m_arrival;
    std::array<attempt_entry, max_attempts> m_attempts;
    /// Number of attempts made, which is also the number of the last one.
    attempt_number m_attempt_count = 0;
    std::uint64_t m_sequence = 0;
    /// Determined by the rules in force at arrival.
    bool m_idempotent = false;
    /// Gets a second attempt when the first one takes unusually long.
    bool m_hedge_on_delay = false;
    /// Gets a second attempt when the target of the first one becomes slow.
    bool m_hedge_on_slow_target = false;
    /// Has a second attempt because the first one runs long.
    bool m_has_second_run = false;
    bool m_queued = false;
    bool m_answered = false;
    /// Reason of the next attempt while the request waits for a retry.
    attempt_reason m_retry_reason = attempt_reason::first;
    result_code m_last_code = result_code::ok;
    /// An attempt that may have run ended without an answer, so the request can
    /// no longer be refused as not run.
    bool m_may_have_run = false;
    /// The content became suspected after the request had arrived.
    bool m_is_suspected = false;
    /// Attempts that did not reach a target.
    int m_unsent_attempts = 0;
    /// Attempts whose connection was lost. Their targets may have crashed.
    int m_lost_attempts = 0;
    result_code m_may_have_run_code = result_code::ok;
};

/// State of one kind of request in the pool.
struct kind_entry
{
    kind_config m_config;
    service_time m_service_time;
    int m_in_flight = 0;
    /// Empty while the pool shares its slots among customers.
    kind_queue m_queue;
    /// Requests of this kind that wait in flows of customers.
    std::size_t m_waiting_in_flows = 0;
    second_run_record m_second_runs;
};

struct request_hash
{
    std::size_t operator()(request_id id) const noexcept
    {
        return absl::HashOf(id.m_value);
    }
};

using request_map =
    absl::flat_hash_map<request_id, request_entry, request_hash>;

struct pool
{
    pool_rules m_rules;
    pool_start m_start = pool_start::fresh;
    bool m_targets_known = false;
    /// At least one target has reported its slowness. The targets of a service
    /// either all report it or none does.
    bool m_targets_report_slowness = false;
    std::vector<target_entry> m_targets;
    /// Part of the targets' advertised rate limits that this host may use.
    double m_rate_share = 1;
    std::vector<kind_entry> m_kinds;
    request_map m_requests;
    /// Requests that wait for a retry. They are dispatched before others, since
    /// they have waited longest; the retry budget bounds their number.
    std::vector<request_id> m_retry_queue;
    /// Set by the first request that names a customer. Waiting requests are
    /// then in m_share instead of the queues of their kinds.
    bool m_is_shared_by_customer = false;
    fair_share m_share;
    return_schedule m_returns;
    std::array<rank_counters, customer_priority_count> m_rank_counters;
    /// Requests that wait for their first attempt, in all queues.
    std::size_t m_queued_count = 0;
    std::uint64_t m_next_sequence = 0;
    service_time m_service_time;
    timer_heap m_timers;
    time_point m_next_probe_check{};
    /// An idle pool probes its targets less often.
    time_point m_last_arrival{};
    /// Set while a request waits for a fast target although a slow one has a
    /// free slot.
    time_point m_next_dispatch_check = time_point::max();
    std::vector<spill_option> m_spill_options;
    /// Moving average of the number of free slots at the time of an arrival.
    double m_mean_free_slots = 0;
    /// Received from the previous owner.
    std::vector<target_handover> m_handover;
    time_point m_handover_until = time_point::max();
    /// Buffer for computing medians without allocation.
    std::vector<double> m_scratch;
};

target_entry* find_target(pool& pool, target_id id);

/// Whether the target may get new attempts, regardless of free slots.
bool is_usable(target_entry const& target);

/// Whether the target is no longer listed, is listed as leaving or has
/// announced that it is draining.
bool is_leaving(target_entry const& target);

/// Slots of the target that are available for dispatch; none while the rate
/// limit that it advertises does not allow a request.
int free_slots(target_entry const& target, time_point now);

/// Slots of the target that can be in use at the same time under its limits.
int usable_slots(pool const& pool, target_entry const& target);

struct slot_count
{
    int m_free = 0;
    /// Free slots of targets that are not on trial, do not report slowness and
    /// whose last attempt did not fail.
    int m_healthy_free = 0;
    int m_limit = 0;
    /// Slots of targets that are not leaving, including ejected ones.
    int m_slots = 0;
    /// Usable slots weighted by the expected speed of their targets, so that
    /// slots of slow targets count less.
    double m_effective = 0;
};
slot_count count_slots(pool const& pool, time_point now);

/// Number of slots that a kind may hold, at least 1. `slots` is the number of
/// slots of the pool.
int kind_cap(pool const& pool, kind_entry const& kind, int slots);

/// How long a request of this kind would wait for a slot if it arrived now, or
/// duration::max() if the pool has no usable target.
duration expected_wait(pool const& pool, kind_entry const& kind,
                       time_point now);

/// The same for a new request. In a pool that shares its slots among customers,
/// the requests that go before it by its flow count.
duration expected_wait(pool const& pool, arrival const& request,
                       time_point now);

/// Medians over the targets of the pool, which individual targets are compared
/// with.
struct pool_median
{
    double m_log_slowness = 0;
    double m_deviation = 0;
};
pool_median compute_median(pool& pool, time_point now);

/// Whether the target is significantly slower than the median of its pool or
/// reports that it is slow.
bool is_slow(target_entry const& target, pool_median const& median,
             time_point now);

/// Answers the request with a result code and erases it unless attempts are
/// still in flight. If an earlier attempt may have run, a code that says that
/// the request did not run is replaced by the code of that attempt.
void refuse(pool& pool, request_map::iterator request, result_code code,
            pool_effects& out);

/// Removes a waiting request from its queue.
void remove_from_queue(pool& pool, request_entry const& request);

/// Targets that may have crashed under this request or others with the same
/// content.
int count_target_ends(request_entry const& request);

/// Attempts of the request that are in flight.
std::size_t count_live_attempts(request_entry const& request);

/// Cancels all attempts in flight except number `excepted` (0 for none).
void cancel_attempts(request_entry const& request, attempt_number excepted,
                     pool_effects& out);

/// Ejects the target unless half of the pool is already ejected.
void eject_if_allowed(pool& pool, target_entry& target, time_point now);

/// Readmits targets until at most half of the pool is ejected, which a removal
/// of targets can exceed.
void enforce_ejection_bound(pool& pool);

/// Removes targets that are no longer listed and have no attempt in flight.
void remove_unlisted_targets(pool& pool);

} // namespace hawthornspur::core

#endif
