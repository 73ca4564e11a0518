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

/// What a host says about itself at the start of a link.
struct peer_hello
{
    std::string m_host;
    std::uint64_t m_incarnation = 0;
    std::string m_nonce;
    /// The host that the sender wants to reach; empty from a responder that
    /// has not read the other hello yet.
    std::string m_wanted_host;
    /// Links that the sender has had with this host before. Tells a link that
    /// crossed another one from a new link after a loss.
    std::uint64_t m_earlier_links = 0;
};

inline constexpr std::size_t nonce_bytes = 16;

std::string encode_hello(peer_hello const& hello);
/// Errors: frame_malformed, protocol_version_mismatch, unexpected_message.
result<peer_hello> decode_hello(std::string_view bytes);

std::string encode_proof(std::string_view proof);
result<std::string> decode_proof(std::string_view bytes);

/// Keys of one link, derived from the shared key and both hellos, so that
/// nothing recorded on one link is valid on another one.
struct link_secrets
{
    std::string m_initiator_proof;
    std::string m_responder_proof;
    std::string m_initiator_frame_key;
    std::string m_responder_frame_key;
};

/// The arguments are the encoded hellos as they were sent. Each role has
/// proofs and keys of its own, so that a proof cannot be sent back.
link_secrets derive_secrets(std::string_view shared_key,
                            std::string_view initiator_hello,
                            std::string_view responder_hello);

} // namespace hawthornspur::net

#endif
