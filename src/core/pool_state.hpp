#ifndef HAWTHORNSPUR_CORE_POOL_STATE_HPP
#define HAWTHORNSPUR_CORE_POOL_STATE_HPP

#include "core/kind_queue.hpp"
#include "core/outlier_detection.hpp"
#include "core/pool.hpp"
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

/// Attempts of one request on this owner, hedges included.
constexpr std::size_t max_attempts = 4;

/// A slot that is counted as taken although no attempt of this owner holds
/// it: after a failure, until the work would usually have ended.
struct held_slot
{
    time_point m_until;
};

struct target_entry
{
    pool_target m_spec;
    bool m_listed = true;
    /// Announced by the target itself; lasts until a probe answer or the list
    /// of targets says otherwise.
    bool m_draining = false;
    bool m_probe_pending = false;
    int m_in_flight = 0;
    /// Attempts of the previous owner that may still run.
    int m_inherited = 0;
    time_point m_inherited_until{};
    target_limit m_limit;
    outlier_state m_outlier;
    /// Last load that the target reported with an answer, as a share.
    double m_reported_utilization = 0;
    target_speed m_speed;
    /// Moving share of attempts that the target refused although it had slots
    /// free.
    double m_refusal_share = 0;
    time_point m_dispatched{};
    /// Last answer, to a request or a probe.
    time_point m_heard{};
    time_point m_first_listed{};
    time_point m_probed{};
    std::vector<held_slot> m_held;
};

struct attempt_entry
{
    target_id m_target;
    time_point m_dispatched{};
    bool m_live = false;
    /// Slowness that the target was known to have at dispatch.
    double m_slowness = 1;
};

struct request_entry
{
    arrival m_arrival;
    std::array<attempt_entry, max_attempts> m_attempts;
    /// Attempts made; the number of the last one.
    attempt_number m_count = 0;
    std::uint64_t m_sequence = 0;
    /// Rules that the request arrived under.
    bool m_idempotent = false;
    bool m_hedge = false;
    /// Gets a second attempt when its target turns slow under it.
    bool m_hedges_slow = false;
    bool m_queued = false;
    bool m_answered = false;
    /// Set for a request that waits for its next attempt.
    attempt_reason m_reason = attempt_reason::first;
    result_code m_last_code = result_code::ok;
    /// An attempt that may have run ended without an answer; the request can
    /// no longer be refused as not run.
    bool m_may_have_run = false;
    result_code m_may_have_run_code = result_code::ok;
};

/// State of one kind of request in the pool.
struct kind_entry
{
    kind_config m_config;
    service_time m_times;
    int m_in_flight = 0;
    kind_queue m_queue;
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
    /// A target has told how fast it works, as all of a service do or do not.
    bool m_tells_speed = false;
    std::vector<target_entry> m_targets;
    std::vector<kind_entry> m_kinds;
    request_map m_requests;
    /// Requests that wait for their next attempt. They go first, since they
    /// have waited longest; the retry budget bounds their number.
    std::vector<request_id> m_retries;
    std::size_t m_queued = 0;
    std::uint64_t m_next_sequence = 0;
    service_time m_times;
    timer_heap m_timers;
    time_point m_next_probe_check{};
    /// Last arrival; an idle pool asks its targets less often.
    time_point m_last_arrival{};
    /// Set while a request waits although a slow target has a free slot.
    time_point m_bind_again = time_point::max();
    std::vector<spill_option> m_spill;
    /// Moving average of the free slots that arrivals found.
    double m_mean_free = 0;
    std::vector<target_handover> m_inherited;
    time_point m_inherited_until = time_point::max();
    /// Reused to find the median without allocation.
    std::vector<double> m_scratch;
};

target_entry* find_target(pool& p, target_id id);

/// A target that may get new work, whether or not it has a free slot.
bool is_usable(target_entry const& target);

/// Gone from the list or leaving by any sign.
bool is_leaving(target_entry const& target);

/// Slots that the owner may use now.
int free_slots(target_entry const& target, time_point now);

struct slot_count
{
    int m_free = 0;
    /// Free slots of targets whose last attempt did not fail.
    int m_healthy_free = 0;
    int m_limit = 0;
    /// All slots of targets that are not leaving.
    int m_slots = 0;
    /// Work that usable slots do in the time in which one usual slot does one
    /// request: slots of slow targets count for less.
    double m_effective = 0;
};
slot_count count_slots(pool const& p, time_point now);

/// Slots that a kind may hold.
int kind_cap(pool const& p, kind_entry const& kind, int slots);

/// How long a request of this kind would wait for a slot if it arrived now;
/// the largest duration if the pool has no usable target.
duration expected_wait(pool const& p, kind_entry const& kind, time_point now);

/// What the targets of the pool are compared with.
struct pool_median
{
    double m_log_slowness = 0;
    double m_deviation = 0;
};
pool_median find_median(pool& p, time_point now);

/// Whether the target is slower than its pool beyond what chance explains, or
/// says that it is slow at the moment.
bool is_slow(target_entry const& target, pool_median const& median,
             time_point now);

/// Answers the request with a code and forgets it unless attempts are still
/// in flight. `may_have_run` replaces a code that would deny it.
void refuse(pool& p, request_map::iterator request, result_code code,
            pool_effects& out);

/// Takes a waiting request out of the queue.
void remove_from_queue(pool& p, request_entry const& request);

std::size_t live_attempts(request_entry const& request);

/// Cancels all attempts in flight but `kept`.
void cancel_attempts(request_entry const& request, attempt_number kept,
                     pool_effects& out);

/// Ejects the target unless half of the pool is already ejected.
void eject_if_allowed(pool& p, target_entry& target, time_point now);

/// Readmits targets when the pool has shrunk, so that at most half of it
/// stays ejected.
void keep_ejections_bounded(pool& p);

/// Forgets targets that left and have no attempt in flight.
void forget_gone_targets(pool& p);

} // namespace hawthornspur::core

#endif
