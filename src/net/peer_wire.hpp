#ifndef HAWTHORNSPUR_NET_PEER_WIRE_HPP
#define HAWTHORNSPUR_NET_PEER_WIRE_HPP

#include "net/peer_messages.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace hawthornspur::net
{

/// Type numbers of messages on links and in datagrams. Numbers are never
/// reassigned.
enum class wire_type : std::uint8_t
{
    hello = 1,
    hello_proof = 2,
    forward_request = 3,
    body_chunk = 4,
    answer_head = 5,
    answer_chunk = 6,
    answer_end = 7,
    refusal = 8,
    cancel = 9,
    window = 10,
    heartbeat = 11,
    pool_summary = 12,
    configuration_request = 13,
    configuration_reply = 14,
    handover = 15,
    leaving = 16,
    /// A part of a message that is too large for one frame.
    fragment = 17,
    generation = 18,
    rate_limits = 19,
    crash_suspects = 20,
    configuration_proof_request = 21,
    configuration_proof = 22,
    quota_request = 23,
    quota_grant = 24,
    evacuated_zones = 25,
    membership = 32,
};

/// Bodies and large messages are split into pieces of this size, so that a
/// frame occupies the link only briefly.
inline constexpr std::size_t chunk_bytes = std::size_t{16} << 10U;

/// Encode a piece of a body without copying it into a message first.
std::string encode_body_chunk(forward_id id, std::string_view data);
std::string encode_answer_chunk(forward_id id, std::string_view data);

} // namespace hawthornspur::net

#endif
