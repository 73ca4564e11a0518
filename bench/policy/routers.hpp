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
    /// Least requests in flight of two random targets, by the host's own
    /// counts.
    two_choices,
    /// The same plus loads learned by probes within the budget.
    two_choices_probed,
};

/// Each entry host chooses on its own. A refused connection is tried again
/// elsewhere; a request is cancelled at its deadline.
router make_local_router(fleet& f, local_choice choice);

/// A queue per zone, first come first served, that knows at once and exactly
/// which slots are free. Messages to and from it take as long as those to and
/// from a pool owner.
router make_central_router(fleet& f);

/// Counts of the core router's effects.
struct core_counts
{
    std::uint64_t m_dispatches = 0;
    /// By core::attempt_reason.
    std::array<std::uint64_t, 7> m_reasons{};
    std::uint64_t m_spills = 0;
    std::uint64_t m_spills_refused = 0;
    std::uint64_t m_probes = 0;
    /// Requests that the killed host had taken in, queued or dispatched.
    std::uint64_t m_lost_in_flight = 0;
    /// At-most-once requests sent to the killed host before the other hosts
    /// noticed its loss. They are not sent again.
    std::uint64_t m_lost_unnoticed = 0;
    /// Time spent in the core, measured with the machine's clock.
    duration m_core_time{0};
};

/// The core behind a thin adapter: one pool per service and zone, at its
/// owner by rendezvous hashing.
router make_core_router(fleet& f, core::queue_order order,
                        std::shared_ptr<core_counts> counts);

} // namespace hawthornspur::bench

#endif
