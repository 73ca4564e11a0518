#include "core/connection_budget.hpp"

#include <algorithm>

namespace hawthornspur::core
{

namespace
{

// Files, listeners, the store, status requests and the event loop.
constexpr std::size_t fixed_descriptors = 256;
// Part of the limit that callers never use, even if nothing else does: an owner
// that is new needs connections to its targets at once.
constexpr std::size_t reserve_divisor = 4;
// Part of the limit that stays free for what is opened before idle connections
// are closed, and for refused ones.
constexpr std::size_t headroom_divisor = 16;
// Callers keep this part whatever else is open.
constexpr std::size_t min_callers_divisor = 8;

} // namespace

std::size_t max_caller_connections(descriptor_use const& use) noexcept
{
    auto const others =
        std::max(use.m_limit / reserve_divisor,
                 use.m_target_connections + use.m_peer_links +
                     fixed_descriptors + use.m_limit / headroom_divisor);
    auto const least =
        std::max<std::size_t>(1, use.m_limit / min_callers_divisor);
    return std::max(least, use.m_limit - std::min(use.m_limit, others));
}

std::size_t max_refused_connections(std::size_t descriptor_limit) noexcept
{
    return std::max<std::size_t>(1, descriptor_limit / headroom_divisor);
}

} // namespace hawthornspur::core
