#ifndef HAWTHORNSPUR_CORE_SLOT_USAGE_HPP
#define HAWTHORNSPUR_CORE_SLOT_USAGE_HPP

#include "core/time.hpp"

namespace hawthornspur::core
{

struct pool;

/// What the slots of the targets of a pool are used for. Each slot of a target
/// that is not leaving counts once, so the sum is the number of slots.
///
/// Load pattern: requests wait although few of the slots are in flight, as when
/// most targets of a service refuse a part of their requests. The counts tell
/// which rule keeps the slots unused.
struct slot_usage
{
    int m_free = 0;
    /// Free, but at a target that reports that it is slow.
    int m_free_at_slow_target = 0;
    int m_in_flight = 0;
    /// Taken by attempts of the previous owner that may still run.
    int m_inherited = 0;
    /// Held after an attempt that failed.
    int m_held = 0;
    /// Above the lowered limit of the target.
    int m_above_limit = 0;
    /// Unused slots of ejected targets.
    int m_ejected = 0;
};

slot_usage count_slot_usage(pool const& pool, time_point now);

} // namespace hawthornspur::core

#endif
