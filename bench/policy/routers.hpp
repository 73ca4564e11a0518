#ifndef HAWTHORNSPUR_BENCH_POLICY_ROUTERS_HPP
#define HAWTHORNSPUR_BENCH_POLICY_ROUTERS_HPP

#include "core/kind_queue.hpp"
#include "fleet.hpp"

#include <array>
#include <cstdint>
#include <memory>

namespace hawthornspur::bench
{

enum class local_choice : std::uint8_t
{
    round_robin,
    /// The one of two random targets with fewer requests in flight from this
    /// host.
    two_choices,
    /// Like two_choices, plus loads reported by probes within the budget.
    two_choices_probed,
};

/// Each entry host chooses targets independently. A request that the target did
/// not run is retried; a request is cancelled at its deadline.
router make_local_router(simulated_fleet& fleet, local_choice choice);

/// A first-come-first-served queue per service and zone with exact, undelayed
/// counts of free slots. Messages to and from it have the same delay as those
/// of a pool owner.
router make_central_router(simulated_fleet& fleet);

/// Counts of the core router's effects.
struct core_counts
{
    std::uint64_t m_dispatches = 0;
    /// By core::attempt_reason.
    std::array<std::uint64_t, 8> m_reasons{};
    std::uint64_t m_spills = 0;
    std::uint64_t m_spills_refused = 0;
    std::uint64_t m_probes = 0;
    /// Requests that a killed host had accepted, queued or dispatched.
    std::uint64_t m_lost_in_flight = 0;
    /// At-most-once requests sent to a killed host before the other hosts
    /// detected its failure. They are not retried.
    std::uint64_t m_lost_before_detection = 0;
    /// Real time spent in the core.
    duration m_core_time{0};
};

/// Routes with the code of src/core: one pool per service and zone, at the
/// owner chosen by rendezvous hashing.
router make_core_router(simulated_fleet& fleet, core::queue_order order,
                        std::shared_ptr<core_counts> counts);

} // namespace hawthornspur::bench

#endif
