#include "net/datagram_codec.hpp"

#include "net/msgpack_fields.hpp"
#include "net/peer_wire.hpp"

#include <cstdint>
#include <exception>
#include <utility>

namespace hawthornspur::net
{

namespace
{

/// Fields of a record from hosts of earlier versions, without m_millicores.
constexpr std::size_t record_fields_before_millicores = 10;

constexpr std::size_t tag_bytes = message_authenticator::truncated_bytes;

/// Derives a separate key for datagrams, so that a frame of a link is never
/// valid as a datagram or vice versa.
std::string datagram_key(std::string_view key)
{
    message_authenticator root(key);
    return std::string(full_view(root.tag({"hawthornspur datagram"})));
}

void put_record(field_writer& writer, core::host_record const& record)
{
    writer.begin_array(11);
    writer.put(record.m_name);
    writer.put(record.m_zone);
    writer.put(record.m_address);
    writer.put(record.m_caller_port);
    writer.put(record.m_peer_port);
    writer.put(record.m_incarnation);
    writer.put(record.m_version);
    writer.put(static_cast<std::uint8_t>(record.m_state));
    writer.put(record.m_generation);
    writer.put(record.m_once_epoch);
    writer.put(record.m_millicores);
}

core::host_record get_record(field_reader& reader)
{
    field_reader fields(reader.next());
    core::host_record record;
    record.m_name = fields.get<std::string>();
    record.m_zone = fields.get<std::string>();
    record.m_address = fields.get<std::string>();
    record.m_caller_port = fields.get<std::uint16_t>();
    record.m_peer_port = fields.get<std::uint16_t>();
    record.m_incarnation = fields.get<std::uint64_t>();
    record.m_version = fields.get<std::uint64_t>();
    record.m_state = fields.get_enum(core::host_state::dead);
    record.m_generation = fields.get<std::uint64_t>();
    record.m_once_epoch = fields.get<std::uint64_t>();
    if (fields.size() > record_fields_before_millicores)
    {
        record.m_millicores = fields.get<int>();
    }
    return record;
}

core::membership_message read_message(field_reader& reader)
{
    core::membership_message message;
    message.m_kind = reader.get_enum(core::membership_message_kind::ack);
    message.m_sequence = reader.get<std::uint64_t>();
    message.m_sender = get_record(reader);
    message.m_subject = reader.get<std::string>();
    field_reader updates(reader.next());
    message.m_updates.reserve(updates.size());
    for (std::size_t i = 0; i < updates.size(); ++i)
    {
        message.m_updates.push_back(get_record(updates));
    }
    return message;
}

} // namespace

datagram_codec::datagram_codec(std::string_view key)
    : m_authenticator(datagram_key(key))
{
}

std::string datagram_codec::encode(core::membership_message const& message)
{
    std::string out(tag_bytes, '\0');
    field_writer writer(out, static_cast<std::uint32_t>(wire_type::membership),
                        5);
    writer.put(static_cast<std::uint8_t>(message.m_kind));
    writer.put(message.m_sequence);
    put_record(writer, message.m_sender);
    writer.put(message.m_subject);
    writer.begin_array(message.m_updates.size());
    for (auto const& record : message.m_updates)
    {
        put_record(writer, record);
    }
    auto const tag =
        m_authenticator.tag({std::string_view(out).substr(tag_bytes)});
    out.replace(0, tag_bytes, truncated_view(tag));
    return out;
}

result<core::membership_message> datagram_codec::decode(std::string_view bytes)
{
    if (bytes.size() <= tag_bytes)
    {
        return make_error(result_code::frame_malformed,
                          "datagram too short for its tag");
    }
    auto const payload = bytes.substr(tag_bytes);
    if (!equals_in_constant_time(
            bytes.substr(0, tag_bytes),
            truncated_view(m_authenticator.tag({payload}))))
    {
        return make_error(result_code::authentication_failed,
                          "datagram with an invalid tag");
    }
    auto unpacked = unpack_message(payload);
    if (!has_value(unpacked))
    {
        return failure(unpacked);
    }
    if (value(unpacked).m_type !=
        static_cast<std::uint32_t>(wire_type::membership))
    {
        return make_error(result_code::unexpected_message,
                          "datagram of unknown type");
    }
    try
    {
        field_reader reader(value(unpacked).m_handle.get());
        reader.next();
        reader.next();
        return read_message(reader);
    }
    catch (std::exception const& problem)
    {
        return make_error(result_code::frame_malformed, problem.what());
    }
}

} // namespace hawthornspur::net
