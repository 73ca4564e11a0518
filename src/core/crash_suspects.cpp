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
constexpr int min_ends = 3;
constexpr duration confirmation_time = std::chrono::milliseconds(200);
constexpr duration first_hold = std::chrono::seconds(10);
constexpr duration hold_after_min_ends = std::chrono::minutes(1);
constexpr duration max_hold = std::chrono::minutes(10);
constexpr duration report_lifetime = std::chrono::minutes(10);
constexpr duration suspicion_lifetime = 2 * max_hold;
// Hosts report the same end of a target within this time; a target that has
// restarted does not end again so soon.
constexpr duration same_end_window = std::chrono::seconds(3);

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

bool is_suspect(int ends, double weight)
{
    // Weights are sums of fractions such as 1/3.
    constexpr double rounding_error = 1e-6;
    return ends >= min_ends || (ends >= min_ends_with_weight &&
                                weight >= min_weight - rounding_error);
}

bool is_suspect(suspect_record const& record)
{
    return is_suspect(count_ends(record), total_weight(record));
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

/// Time of the last answer to the content at this host, if it is known.
std::optional<time_point> last_local_answer(crash_suspects& suspects,
                                            content_id content)
{
    auto const& entry = recent_answer_entry(suspects, content);
    bool const is_known =
        entry.m_content == content && entry.m_at != time_point{};
    return is_known ? std::optional(entry.m_at) : std::nullopt;
}

bool is_recent(std::optional<time_point> answer, time_point now)
{
    return answer && now - *answer < recent_answer_window;
}

bool add_report(suspect_record& record, crash_report const& report)
{
    auto& reports = record.m_reports;
    auto const known = std::find_if(
        reports.begin(), reports.end(),
        [&](crash_report const& other)
        {
            return other.m_target == report.m_target &&
                   std::chrono::abs(other.m_at - report.m_at) < same_end_window;
        });
    if (known != reports.end())
    {
        bool const is_smaller = report.m_weight < known->m_weight;
        known->m_weight = std::min(known->m_weight, report.m_weight);
        return is_smaller;
    }
    bool const is_cleared =
        record.m_last_answer && report.m_at <= *record.m_last_answer;
    if (is_cleared || reports.size() >= max_crash_reports)
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

/// Adds the reports to the record unless the content was answered lately.
record_change add_reports(crash_suspects& suspects, content_id content,
                          suspect_record& record,
                          std::vector<crash_report> const& reports,
                          time_point now)
{
    auto const local_answer = last_local_answer(suspects, content);
    if (!reports.empty() && is_recent(local_answer, now))
    {
        record.m_last_answer = std::max(record.m_last_answer, local_answer);
        record.m_reports.clear();
        return record_change::contradicted;
    }
    bool is_changed = false;
    if (!is_recent(record.m_last_answer, now))
    {
        for (auto const& report : reports)
        {
            is_changed = add_report(record, report) || is_changed;
        }
    }
    return is_changed ? record_change::changed : record_change::none;
}

} // namespace

record_change record_crash(crash_suspects& suspects, content_id content,
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

record_change merge_record(crash_suspects& suspects, content_id content,
                           suspect_record const& received, time_point now)
{
    auto const found = suspects.m_records.find(content);
    bool const is_known = found != suspects.m_records.end();
    suspect_record added;
    auto& record = is_known ? found->second : added;
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
    auto const change =
        add_reports(suspects, content, record, received.m_reports, now);
    if (!is_known && (is_changed || change != record_change::none))
    {
        if (suspects.m_records.size() >= max_suspect_records)
        {
            remove_weakest(suspects);
        }
        suspects.m_records.emplace(content, std::move(added));
    }
    return is_changed && change == record_change::none ? record_change::changed
                                                       : change;
}

crash_verdict judge_request(crash_suspects& suspects, content_id content,
                            unconfirmed_ends const& unconfirmed, time_point now)
{
    crash_verdict verdict;
    auto const found = suspects.m_records.find(content);
    bool const is_known =
        found != suspects.m_records.end() && !is_expired(found->second, now);
    auto const ends = is_known ? count_ends(found->second) : 0;
    verdict.m_target_ends = ends + unconfirmed.m_count;
    if (!is_known || !is_suspect(found->second))
    {
        auto const weight = is_known ? total_weight(found->second) : 0;
        bool const is_answered =
            is_recent(last_local_answer(suspects, content), now);
        verdict.m_is_refused =
            !is_answered &&
            is_suspect(verdict.m_target_ends, weight + unconfirmed.m_weight);
        verdict.m_retry_after =
            verdict.m_is_refused ? confirmation_time : duration::zero();
        return verdict;
    }
    auto& record = found->second;
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
