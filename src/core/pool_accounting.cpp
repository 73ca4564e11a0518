#include "core/pool_accounting.hpp"

#include "core/retry_rules.hpp"

#include <algorithm>
#include <cmath>

namespace hawthornspur::core
{

namespace
{

// Load of the other targets above which a slow target is not ejected.
constexpr double max_load_without_target = 0.9;
// A target that contributes less than this share of the others' slots is
// ejected regardless of the load.
constexpr double min_contribution = 0.05;
// The share of refusals is averaged over about the last five attempts.
constexpr double refusal_weight = 0.2;
// Share of refusals above which a target is ejected if the others can carry the
// load.
constexpr double max_refusal_share = 0.8;
// The same while requests wait. A target that serves one attempt in twenty is
// then better than none.
constexpr double max_refusal_share_under_load = 0.95;
// A target that reports its slowness is selected by it, so its limit is raised
// faster.
constexpr double limit_increase_with_reports = 1;
constexpr duration min_hold_time = std::chrono::milliseconds(1);

double limit_of_others(pool const& pool, target_entry const& target,
                       time_point now)
{
    return count_slots(pool, now).m_limit - usable_slots(pool, target);
}

/// Whether the other targets can carry the current load.
bool can_others_carry_load(pool const& pool, target_entry const& target,
                           time_point now)
{
    auto const load = static_cast<double>(in_flight(pool) + queue_length(pool));
    return load < max_load_without_target * limit_of_others(pool, target, now);
}

/// Whether the pool can do without the target: the others can carry the current
/// load, or the target is too slow to contribute much.
bool is_dispensable(pool const& pool, target_entry const& target,
                    double log_relative_slowness, time_point now)
{
    auto const contribution =
        target.m_spec.m_slots * std::exp(-log_relative_slowness);
    return can_others_carry_load(pool, target, now) ||
           contribution < min_contribution * limit_of_others(pool, target, now);
}

double log_ratio_to_median(kind_entry const& kind, duration elapsed)
{
    return std::log(std::max(1e-6, seconds(elapsed).count()) /
                    kind.m_service_time.m_median.m_value);
}

/// Updates the limit and the ejection state of the target with one observed
/// time: of a complete answer, or of an attempt cancelled before its answer.
void update_limit_and_ejection(pool& pool, target_entry& target,
                               kind_entry const& kind, double log_ratio,
                               bool is_complete, time_point now)
{
    observe_answer(target.m_limit, log_ratio, log_spread(kind.m_service_time),
                   now);
    auto const median = compute_median(pool, now);
    // A target on trial was slow or failing before, so a single slow answer is
    // sufficient.
    bool const slow =
        is_slow(target, median, now) ||
        (target.m_outlier.m_on_trial && is_beyond_tolerance(log_ratio));
    bool const was_at_minimum = target.m_limit.m_limit <= 1;
    // A target that reports its slowness is selected by it. Its times vary with
    // other workloads on its machine, and a lowered limit would persist after
    // these have ended.
    if (!slow || target.m_slowness_estimate.m_last_report)
    {
        if (!is_complete)
        {
            return;
        }
        record_success(target.m_outlier);
        if (!target.m_outlier.m_on_trial)
        {
            raise_limit(target.m_limit, target.m_spec.m_slots,
                        target.m_slowness_estimate.m_last_report
                            ? limit_increase_with_reports
                            : limit_increase_per_answer);
        }
        return;
    }
    auto const log_relative_slowness =
        target.m_limit.m_recent_log_slowness - median.m_log_slowness;
    lower_after_slow_answer(target.m_limit, log_relative_slowness, now);
    if (was_at_minimum &&
        is_dispensable(pool, target, log_relative_slowness, now))
    {
        eject_if_allowed(pool, target, now);
    }
}

/// Logarithm of the part of an answer's slowness that the target reported. It
/// is caused by other workloads on its machine and ends with them, so it does
/// not count against the target.
double log_reported_slowness(target_entry const& target,
                             attempt_entry const& attempt, time_point now)
{
    auto const slowness =
        std::max(attempt.m_expected_slowness,
                 expected_slowness(target.m_slowness_estimate, now));
    return std::log(std::max(1.0, slowness));
}

void record_answer(pool& pool, target_entry& target, kind_entry& kind,
                   attempt_entry const& attempt, time_point now)
{
    auto const elapsed = now - attempt.m_dispatched_at;
    observe(kind.m_service_time, elapsed);
    observe(pool.m_service_time, elapsed);
    update_limit_and_ejection(pool, target, kind,
                              log_ratio_to_median(kind, elapsed) -
                                  log_reported_slowness(target, attempt, now),
                              true, now);
}

/// Records the time that a cancelled attempt ran as a lower bound of the time
/// that it would have taken. Otherwise the owner would not detect a slow target
/// whose attempts are always cancelled in favour of hedges.
void record_cancellation(pool& pool, target_entry& target,
                         kind_entry const& kind, attempt_entry const& attempt,
                         time_point now)
{
    if (kind.m_service_time.m_samples == 0)
    {
        return;
    }
    auto const log_ratio =
        log_ratio_to_median(kind, now - attempt.m_dispatched_at) -
        log_reported_slowness(target, attempt, now);
    if (is_beyond_tolerance(log_ratio))
    {
        update_limit_and_ejection(pool, target, kind, log_ratio, false, now);
    }
}

/// Keeps the slot of a failed attempt taken for the usual service time, so that
/// a target that fails fast gets no more requests than a healthy one.
void hold_slot(target_entry& target, kind_entry const& kind,
               time_point dispatched, time_point now)
{
    auto const until =
        std::max(dispatched + mean(kind.m_service_time), now + min_hold_time);
    std::erase_if(target.m_held_slots,
                  [&](held_slot held) { return held.m_until <= now; });
    if (static_cast<int>(target.m_held_slots.size()) < target.m_spec.m_slots)
    {
        target.m_held_slots.push_back({until});
    }
}

/// Whether the target refused a request although it has free slots. Targets
/// that report their load may leave the report out of a refusal. The pool sends
/// them no more than their slots, so such a refusal has another cause.
bool has_free_slots(target_entry const& target,
                    std::optional<reported_load> const& load)
{
    return load ? load->m_waiting == 0 && load->m_in_flight < load->m_slots
                : target.m_slowness_estimate.m_last_report.has_value();
}

/// Records that the target refused a request although it has free slots. A
/// lower limit or a held slot would not prevent this: the target is selected
/// less often, and ejected if it refuses nearly all requests.
void record_refusal_with_free_slots(pool& pool, target_entry& target,
                                    time_point now)
{
    target.m_refusal_share += refusal_weight * (1 - target.m_refusal_share);
    auto const max_share = can_others_carry_load(pool, target, now)
                               ? max_refusal_share
                               : max_refusal_share_under_load;
    if (target.m_refusal_share > max_share)
    {
        eject_if_allowed(pool, target, now);
    }
}

} // namespace

void record_load(target_entry& target, std::optional<reported_load> const& load,
                 time_point now)
{
    if (load && load->m_slowness)
    {
        record_slowness(target.m_slowness_estimate, *load->m_slowness, now);
    }
    if (load && load->m_slots > 0)
    {
        target.m_reported_utilization = std::clamp(
            static_cast<double>(load->m_in_flight) / load->m_slots, 0.0, 1.0);
    }
}

void record_attempt_end(pool& pool, target_entry& target, kind_entry& kind,
                        attempt_end const& end, attempt_entry const& attempt,
                        time_point now)
{
    record_load(target, end.m_load, now);
    target.m_draining = target.m_draining || end.m_draining;
    if (end.m_outcome == attempt_outcome::ok)
    {
        target.m_last_answer = now;
        target.m_refusal_share -= refusal_weight * target.m_refusal_share;
        record_answer(pool, target, kind, attempt, now);
        return;
    }
    if (end.m_outcome == attempt_outcome::cancelled)
    {
        record_cancellation(pool, target, kind, attempt, now);
        return;
    }
    if (end.m_outcome == attempt_outcome::shed &&
        has_free_slots(target, end.m_load))
    {
        target.m_last_answer = now;
        record_refusal_with_free_slots(pool, target, now);
        return;
    }
    hold_slot(target, kind, attempt.m_dispatched_at, now);
    if (end.m_outcome == attempt_outcome::shed)
    {
        target.m_last_answer = now;
        lower_after_shed(target.m_limit, now);
    }
    else if (is_failure(end.m_outcome) && record_failure(target.m_outlier))
    {
        eject_if_allowed(pool, target, now);
    }
}

} // namespace hawthornspur::core
