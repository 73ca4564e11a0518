#ifndef HAWTHORNSPUR_SERVE_LOOP_DELAY_HPP
#define HAWTHORNSPUR_SERVE_LOOP_DELAY_HPP

#include "core/time.hpp"

#include <map>
#include <string>

namespace hawthornspur::serve
{

struct entry_host;

/// How late the event loop runs, and what keeps it from running on time.
struct loop_delay
{
    /// When housekeeping is to run next; empty before the first time.
    core::time_point m_due{};
    /// Of the last housekeeping, and the longest of this process.
    core::duration m_last{0};
    core::duration m_longest{0};
    /// By name, the longest time of the activities that were the longest of
    /// their interval between two runs of housekeeping.
    std::map<std::string, core::duration> m_longest_activities;
};

/// Records how late housekeeping runs and the longest activity before it. Logs
/// a delay in which peers and callers waited, and a long activity.
void record_loop_delay(entry_host& host);

} // namespace hawthornspur::serve

#endif
