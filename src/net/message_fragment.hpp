#ifndef HAWTHORNSPUR_NET_MESSAGE_FRAGMENT_HPP
#define HAWTHORNSPUR_NET_MESSAGE_FRAGMENT_HPP

#include "base/result.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace hawthornspur::net
{

/// A part of an encoded message that is too large for one frame, such as a
/// configuration document.
struct message_fragment
{
    /// Chosen by the sender, which does not reuse it on the link.
    std::uint64_t m_message_id = 0;
    bool m_is_last = false;
    std::string_view m_data;
};

std::string encode_fragment(message_fragment const& fragment);

/// The data of the result refers to the argument. Errors: as decode().
result<message_fragment> decode_fragment(std::string_view bytes);

/// Reassembles the fragmented messages of one link.
class fragment_assembler
{
public:
    /// `max_bytes` limits all unfinished messages together.
    explicit fragment_assembler(std::size_t max_bytes);

    /// Returns the complete message if this was its last fragment. Errors:
    /// frame_too_large.
    result<std::optional<std::string>> add(message_fragment const& fragment);

private:
    std::size_t m_max_bytes;
    std::size_t m_bytes = 0;
    std::unordered_map<std::uint64_t, std::string> m_unfinished;
};

} // namespace hawthornspur::net

#endif
