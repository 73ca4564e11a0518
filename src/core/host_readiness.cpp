#include "core/host_readiness.hpp"

namespace hawthornspur::core
{

namespace
{

/// The time that callers wait for a connection, and for a host to read their
/// request.
constexpr duration caller_patience = std::chrono::seconds(1);

constexpr duration min_late_time = std::chrono::seconds(1);
constexpr duration min_sound_time = std::chrono::seconds(1);

constexpr int min_hosts_per_leaving_host = 4;

readiness_fault find_fault(host_readiness& readiness,
                           host_condition const& condition, time_point now)
{
    if (condition.m_not_accepting >= caller_patience)
    {
        return readiness_fault::not_accepting;
    }
    if (!is_late(condition.m_loop_delay))
    {
        readiness.m_late_since.reset();
        return readiness_fault::none;
    }
    if (!readiness.m_late_since)
    {
        // A single delay may be a pause, which membership handles.
        readiness.m_late_since = now;
    }
    bool const is_lasting = now - *readiness.m_late_since >= min_late_time;
    bool const is_out = readiness.m_fault == readiness_fault::late;
    return is_lasting && (condition.m_may_leave || is_out)
               ? readiness_fault::late
               : readiness_fault::none;
}

/// Whether a host that is out can serve again, as far as it has observed.
bool is_sound(host_condition const& condition, readiness_fault fault)
{
    return fault == readiness_fault::none &&
           condition.m_not_accepting == duration(0) &&
           !is_late(condition.m_loop_delay);
}

} // namespace

bool is_late(duration loop_delay) noexcept
{
    return loop_delay >= caller_patience;
}

bool may_leave(int ready_others, int unready_others) noexcept
{
    auto const hosts = 1 + ready_others + unready_others;
    return (1 + unready_others) * min_hosts_per_leaving_host <= hosts;
}

bool update_readiness(host_readiness& readiness,
                      host_condition const& condition, time_point now)
{
    auto const before = readiness.m_fault;
    if (!readiness.m_has_started)
    {
        if (condition.m_can_start)
        {
            readiness.m_has_started = true;
            readiness.m_fault = readiness_fault::none;
        }
        return readiness.m_fault != before;
    }
    auto const fault = find_fault(readiness, condition, now);
    if (fault != readiness_fault::none)
    {
        readiness.m_fault = fault;
        readiness.m_sound_since.reset();
    }
    else if (before != readiness_fault::none)
    {
        if (!is_sound(condition, fault))
        {
            readiness.m_sound_since.reset();
        }
        else if (!readiness.m_sound_since)
        {
            readiness.m_sound_since = now;
        }
        else if (now - *readiness.m_sound_since >= min_sound_time)
        {
            readiness.m_fault = readiness_fault::none;
            readiness.m_sound_since.reset();
        }
    }
    return readiness.m_fault != before;
}

bool is_ready(host_readiness const& readiness) noexcept
{
    return readiness.m_fault == readiness_fault::none;
}

} // namespace hawthornspur::core
