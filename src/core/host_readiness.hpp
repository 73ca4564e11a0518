#ifndef HAWTHORNSPUR_CORE_HOST_READINESS_HPP
#define HAWTHORNSPUR_CORE_HOST_READINESS_HPP

#include "core/time.hpp"

#include <cstdint>
#include <optional>

namespace hawthornspur::core
{

/// Why a host is not ready.
enum class readiness_fault : std::uint8_t
{
    none,
    /// It has not had the newest known configuration, its targets and the hosts
    /// of its zone yet.
    starting,
    /// It cannot accept connections of callers.
    not_accepting,
    /// Its event loop runs so late that callers give up before they are read.
    late,
};

/// What a host observes of itself.
struct host_condition
{
    bool m_can_start = false;
    /// Time for which its listener for callers has not been able to accept.
    duration m_not_accepting{0};
    /// How late its event loop ran last.
    duration m_loop_delay{0};
    /// Enough other hosts of its zone are ready, see may_leave().
    bool m_may_leave = false;
};

struct host_readiness
{
    /// Has been ready. While the host fetches a newer configuration, it serves
    /// under the one that it has.
    bool m_has_started = false;
    readiness_fault m_fault = readiness_fault::starting;
    std::optional<time_point> m_late_since;
    std::optional<time_point> m_sound_since;
};

/// Updates whether the host is ready, and returns whether that has changed.
///
/// Load pattern: callers and the platform go by what a host says of itself. One
/// that accepts nothing, or reads connections after their callers have given
/// up, takes itself out after a second and returns after a second without a
/// fault. A host that is late leaves only if may_leave() allows it: under load
/// that all hosts share, the others would be worse off without it.
bool update_readiness(host_readiness& readiness,
                      host_condition const& condition, time_point now);

/// Whether a host may leave its zone for being late: at most a quarter of the
/// hosts of the zone may be out at a time. The counts are of the other hosts.
bool may_leave(int ready_others, int unready_others) noexcept;

/// Whether a delay of the event loop makes a host unfit.
bool is_late(duration loop_delay) noexcept;

bool is_ready(host_readiness const& readiness) noexcept;

} // namespace hawthornspur::core

#endif
