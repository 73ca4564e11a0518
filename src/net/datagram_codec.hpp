#ifndef HAWTHORNSPUR_NET_DATAGRAM_CODEC_HPP
#define HAWTHORNSPUR_NET_DATAGRAM_CODEC_HPP

#include "base/result.hpp"
#include "core/membership.hpp"
#include "net/message_auth.hpp"

#include <string>
#include <string_view>

namespace hawthornspur::net
{

/// Encodes and decodes membership datagrams: a truncated HMAC followed by a
/// msgpack array [type, version, fields...]. Replayed datagrams are not
/// detected here; the versions of records and the sequence numbers of acks
/// make them harmless.
class datagram_codec
{
public:
    explicit datagram_codec(std::string_view key);

    std::string encode(core::membership_message const& message);

    /// Errors: authentication_failed, frame_malformed,
    /// protocol_version_mismatch, unexpected_message.
    result<core::membership_message> decode(std::string_view bytes);

private:
    message_authenticator m_authenticator;
};

} // namespace hawthornspur::net

#endif
