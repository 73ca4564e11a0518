#ifndef HAWTHORNSPUR_CORE_STOP_SCHEDULE_HPP
#define HAWTHORNSPUR_CORE_STOP_SCHEDULE_HPP

#include "core/time.hpp"

#include <optional>

namespace hawthornspur::core
{

struct stop_limits
{
    /// Longest stop that the settings allow.
    duration m_stop_bound{0};
    /// Time after which the platform kills the process, if it does.
    std::optional<duration> m_kill_delay;
    /// Time for which callers use an address answer.
    duration m_address_lifetime{0};
};

/// The times of a planned stop.
struct stop_schedule
{
    time_point m_start{};
    /// Until then, callers with earlier address answers are served.
    time_point m_address_answers_expire{};
    /// Calls that have not ended by then are cut.
    time_point m_cut{};
};

/// The times of a stop that begins now. Calls in flight have until shortly
/// before the kill.
stop_schedule make_stop_schedule(stop_limits const& limits, time_point now);

/// Whether a call that arrived at `arrival` and ends by `deadline` is accepted.
/// One that might not have ended at the cut is not: a caller whose request has
/// not run can send it to another host, a caller whose request is cut may not.
/// A call that arrived before the stop is never turned away.
///
/// Load pattern: in a rolling restart, callers use the address of the stopping
/// host for seconds, also for requests with the longest deadlines.
bool is_accepted(stop_schedule const& schedule, time_point arrival,
                 time_point deadline) noexcept;

} // namespace hawthornspur::core

#endif
