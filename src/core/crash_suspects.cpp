#include "core/crash_suspects.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

namespace hawthornspur::core
{

namespace
{

// Content that was answered this recently does not end each target that runs
// it.
constexpr duration recent_answer_window = std::chrono::seconds(10);
// Two ends accuse a request only if it was alone at one of the targets, or had
// no more than one neighbour at both.
constexpr int min_ends_with_weight = 2;
constexpr double min_weight = 1;
// A request may lose several targets by chance, each with other neighbours.
constexpr int min_ends = 3;
// After two ends the suspicion is weak, so the caller is refused only briefly.
constexpr duration first_hold = std::chrono::seconds(10);
// A target that has ended is back after some seconds; a request that has ended
// three is expected to end each one until it is changed or the targets are.
constexpr duration hold_after_min_ends = std::chrono::minutes(1);
constexpr duration max_hold = std::chrono::minutes(10);
constexpr duration report_lifetime = std::chrono::minutes(1);
constexpr duration suspicion_lifetime = 2 * max_hold;

int count_ends(suspect_record const& record)
{
    return static_cast<int>(record.m_reports.size());
}

double total_weight(suspect_record const& record)
{
    return std::accumulate(record.m_reports.begin(), record.m_reports.end(),
                           0.0,
                           [](double sum, crash_report const& report)
                           { return sum + report.m_weight; });
}

bool is_suspect(suspect_record const& record)
{
    // Weights are sums of fractions such as 1/3.
    constexpr double rounding_error = 1e-6;
    auto const ends = count_ends(record);
    return ends >= min_ends ||
           (ends >= min_ends_with_weight &&
            total_weight(record) >= min_weight - rounding_error);
}

/// Time after the last end or trial in which the request is refused. It doubles
/// with each end beyond the third.
duration hold_time(suspect_record const& record)
{
    auto const ends = count_ends(record);
    if (ends < min_ends)
    {
        return first_hold;
    }
    auto hold = hold_after_min_ends;
    for (int i = min_ends; i < ends && hold < max_hold; ++i)
    {
        hold *= 2;
    }
    return std::min(hold, max_hold);
}

/// Time of the last end, trial or answer.
time_point last_event(suspect_record const& record)
{
    auto last = std::max(record.m_last_answer.value_or(time_point::min()),
                         record.m_last_trial.value_or(time_point::min()));
    for (auto const& report : record.m_reports)
    {
        last = std::max(last, report.m_at);
    }
    return last;
}

duration remaining_hold(suspect_record const& record, time_point now)
{
    return is_suspect(record)
               ? std::max(duration::zero(),
                          last_event(record) + hold_time(record) - now)
               : duration::zero();
}

bool is_expired(suspect_record const& record, time_point now)
{
    return now - last_event(record) >
           (is_suspect(record) ? suspicion_lifetime : report_lifetime);
}

crash_suspects::answered_content& recent_answer_entry(crash_suspects& suspects,
                                                      content_id content)
{
    return suspects.m_recent_answers.at(content.m_value %
                                        suspects.m_recent_answers.size());
}

bool is_answered_recently(crash_suspects& suspects,
                          suspect_record const& record, content_id content,
                          time_point now)
{
    auto const& entry = recent_answer_entry(suspects, content);
    bool const is_answered_here = entry.m_content == content &&
                                  entry.m_at != time_point{} &&
                                  now - entry.m_at < recent_answer_window;
    return is_answered_here ||
           (record.m_last_answer &&
            now - *record.m_last_answer < recent_answer_window);
}

bool add_report(suspect_record& record, crash_report const& report)
{
    auto& reports = record.m_reports;
    bool const is_known =
        std::any_of(reports.begin(), reports.end(),
                    [&](crash_report const& known)
                    { return known.m_event == report.m_event; });
    bool const is_cleared =
        record.m_last_answer && report.m_at <= *record.m_last_answer;
    if (is_known || is_cleared || reports.size() >= max_crash_reports)
    {
        return false;
    }
    reports.push_back(report);
    return true;
}

/// Removes the record with the fewest ends, of these the one whose last event
/// is the longest ago.
void remove_weakest(crash_suspects& suspects)
{
    auto const weakest = std::min_element(
        suspects.m_records.begin(), suspects.m_records.end(),
        [](auto const& a, auto const& b)
        {
            return std::pair(count_ends(a.second), last_event(a.second)) <
                   std::pair(count_ends(b.second), last_event(b.second));
        });
    suspects.m_records.erase(weakest);
}

suspect_record& get_or_create_record(crash_suspects& suspects,
                                     content_id content)
{
    if (suspects.m_records.size() >= max_suspect_records &&
        !suspects.m_records.contains(content))
    {
        remove_weakest(suspects);
    }
    return suspects.m_records[content];
}

} // namespace

bool record_crash(crash_suspects& suspects, content_id content,
                  crash_report const& report, time_point now)
{
    suspect_record received;
    received.m_reports.push_back(report);
    return merge_record(suspects, content, received, now);
}

bool record_answer(crash_suspects& suspects, content_id content, time_point now)
{
    recent_answer_entry(suspects, content) = {content, now};
    auto const found = suspects.m_records.find(content);
    if (found == suspects.m_records.end() || found->second.m_reports.empty())
    {
        return false;
    }
    found->second.m_reports.clear();
    found->second.m_last_trial.reset();
    found->second.m_last_answer = now;
    return true;
}

bool merge_record(crash_suspects& suspects, content_id content,
                  suspect_record const& received, time_point now)
{
    auto& record = get_or_create_record(suspects, content);
    bool is_changed = false;
    if (received.m_last_answer > record.m_last_answer)
    {
        record.m_last_answer = received.m_last_answer;
        std::erase_if(record.m_reports, [&](crash_report const& report)
                      { return report.m_at <= *record.m_last_answer; });
        is_changed = true;
    }
    if (received.m_last_trial > record.m_last_trial)
    {
        record.m_last_trial = received.m_last_trial;
        is_changed = true;
    }
    if (!is_answered_recently(suspects, record, content, now))
    {
        for (auto const& report : received.m_reports)
        {
            is_changed = add_report(record, report) || is_changed;
        }
    }
    if (last_event(record) == time_point::min())
    {
        suspects.m_records.erase(content);
    }
    return is_changed;
}

crash_verdict judge_request(crash_suspects& suspects, content_id content,
                            time_point now)
{
    crash_verdict verdict;
    auto const found = suspects.m_records.find(content);
    if (found == suspects.m_records.end() || is_expired(found->second, now))
    {
        return verdict;
    }
    auto& record = found->second;
    verdict.m_target_ends = count_ends(record);
    if (!is_suspect(record))
    {
        return verdict;
    }
    verdict.m_retry_after = remaining_hold(record, now);
    verdict.m_is_refused = verdict.m_retry_after > duration::zero();
    if (verdict.m_is_refused)
    {
        return verdict;
    }
    verdict.m_is_trial = true;
    record.m_last_trial = now;
    return verdict;
}

bool is_suspect(crash_suspects const& suspects, content_id content)
{
    auto const found = suspects.m_records.find(content);
    return found != suspects.m_records.end() && is_suspect(found->second);
}

duration remaining_hold(crash_suspects const& suspects, content_id content,
                        time_point now)
{
    auto const found = suspects.m_records.find(content);
    return found == suspects.m_records.end()
               ? duration::zero()
               : remaining_hold(found->second, now);
}

void remove_expired_records(crash_suspects& suspects, time_point now)
{
    absl::erase_if(suspects.m_records, [&](auto const& entry)
                   { return is_expired(entry.second, now); });
}

} // namespace hawthornspur::core
