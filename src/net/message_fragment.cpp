#include "net/message_fragment.hpp"

#include "net/msgpack_fields.hpp"
#include "net/peer_wire.hpp"

#include <exception>
#include <utility>

namespace hawthornspur::net
{

namespace
{

/// Counted for each unfinished message in addition to its bytes, so that the
/// limit also holds for empty fragments.
constexpr std::size_t overhead_bytes = 128;

} // namespace

std::string encode_fragment(message_fragment const& fragment)
{
    std::string out;
    field_writer writer(out, static_cast<std::uint32_t>(wire_type::fragment),
                        3);
    writer.put(fragment.m_message_id);
    writer.put(fragment.m_is_last);
    writer.put_bytes(fragment.m_data);
    return out;
}

result<message_fragment> decode_fragment(std::string_view bytes)
{
    auto unpacked = unpack_message(bytes);
    if (!has_value(unpacked))
    {
        return failure(unpacked);
    }
    if (value(unpacked).m_type !=
        static_cast<std::uint32_t>(wire_type::fragment))
    {
        return make_error(result_code::unexpected_message, "not a fragment");
    }
    try
    {
        field_reader reader(value(unpacked).m_handle.get());
        reader.next();
        reader.next();
        message_fragment fragment;
        fragment.m_message_id = reader.get<std::uint64_t>();
        fragment.m_is_last = reader.get<bool>();
        auto const& data = reader.next();
        if (data.type != msgpack::type::BIN)
        {
            throw msgpack::type_error();
        }
        fragment.m_data = {data.via.bin.ptr, data.via.bin.size};
        return fragment;
    }
    catch (std::exception const& problem)
    {
        return make_error(result_code::frame_malformed, problem.what());
    }
}

fragment_assembler::fragment_assembler(std::size_t max_bytes)
    : m_max_bytes(max_bytes)
{
}

result<std::optional<std::string>>
fragment_assembler::add(message_fragment const& fragment)
{
    auto const is_new = !m_unfinished.contains(fragment.m_message_id);
    auto const added_bytes =
        fragment.m_data.size() + (is_new ? overhead_bytes : 0);
    if (m_bytes + added_bytes > m_max_bytes)
    {
        return make_error(result_code::frame_too_large,
                          "unfinished messages exceed the size limit");
    }
    m_bytes += added_bytes;
    auto& message = m_unfinished[fragment.m_message_id];
    message += fragment.m_data;
    if (!fragment.m_is_last)
    {
        return std::optional<std::string>();
    }
    auto complete_message = std::move(message);
    m_unfinished.erase(fragment.m_message_id);
    m_bytes -= complete_message.size() + overhead_bytes;
    return std::optional(std::move(complete_message));
}

} // namespace hawthornspur::net
