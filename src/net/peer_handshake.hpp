#ifndef HAWTHORNSPUR_NET_PEER_HANDSHAKE_HPP
#define HAWTHORNSPUR_NET_PEER_HANDSHAKE_HPP

#include "base/result.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace hawthornspur::net
{

enum class link_role : std::uint8_t
{
    /// Opened the connection.
    initiator,
    responder,
};

/// The first message that each host sends on a link.
struct peer_hello
{
    std::string m_host;
    std::uint64_t m_incarnation = 0;
    std::string m_nonce;
    /// The host that the sender expects at the other end.
    std::string m_destination_host;
    /// Links that the sender has had with this host before. Distinguishes
    /// connections that both hosts open at the same time from a new link after
    /// a loss.
    std::uint64_t m_earlier_link_count = 0;
};

inline constexpr std::size_t nonce_bytes = 16;

std::string encode_hello(peer_hello const& hello);
/// Errors: frame_malformed, protocol_version_mismatch, unexpected_message.
result<peer_hello> decode_hello(std::string_view bytes);

std::string encode_proof(std::string_view proof);
result<std::string> decode_proof(std::string_view bytes);

/// Proofs and keys of one link. They are derived from the shared key and both
/// hellos, so recorded frames are not valid on another link.
struct link_secrets
{
    std::string m_initiator_proof;
    std::string m_responder_proof;
    std::string m_initiator_frame_key;
    std::string m_responder_frame_key;
};

/// Derives the secrets from the shared key and the encoded hellos as they were
/// sent. Each role has its own proof and key, so a peer cannot pass off a
/// reflected proof as its own.
link_secrets derive_secrets(std::string_view shared_key,
                            std::string_view initiator_hello,
                            std::string_view responder_hello);

} // namespace hawthornspur::net

#endif
