#include "net/frame_codec.hpp"

#include <array>
#include <bit>
#include <cassert>
#include <limits>

namespace hawthornspur::net
{

namespace
{

constexpr std::size_t sequence_bytes = 8;
constexpr unsigned bits_per_byte = 8;

template <class Number>
std::array<char, sizeof(Number)> to_big_endian(Number number)
{
    std::array<char, sizeof(Number)> bytes{};
    for (auto byte = bytes.rbegin(); byte != bytes.rend(); ++byte)
    {
        *byte = static_cast<char>(number & 0xFFU);
        number >>= bits_per_byte;
    }
    return bytes;
}

template <std::size_t Size>
std::string_view view(std::array<char, Size> const& bytes)
{
    return {bytes.data(), bytes.size()};
}

} // namespace

void append_plain_frame(std::string& out, std::string_view payload)
{
    assert(payload.size() <= std::numeric_limits<std::uint32_t>::max());
    out += view(to_big_endian(static_cast<std::uint32_t>(payload.size())));
    out += payload;
}

std::uint32_t read_frame_length(std::string_view bytes) noexcept
{
    assert(bytes.size() >= frame_length_bytes);
    std::uint32_t length = 0;
    for (auto const byte : bytes.substr(0, frame_length_bytes))
    {
        length = (length << bits_per_byte) | static_cast<unsigned char>(byte);
    }
    return length;
}

frame_sealer::frame_sealer(std::string_view key)
    : m_authenticator(key)
{
}

void frame_sealer::append(std::string& out, std::string_view message)
{
    auto const size = frame_seal_bytes + message.size();
    assert(size <= std::numeric_limits<std::uint32_t>::max());
    auto const sequence = to_big_endian(m_next++);
    auto const tag = m_authenticator.tag({view(sequence), message});
    out.reserve(out.size() + frame_length_bytes + size);
    out += view(to_big_endian(static_cast<std::uint32_t>(size)));
    out += view(sequence);
    out += truncated_view(tag);
    out += message;
}

frame_opener::frame_opener(std::string_view key)
    : m_authenticator(key)
{
}

result<std::string_view> frame_opener::open(std::string_view frame)
{
    if (frame.size() < frame_seal_bytes)
    {
        return make_error(result_code::frame_malformed,
                          "frame too short for its tag");
    }
    auto const sequence = frame.substr(0, sequence_bytes);
    auto const tag =
        frame.substr(sequence_bytes, message_authenticator::truncated_bytes);
    auto const message = frame.substr(frame_seal_bytes);
    if (!equals_in_constant_time(
            tag, truncated_view(m_authenticator.tag({sequence, message}))))
    {
        return make_error(result_code::authentication_failed,
                          "frame with an invalid tag");
    }
    if (sequence != view(to_big_endian(m_next)))
    {
        return make_error(result_code::authentication_failed,
                          "frame out of sequence");
    }
    ++m_next;
    return message;
}

} // namespace hawthornspur::net
