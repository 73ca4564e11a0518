#ifndef HAWTHORNSPUR_CORE_SPILL_CHOICE_HPP
#define HAWTHORNSPUR_CORE_SPILL_CHOICE_HPP

#include "core/ids.hpp"
#include "core/time.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace hawthornspur::core
{

/// State of the same service's pool in another zone, from its last summary.
/// Each request spilled there reserves one of the free slots until its expected
/// end, so that no more requests are spilled than the summary has free slots.
struct spill_option
{
    struct reservation
    {
        request_id m_request;
        /// Position of the request in the order of arrival.
        std::uint64_t m_sequence = 0;
        time_point m_until;
    };

    std::string m_zone;
    int m_free_slots = 0;
    /// Expected wait for a slot in the other zone.
    duration m_wait{0};
    /// Round trip plus the extra cost of the link.
    duration m_cost{0};
    time_point m_received_at{};
    /// No request is spilled to the zone until this time, after a refusal.
    time_point m_blocked_until{};
    std::vector<reservation> m_reservations;
};

/// The zone with the shortest wait for a slot, including the cost of the link,
/// or null if `local_wait` is shorter.
spill_option* choose_spill(std::vector<spill_option>& options,
                           duration local_wait, time_point now);

/// Reserves a free slot for the cost of the link plus `service_duration`, the
/// expected service time of the request.
void reserve_slot(spill_option& option, request_id request,
                  std::uint64_t sequence, duration service_duration,
                  time_point now);

/// Removes the reservation of a request that the zone refused for lack of free
/// slots, and blocks the zone for a fourth of its cost. Returns the position of
/// the request in the order of arrival, or empty if it has no reservation.
std::optional<std::uint64_t>
record_spill_refusal(std::vector<spill_option>& options, request_id request,
                     time_point now);

} // namespace hawthornspur::core

#endif
