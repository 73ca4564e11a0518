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

/// What is known about the same service's pool in another zone. Each request
/// sent there takes one of the free slots until it is expected back, so that
/// an old summary is not used twice.
struct spill_option
{
    struct use
    {
        request_id m_request;
        /// The request's place in the order of arrival.
        std::uint64_t m_sequence = 0;
        time_point m_until;
    };

    std::string m_zone;
    int m_free_slots = 0;
    duration m_wait{0};
    /// Round trip plus the extra cost of the link.
    duration m_cost{0};
    time_point m_received{};
    /// Nothing is spilled there until this time, after a refusal.
    time_point m_blocked_until{};
    std::vector<use> m_uses;
};

/// The zone where a request is finished soonest, or null if it is better
/// served here.
spill_option* choose_spill(std::vector<spill_option>& options,
                           duration local_wait, time_point now);

/// Takes one free slot for about `service`.
void use_slot(spill_option& option, request_id request, std::uint64_t sequence,
              duration service, time_point now);

/// The zone refused the request since all its slots are taken for the moment.
/// Returns the request's place in the order of arrival, if it is known.
std::optional<std::uint64_t>
note_spill_refused(std::vector<spill_option>& options, request_id request,
                   time_point now);

} // namespace hawthornspur::core

#endif
