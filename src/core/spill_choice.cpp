#include "core/spill_choice.hpp"

#include <algorithm>

namespace hawthornspur::core
{

namespace
{

// Summaries arrive twice a second; an older one means that the link is lost.
constexpr duration summary_lifetime = std::chrono::milliseconds(1500);
// A slot becomes free in the other zone within a few milliseconds. Blocking the
// zone for a fourth of the round trip prevents it from refusing a whole burst.
constexpr int blocked_cost_divisor = 4;

} // namespace

spill_option* choose_spill(std::vector<spill_option>& options,
                           duration local_wait, time_point now)
{
    spill_option* best = nullptr;
    auto best_wait = local_wait;
    int best_free = 0;
    for (auto& option : options)
    {
        if (now - option.m_received_at > summary_lifetime ||
            now < option.m_blocked_until)
        {
            continue;
        }
        std::erase_if(option.m_reservations,
                      [&](spill_option::reservation const& reservation)
                      { return reservation.m_until <= now; });
        auto const wait = option.m_cost + option.m_wait;
        auto const free = option.m_free_slots -
                          static_cast<int>(option.m_reservations.size());
        // Among zones with equal waits, the one with the most free slots is the
        // least likely to refuse.
        if (free > 0 &&
            (wait < best_wait || (wait == best_wait && free > best_free)))
        {
            best = &option;
            best_wait = wait;
            best_free = free;
        }
    }
    return best;
}

void reserve_slot(spill_option& option, request_id request,
                  std::uint64_t sequence, duration service_duration,
                  time_point now)
{
    option.m_reservations.push_back(
        {request, sequence, now + option.m_cost + service_duration});
}

std::optional<std::uint64_t>
record_spill_refusal(std::vector<spill_option>& options, request_id request,
                     time_point now)
{
    for (auto& option : options)
    {
        auto const refused = std::find_if(
            option.m_reservations.begin(), option.m_reservations.end(),
            [&](spill_option::reservation const& reservation)
            { return reservation.m_request == request; });
        if (refused != option.m_reservations.end())
        {
            auto const sequence = refused->m_sequence;
            option.m_reservations.erase(refused);
            option.m_blocked_until = now + option.m_cost / blocked_cost_divisor;
            return sequence;
        }
    }
    return std::nullopt;
}

} // namespace hawthornspur::core
