#ifndef HAWTHORNSPUR_NET_FRAME_CODEC_HPP
#define HAWTHORNSPUR_NET_FRAME_CODEC_HPP

#include "base/result.hpp"
#include "net/message_auth.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace hawthornspur::net
{

/// Bytes of the big-endian length in front of every frame; it counts the
/// bytes that follow it.
inline constexpr std::size_t frame_length_bytes = 4;
/// Sequence number and tag in front of the message.
inline constexpr std::size_t frame_seal_bytes =
    8 + message_authenticator::truncated_bytes;

/// Appends the length and the payload. Precondition: fewer than 4 GiB.
void append_plain_frame(std::string& out, std::string_view payload);

/// Reads the length at the start of a frame. Precondition: at least
/// frame_length_bytes bytes.
std::uint32_t read_frame_length(std::string_view bytes) noexcept;

/// Encodes the authenticated frames of one direction of a link.
class frame_sealer
{
public:
    explicit frame_sealer(std::string_view key);

    /// Appends a frame: length, sequence number, truncated HMAC over sequence
    /// number and message, message.
    void append(std::string& out, std::string_view message);

private:
    message_authenticator m_authenticator;
    std::uint64_t m_next = 0;
};

/// Verifies the authenticated frames of one direction of a link.
class frame_opener
{
public:
    explicit frame_opener(std::string_view key);

    /// Returns the message in a frame that is passed without its length. The
    /// view refers to the argument. A replayed or reordered frame, or one after
    /// a lost frame, fails like a forged one. Errors: frame_malformed,
    /// authentication_failed.
    result<std::string_view> open(std::string_view frame);

private:
    message_authenticator m_authenticator;
    std::uint64_t m_next = 0;
};

} // namespace hawthornspur::net

#endif
