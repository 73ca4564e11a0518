#ifndef HAWTHORNSPUR_NET_LINK_END_HPP
#define HAWTHORNSPUR_NET_LINK_END_HPP

#include "core/time.hpp"

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace hawthornspur::net
{

/// Why a link is closed.
enum class link_end_reason : std::uint8_t
{
    /// The peer closed the connection or it was reset.
    closed_by_peer,
    /// Nothing arrived for longer than the silence timeout.
    silent,
    /// The peer sent a frame that is malformed or not authentic.
    frame_refused,
    /// The peer opened another link.
    replaced,
    /// The peer is not in set_peers(), and the link is not in use.
    unlisted,
};

/// How a link to another host ended, for logs.
struct link_end
{
    link_end_reason m_reason = link_end_reason::closed_by_peer;
    /// Time since the last frame of the peer.
    core::duration m_silence{0};
    /// Bytes that were not sent.
    std::size_t m_queued_bytes = 0;
};

/// The reason as one word, for logs.
std::string_view to_string(link_end_reason reason) noexcept;

} // namespace hawthornspur::net

#endif
