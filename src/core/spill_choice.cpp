#include "core/spill_choice.hpp"

#include <algorithm>

namespace hawthornspur::core
{

namespace
{

// Summaries come twice a second; an older one means that the link is lost.
constexpr duration summary_lifetime = std::chrono::milliseconds(1500);
// A slot comes free at the other zone within a few milliseconds; a fourth of
// the round trip keeps a burst from being refused as a whole.
constexpr int block_divisor = 4;

} // namespace

spill_option* choose_spill(std::vector<spill_option>& options,
                           duration local_wait, time_point now)
{
    spill_option* best = nullptr;
    auto best_wait = local_wait;
    int best_free = 0;
    for (auto& option : options)
    {
        if (now - option.m_received > summary_lifetime ||
            now < option.m_blocked_until)
        {
            continue;
        }
        std::erase_if(option.m_uses, [&](spill_option::use const& use)
                      { return use.m_until <= now; });
        auto const wait = option.m_cost + option.m_wait;
        auto const free =
            option.m_free_slots - static_cast<int>(option.m_uses.size());
        // Of zones that are equally near, the one with most free slots is the
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

void use_slot(spill_option& option, request_id request, std::uint64_t sequence,
              duration service, time_point now)
{
    option.m_uses.push_back({request, sequence, now + option.m_cost + service});
}

std::optional<std::uint64_t>
note_spill_refused(std::vector<spill_option>& options, request_id request,
                   time_point now)
{
    for (auto& option : options)
    {
        auto const refused =
            std::find_if(option.m_uses.begin(), option.m_uses.end(),
                         [&](spill_option::use const& use)
                         { return use.m_request == request; });
        if (refused != option.m_uses.end())
        {
            auto const sequence = refused->m_sequence;
            option.m_uses.erase(refused);
            option.m_blocked_until = now + option.m_cost / block_divisor;
            return sequence;
        }
    }
    return std::nullopt;
}

} // namespace hawthornspur::core
