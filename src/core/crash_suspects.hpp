#ifndef HAWTHORNSPUR_CORE_CRASH_SUSPECTS_HPP
#define HAWTHORNSPUR_CORE_CRASH_SUSPECTS_HPP

#include "core/ids.hpp"
#include "core/time.hpp"

#include <absl/container/flat_hash_map.h>
#include <absl/hash/hash.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace hawthornspur::core
{

/// A target ended while it ran requests with the content.
struct crash_report
{
    /// Identifies the target, so that hosts that each saw a part of one end
    /// report the same one.
    std::uint64_t m_target = 0;
    time_point m_at{};
    /// Share of the content in the requests that the target ran, above 0 and at
    /// most 1. Of several reports of one end, the smallest is kept.
    double m_weight = 1;
};

/// What a host knows about requests with one content.
struct suspect_record
{
    std::vector<crash_report> m_reports;
    std::optional<time_point> m_last_answer;
    /// Last time that a suspected request was let through to see whether it
    /// still ends its target.
    std::optional<time_point> m_last_trial;
};

struct content_hash
{
    std::size_t operator()(content_id id) const noexcept
    {
        return absl::HashOf(id.m_value);
    }
};

/// Requests that are suspected to crash the targets that run them.
///
/// Load pattern: one request ends each target that runs it. It is retried here,
/// comes again from its callers at any host, and ends a pool within a second.
/// Other requests are lost with it, and retried next to it. All hosts hold the
/// same records, which they exchange when one changes. An answer clears a
/// content; content that has been answered lately is not suspected, so that the
/// loss of many targets does not block requests that are sent often.
struct crash_suspects
{
    struct answered_content
    {
        content_id m_content;
        time_point m_at{};
    };

    absl::flat_hash_map<content_id, suspect_record, content_hash> m_records;
    /// Direct-mapped by content; a later answer replaces an earlier one.
    std::array<answered_content, 4096> m_recent_answers{};
};

/// Largest number of contents with a record. The weakest suspicion makes room
/// for a new one.
inline constexpr std::size_t max_suspect_records = 1024;

/// Largest number of reports kept for a content. More do not change how it is
/// handled.
inline constexpr std::size_t max_crash_reports = 8;

/// What has become of reports.
enum class record_change : std::uint8_t
{
    none,
    changed,
    /// This host has answered the content lately, which the other hosts have to
    /// know.
    contradicted,
};

/// Adds a report.
record_change record_crash(crash_suspects& suspects, content_id content,
                           crash_report const& report, time_point now);

/// Records that a target answered a request with this content. Returns whether
/// this has cleared reports, which the other hosts have to know.
bool record_answer(crash_suspects& suspects, content_id content,
                   time_point now);

/// Adds what another host knows.
record_change merge_record(crash_suspects& suspects, content_id content,
                           suspect_record const& received, time_point now);

/// How a request with this content is to be handled.
struct crash_verdict
{
    /// Targets that have ended under such requests.
    int m_target_ends = 0;
    /// The request must not be sent to a target.
    bool m_is_refused = false;
    /// The request is let through to see whether it still ends its target. The
    /// other hosts have to know, so that they do not let another one through.
    bool m_is_trial = false;
    /// Time until the next trial, if the request is refused.
    duration m_retry_after{0};
};

/// Targets that closed connections of requests with one content and have not
/// been probed since.
struct unconfirmed_ends
{
    int m_count = 0;
    /// Sum of the shares of the content in the requests that were lost.
    double m_weight = 0;
};

/// Decides about a request and, if it is let through as a trial, records it. If
/// only unconfirmed ends make the content suspected, it is refused for the time
/// that it takes to confirm them.
crash_verdict judge_request(crash_suspects& suspects, content_id content,
                            unconfirmed_ends const& unconfirmed,
                            time_point now);

/// Whether requests with this content are refused, trials aside.
bool is_suspect(crash_suspects const& suspects, content_id content);

/// Time until a suspected request is next let through; zero if the content is
/// not suspected.
duration remaining_hold(crash_suspects const& suspects, content_id content,
                        time_point now);

/// Removes the records that have expired.
void remove_expired_records(crash_suspects& suspects, time_point now);

} // namespace hawthornspur::core

#endif
