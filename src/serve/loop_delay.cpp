#include "serve/loop_delay.hpp"

#include "base/activity.hpp"
#include "base/logging.hpp"
#include "base/text.hpp"
#include "serve/host.hpp"

#include <algorithm>

namespace hawthornspur::serve
{

namespace
{

/// Half of the time after which peers treat a link as silent.
constexpr auto reported_loop_delay = std::chrono::milliseconds(300);

/// Activities that last longer delay the answers of other callers noticeably.
constexpr auto reported_activity = std::chrono::milliseconds(100);

std::string name_of(diagnostics::timed_activity const& item)
{
    auto const* const name = item.m_activity.m_name;
    return name == nullptr ? "none" : name;
}

void keep_longest(loop_delay& record, diagnostics::timed_activity const& item)
{
    if (item.m_activity.m_name != nullptr)
    {
        auto& longest = record.m_longest_activities[name_of(item)];
        longest = std::max(
            longest, std::chrono::duration_cast<core::duration>(item.m_time));
    }
}

} // namespace

void record_loop_delay(entry_host& host)
{
    auto const activities = diagnostics::take_longest_activities();
    auto& record = host.m_loop_delay;
    keep_longest(record, activities.m_outer);
    keep_longest(record, activities.m_inner);
    if (record.m_due == core::time_point{})
    {
        return;
    }
    record.m_last = std::max(core::duration(0), now() - record.m_due);
    record.m_longest = std::max(record.m_longest, record.m_last);
    bool const is_delayed = record.m_last >= reported_loop_delay;
    if (!is_delayed && activities.m_outer.m_time < reported_activity)
    {
        return;
    }
    host.m_metrics.count_event(is_delayed ? "loop_delayed" : "slow_activity");
    logging::write_process_line(
        logging::level::warn, "serve.host",
        is_delayed ? "event loop delayed" : "slow activity",
        {{"late_ms", milliseconds_text(record.m_last)},
         {"calls", std::to_string(host.m_calls.size())},
         {"activity", name_of(activities.m_outer)},
         {"activity_ms", milliseconds_text(activities.m_outer.m_time)},
         {"within", name_of(activities.m_inner)},
         {"within_ms", milliseconds_text(activities.m_inner.m_time)}});
}

} // namespace hawthornspur::serve
