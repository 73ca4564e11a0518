#include "net/peer_messages.hpp"

#include "net/msgpack_fields.hpp"
#include "net/peer_wire.hpp"

#include <algorithm>
#include <exception>
#include <utility>

namespace hawthornspur::net
{

namespace
{

/// Bytes that a message needs besides its strings; saves growing the buffer.
constexpr std::size_t head_bytes = 64;

field_writer begin(std::string& out, wire_type type, std::uint32_t fields)
{
    return {out, static_cast<std::uint32_t>(type), fields};
}

void put_headers(field_writer& writer, http_headers const& headers)
{
    // Names and values in turn.
    writer.begin_array(headers.size() * 2);
    for (auto const& [name, text] : headers)
    {
        writer.put(name);
        writer.put(text);
    }
}

http_headers get_headers(field_reader& reader)
{
    field_reader flat(reader.next());
    if (flat.size() % 2 != 0)
    {
        throw msgpack::type_error();
    }
    http_headers headers;
    headers.reserve(flat.size() / 2);
    for (std::size_t i = 0; i < flat.size(); i += 2)
    {
        auto name = flat.get<std::string>();
        headers.emplace_back(std::move(name), flat.get<std::string>());
    }
    return headers;
}

void write(std::string& out, forward_request const& m)
{
    auto writer = begin(out, wire_type::forward_request, 15);
    writer.put(m.m_id);
    writer.put(static_cast<std::uint8_t>(m.m_purpose));
    writer.put(m.m_service);
    writer.put(m.m_zone);
    writer.put(m.m_kind);
    writer.put(m.m_generation);
    writer.put(m.m_time_left);
    writer.put(m.m_once_key);
    writer.put(m.m_earlier_attempts);
    writer.put(m.m_hops);
    writer.put(m.m_method);
    writer.put(m.m_uri);
    put_headers(writer, m.m_headers);
    writer.put(m.m_body_size);
    writer.put(m.m_request_id);
}

peer_message read_forward_request(field_reader& reader)
{
    forward_request m;
    m.m_id = reader.get<forward_id>();
    m.m_purpose = reader.get_enum(forward_purpose::to_home);
    m.m_service = reader.get<std::string>();
    m.m_zone = reader.get<std::string>();
    m.m_kind = reader.get<std::string>();
    m.m_generation = reader.get<std::uint64_t>();
    m.m_time_left = reader.get_duration();
    m.m_once_key = reader.get<std::string>();
    m.m_earlier_attempts = reader.get_count();
    m.m_hops = reader.get_count();
    m.m_method = reader.get<std::string>();
    m.m_uri = reader.get<std::string>();
    m.m_headers = get_headers(reader);
    m.m_body_size = reader.get<std::uint64_t>();
    if (!reader.is_at_end())
    {
        m.m_request_id = reader.get<std::string>();
    }
    return m;
}

void write_chunk(std::string& out, wire_type type, forward_id id,
                 std::string_view data)
{
    auto writer = begin(out, type, 2);
    writer.put(id);
    writer.put_bytes(data);
}

void write(std::string& out, body_chunk const& m)
{
    write_chunk(out, wire_type::body_chunk, m.m_id, m.m_data);
}

void write(std::string& out, answer_chunk const& m)
{
    write_chunk(out, wire_type::answer_chunk, m.m_id, m.m_data);
}

template <class Chunk>
peer_message read_chunk(field_reader& reader)
{
    Chunk m;
    m.m_id = reader.get<forward_id>();
    m.m_data = reader.get<std::string>();
    return m;
}

void write(std::string& out, answer_head const& m)
{
    auto writer = begin(out, wire_type::answer_head, 4);
    writer.put(m.m_id);
    writer.put(m.m_head.m_status);
    put_headers(writer, m.m_head.m_headers);
    if (m.m_length)
    {
        writer.put(*m.m_length);
    }
    else
    {
        writer.put(msgpack::type::nil_t());
    }
}

peer_message read_answer_head(field_reader& reader)
{
    constexpr int lowest_status = 100;
    constexpr int highest_status = 999;
    answer_head m;
    m.m_id = reader.get<forward_id>();
    m.m_head.m_status = reader.get_count();
    if (m.m_head.m_status < lowest_status || m.m_head.m_status > highest_status)
    {
        throw msgpack::type_error();
    }
    m.m_head.m_headers = get_headers(reader);
    auto const& length = reader.next();
    if (!length.is_nil())
    {
        m.m_length = length.as<std::uint64_t>();
    }
    return m;
}

void write(std::string& out, answer_end const& m)
{
    begin(out, wire_type::answer_end, 1).put(m.m_id);
}

void write(std::string& out, refusal const& m)
{
    auto writer = begin(out, wire_type::refusal, 3);
    writer.put(m.m_id);
    writer.put(static_cast<std::uint16_t>(m.m_code));
    writer.put(m.m_retry_after);
}

peer_message read_refusal(field_reader& reader)
{
    refusal m;
    m.m_id = reader.get<forward_id>();
    m.m_code = static_cast<result_code>(reader.get<std::uint16_t>());
    if (!reader.is_at_end())
    {
        m.m_retry_after = reader.get_duration();
    }
    auto const table = result_code_table();
    auto const is_known = std::any_of(table.begin(), table.end(),
                                      [&](result_code_info const& row)
                                      { return row.m_code == m.m_code; });
    if (!is_known)
    {
        // A code of a newer version: nothing is known about the execution.
        m.m_code = result_code::peer_link_lost;
    }
    return m;
}

void write(std::string& out, cancel_request const& m)
{
    begin(out, wire_type::cancel, 1).put(m.m_id);
}

void write(std::string& out, window_update const& m)
{
    auto writer = begin(out, wire_type::window, 2);
    writer.put(m.m_id);
    writer.put(m.m_bytes);
}

peer_message read_window(field_reader& reader)
{
    window_update m;
    m.m_id = reader.get<forward_id>();
    m.m_bytes = reader.get<std::uint32_t>();
    return m;
}

void write(std::string& out, pool_summary_message const& m)
{
    auto writer = begin(out, wire_type::pool_summary, 6);
    writer.put(m.m_service);
    writer.put(m.m_zone);
    writer.put(m.m_free_slots);
    writer.put(m.m_slots);
    writer.put(m.m_queued);
    writer.put(m.m_expected_wait);
}

peer_message read_summary(field_reader& reader)
{
    pool_summary_message m;
    m.m_service = reader.get<std::string>();
    m.m_zone = reader.get<std::string>();
    m.m_free_slots = reader.get<std::int32_t>();
    m.m_slots = reader.get<std::int32_t>();
    m.m_queued = reader.get<std::uint64_t>();
    m.m_expected_wait = reader.get_duration();
    return m;
}

void write(std::string& out, configuration_request const& m)
{
    begin(out, wire_type::configuration_request, 1).put(m.m_generation);
}

void write(std::string& out, configuration_reply const& m)
{
    auto writer = begin(out, wire_type::configuration_reply, 2);
    writer.put(m.m_generation);
    writer.put_bytes(m.m_document);
}

peer_message read_configuration_reply(field_reader& reader)
{
    configuration_reply m;
    m.m_generation = reader.get<std::uint64_t>();
    m.m_document = reader.get<std::string>();
    return m;
}

void write(std::string& out, handover_message const& m)
{
    auto writer = begin(out, wire_type::handover, 3);
    writer.put(m.m_service);
    writer.put(m.m_zone);
    writer.begin_array(m.m_targets.size());
    for (auto const& target : m.m_targets)
    {
        writer.begin_array(3);
        writer.put(target.m_target);
        writer.put(target.m_in_flight);
        writer.put(target.m_limit);
    }
}

peer_message read_handover(field_reader& reader)
{
    handover_message m;
    m.m_service = reader.get<std::string>();
    m.m_zone = reader.get<std::string>();
    field_reader targets(reader.next());
    m.m_targets.reserve(targets.size());
    for (std::size_t i = 0; i < targets.size(); ++i)
    {
        field_reader fields(targets.next());
        handover_target target;
        target.m_target = fields.get<std::string>();
        target.m_in_flight = fields.get<std::int32_t>();
        target.m_limit = fields.get<double>();
        m.m_targets.push_back(std::move(target));
    }
    return m;
}

void write(std::string& out, target_leaving const& m)
{
    auto writer = begin(out, wire_type::leaving, 2);
    writer.put(m.m_service);
    writer.put(m.m_target);
}

peer_message read_leaving(field_reader& reader)
{
    target_leaving m;
    m.m_service = reader.get<std::string>();
    m.m_target = reader.get<std::string>();
    return m;
}

result<peer_message> read(wire_type type, field_reader& reader)
{
    switch (type)
    {
    case wire_type::forward_request:
        return read_forward_request(reader);
    case wire_type::body_chunk:
        return read_chunk<body_chunk>(reader);
    case wire_type::answer_head:
        return read_answer_head(reader);
    case wire_type::answer_chunk:
        return read_chunk<answer_chunk>(reader);
    case wire_type::answer_end:
        return peer_message(answer_end{reader.get<forward_id>()});
    case wire_type::refusal:
        return read_refusal(reader);
    case wire_type::cancel:
        return peer_message(cancel_request{reader.get<forward_id>()});
    case wire_type::window:
        return read_window(reader);
    case wire_type::pool_summary:
        return read_summary(reader);
    case wire_type::configuration_request:
        return peer_message(configuration_request{reader.get<std::uint64_t>()});
    case wire_type::configuration_reply:
        return read_configuration_reply(reader);
    case wire_type::handover:
        return read_handover(reader);
    case wire_type::leaving:
        return read_leaving(reader);
    case wire_type::hello:
    case wire_type::hello_proof:
    case wire_type::heartbeat:
    case wire_type::fragment:
    case wire_type::membership:
        break;
    }
    return make_error(result_code::unexpected_message,
                      "message of unknown type");
}

} // namespace

std::string encode(peer_message const& message)
{
    std::string out;
    std::visit([&](auto const& m) { write(out, m); }, message);
    return out;
}

std::string encode_body_chunk(forward_id id, std::string_view data)
{
    std::string out;
    out.reserve(data.size() + head_bytes);
    write_chunk(out, wire_type::body_chunk, id, data);
    return out;
}

std::string encode_answer_chunk(forward_id id, std::string_view data)
{
    std::string out;
    out.reserve(data.size() + head_bytes);
    write_chunk(out, wire_type::answer_chunk, id, data);
    return out;
}

result<peer_message> decode(std::string_view bytes)
{
    auto unpacked = unpack_message(bytes);
    if (!has_value(unpacked))
    {
        return failure(unpacked);
    }
    try
    {
        auto const type = value(unpacked).m_type;
        if (type > static_cast<std::uint32_t>(wire_type::membership))
        {
            return make_error(result_code::unexpected_message,
                              "message of unknown type");
        }
        field_reader reader(value(unpacked).m_handle.get());
        reader.next();
        reader.next();
        return read(static_cast<wire_type>(type), reader);
    }
    catch (std::exception const& problem)
    {
        return make_error(result_code::frame_malformed, problem.what());
    }
}

} // namespace hawthornspur::net
