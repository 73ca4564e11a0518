#include "core/pool_accounting.hpp"

#include <algorithm>
#include <cmath>

namespace hawthornspur::core
{

namespace
{

// Above this load on the other targets, a slow target is not ejected.
constexpr double largest_load_without = 0.9;
// Below this share of the others' slots, its own work does not count.
constexpr double smallest_contribution = 0.05;
// About five attempts tell how much a target refuses at the moment.
constexpr double refusal_weight = 0.2;
// A target that still serves one attempt in five is better than none.
constexpr double largest_refusal_share = 0.8;
// A target that tells its speed needs no trial of each slot.
constexpr double raise_of_telling_target = 1;
constexpr duration shortest_hold = std::chrono::milliseconds(1);

/// Whether the pool does without the target: the others can carry the present
/// load, or the target is so slow that it adds next to nothing.
bool is_dispensable(pool const& p, target_entry const& target,
                    double log_relative_slowness, time_point now)
{
    auto const slots = count_slots(p, now);
    auto const limit = whole_limit(target.m_limit, target.m_spec.m_slots);
    auto const rest = static_cast<double>(slots.m_limit - limit);
    auto const load = static_cast<double>(in_flight(p) + queue_length(p));
    auto const contribution =
        target.m_spec.m_slots * std::exp(-log_relative_slowness);
    return load < largest_load_without * rest ||
           contribution < smallest_contribution * rest;
}

double log_ratio_to_median(kind_entry const& kind, duration elapsed)
{
    return std::log(std::max(1e-6, seconds(elapsed).count()) /
                    kind.m_times.m_median.m_value);
}

/// Lets the target's limit and ejection follow one observed time, of a whole
/// answer or of an attempt that was cancelled before its answer.
void judge_target(pool& p, target_entry& target, kind_entry const& kind,
                  double log_ratio, bool is_whole, time_point now)
{
    observe_answer(target.m_limit, log_ratio, log_spread(kind.m_times), now);
    auto const pool_median = find_median(p, now);
    // A target on trial has been slow or failing before; one answer that takes
    // too long is enough.
    bool const slow =
        is_slow(target, pool_median, now) ||
        (target.m_outlier.m_on_trial && is_beyond_tolerance(log_ratio));
    bool const was_lowest = target.m_limit.m_limit <= 1;
    // A target that tells how fast it works is chosen by that. Its times vary
    // with its neighbours, and a lower limit would stay when they are gone.
    if (!slow || target.m_speed.m_reported)
    {
        if (!is_whole)
        {
            return;
        }
        note_success(target.m_outlier);
        if (!target.m_outlier.m_on_trial)
        {
            raise(target.m_limit, target.m_spec.m_slots,
                  target.m_speed.m_reported ? raise_of_telling_target
                                            : raise_per_answer);
        }
        return;
    }
    auto const relative =
        target.m_limit.m_last_log_ratio - pool_median.m_log_slowness;
    lower_after_slow_answer(target.m_limit, relative, now);
    if (was_lowest && is_dispensable(p, target, relative, now))
    {
        eject_if_allowed(p, target, now);
    }
}

/// The part of an answer's slowness that the target itself told: it passes with
/// the neighbours' load and is no fault of the target.
double log_explained(target_entry const& target, attempt_entry const& attempt,
                     time_point now)
{
    auto const told =
        std::max(attempt.m_slowness, expected_slowness(target.m_speed, now));
    return std::log(std::max(1.0, told));
}

void note_whole_answer(pool& p, target_entry& target, kind_entry& kind,
                       attempt_entry const& attempt, time_point now)
{
    auto const elapsed = now - attempt.m_dispatched;
    observe(kind.m_times, elapsed);
    observe(p.m_times, elapsed);
    judge_target(p, target, kind,
                 log_ratio_to_median(kind, elapsed) -
                     log_explained(target, attempt, now),
                 true, now);
}

/// A cancelled attempt would have taken at least the time that it ran. Without
/// this, hedges would hide a slow target from the owner.
void note_cancelled(pool& p, target_entry& target, kind_entry const& kind,
                    attempt_entry const& attempt, time_point now)
{
    if (kind.m_times.m_samples == 0)
    {
        return;
    }
    auto const log_ratio =
        log_ratio_to_median(kind, now - attempt.m_dispatched) -
        log_explained(target, attempt, now);
    if (is_beyond_tolerance(log_ratio))
    {
        judge_target(p, target, kind, log_ratio, false, now);
    }
}

/// A failed slot stays taken for as long as work usually takes, so that a
/// target that fails fast attracts no more work than a healthy one.
void hold_slot(target_entry& target, kind_entry const& kind,
               time_point dispatched, time_point now)
{
    auto const until =
        std::max(dispatched + mean(kind.m_times), now + shortest_hold);
    std::erase_if(target.m_held,
                  [&](held_slot held) { return held.m_until <= now; });
    if (static_cast<int>(target.m_held.size()) < target.m_spec.m_slots)
    {
        target.m_held.push_back({until});
    }
}

bool has_free_slots(std::optional<reported_load> const& load)
{
    return load && load->m_waiting == 0 && load->m_in_flight < load->m_slots;
}

/// The target refused although it had room, so that neither a lower limit nor a
/// held slot would help: it is only chosen less, and left alone for a while
/// when it refuses nearly everything.
void note_groundless_refusal(pool& p, target_entry& target, time_point now)
{
    target.m_refusal_share += refusal_weight * (1 - target.m_refusal_share);
    if (target.m_refusal_share > largest_refusal_share)
    {
        eject_if_allowed(p, target, now);
    }
}

} // namespace

void note_load(target_entry& target, std::optional<reported_load> const& load,
               time_point now)
{
    if (load && load->m_slowness)
    {
        note_slowness(target.m_speed, *load->m_slowness, now);
    }
    if (load && load->m_slots > 0)
    {
        target.m_reported_utilization = std::clamp(
            static_cast<double>(load->m_in_flight) / load->m_slots, 0.0, 1.0);
    }
}

void account(pool& p, target_entry& target, kind_entry& kind,
             attempt_end const& end, attempt_entry const& attempt,
             time_point now)
{
    note_load(target, end.m_load, now);
    target.m_draining = target.m_draining || end.m_draining;
    if (end.m_outcome == attempt_outcome::ok)
    {
        target.m_heard = now;
        target.m_refusal_share -= refusal_weight * target.m_refusal_share;
        note_whole_answer(p, target, kind, attempt, now);
        return;
    }
    if (end.m_outcome == attempt_outcome::cancelled)
    {
        note_cancelled(p, target, kind, attempt, now);
        return;
    }
    if (end.m_outcome == attempt_outcome::shed && has_free_slots(end.m_load))
    {
        target.m_heard = now;
        note_groundless_refusal(p, target, now);
        return;
    }
    hold_slot(target, kind, attempt.m_dispatched, now);
    if (end.m_outcome == attempt_outcome::shed)
    {
        target.m_heard = now;
        lower_after_shed(target.m_limit, now);
    }
    else if (note_failure(target.m_outlier))
    {
        eject_if_allowed(p, target, now);
    }
}

} // namespace hawthornspur::core
