#include "net/peer_messages.hpp"

#include "net/msgpack_fields.hpp"
#include "net/peer_wire.hpp"

#include <algorithm>
#include <cmath>
#include <exception>
#include <utility>

namespace hawthornspur::net
{

namespace
{

/// Upper bound of the encoded bytes of a chunk message besides its data, for
/// reserving the buffer.
constexpr std::size_t max_header_bytes = 64;

field_writer begin(std::string& out, wire_type type, std::uint32_t fields)
{
    return {out, static_cast<std::uint32_t>(type), fields};
}

void put_headers(field_writer& writer, http_headers const& headers)
{
    // Names and values alternate.
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

void put_attempts(field_writer& writer, attempt_record const& attempts)
{
    writer.put(attempts.m_count);
    writer.begin_array(attempts.m_targets.size());
    for (auto const& target : attempts.m_targets)
    {
        writer.put(target);
    }
}

attempt_record get_attempts(field_reader& reader)
{
    attempt_record attempts;
    attempts.m_count = reader.get_count();
    field_reader targets(reader.next());
    while (!targets.is_at_end())
    {
        attempts.m_targets.push_back(targets.get<std::string>());
    }
    return attempts;
}

void write(std::string& out, forward_request const& message)
{
    auto writer = begin(out, wire_type::forward_request, 18);
    writer.put(message.m_id);
    writer.put(static_cast<std::uint8_t>(message.m_purpose));
    writer.put(message.m_service);
    writer.put(message.m_zone);
    writer.put(message.m_kind);
    writer.put(message.m_generation);
    writer.put(message.m_time_left);
    writer.put(message.m_once_key);
    writer.put(message.m_earlier_attempts);
    writer.put(message.m_hops);
    writer.put(message.m_method);
    writer.put(message.m_uri);
    put_headers(writer, message.m_headers);
    writer.put(message.m_body_size);
    writer.put(message.m_request_id);
    put_attempts(writer, message.m_attempts);
    writer.put(message.m_customer);
}

peer_message read_forward_request(field_reader& reader)
{
    forward_request message;
    message.m_id = reader.get<forward_id>();
    message.m_purpose = reader.get_enum(forward_purpose::to_home);
    message.m_service = reader.get<std::string>();
    message.m_zone = reader.get<std::string>();
    message.m_kind = reader.get<std::string>();
    message.m_generation = reader.get<std::uint64_t>();
    message.m_time_left = reader.get_duration();
    message.m_once_key = reader.get<std::string>();
    message.m_earlier_attempts = reader.get_count();
    message.m_hops = reader.get_count();
    message.m_method = reader.get<std::string>();
    message.m_uri = reader.get<std::string>();
    message.m_headers = get_headers(reader);
    message.m_body_size = reader.get<std::uint64_t>();
    if (!reader.is_at_end())
    {
        message.m_request_id = reader.get<std::string>();
    }
    if (!reader.is_at_end())
    {
        message.m_attempts = get_attempts(reader);
    }
    if (!reader.is_at_end())
    {
        message.m_customer = reader.get<std::string>();
    }
    return message;
}

void write_chunk(std::string& out, wire_type type, forward_id id,
                 std::string_view data)
{
    auto writer = begin(out, type, 2);
    writer.put(id);
    writer.put_bytes(data);
}

void write(std::string& out, body_chunk const& message)
{
    write_chunk(out, wire_type::body_chunk, message.m_id, message.m_data);
}

void write(std::string& out, answer_chunk const& message)
{
    write_chunk(out, wire_type::answer_chunk, message.m_id, message.m_data);
}

template <class Chunk>
peer_message read_chunk(field_reader& reader)
{
    Chunk message;
    message.m_id = reader.get<forward_id>();
    message.m_data = reader.get<std::string>();
    return message;
}

void write(std::string& out, answer_head const& message)
{
    auto writer = begin(out, wire_type::answer_head, 4);
    writer.put(message.m_id);
    writer.put(message.m_head.m_status);
    put_headers(writer, message.m_head.m_headers);
    if (message.m_length)
    {
        writer.put(*message.m_length);
    }
    else
    {
        writer.put(msgpack::type::nil_t());
    }
}

peer_message read_answer_head(field_reader& reader)
{
    // Interim answers (1xx) are not passed on between hosts.
    constexpr int lowest_status = 200;
    constexpr int highest_status = 599;
    answer_head message;
    message.m_id = reader.get<forward_id>();
    message.m_head.m_status = reader.get_count();
    if (message.m_head.m_status < lowest_status ||
        message.m_head.m_status > highest_status)
    {
        throw msgpack::type_error();
    }
    message.m_head.m_headers = get_headers(reader);
    auto const& length = reader.next();
    if (!length.is_nil())
    {
        message.m_length = length.as<std::uint64_t>();
    }
    return message;
}

void write(std::string& out, answer_end const& message)
{
    begin(out, wire_type::answer_end, 1).put(message.m_id);
}

void write(std::string& out, refusal const& message)
{
    auto writer = begin(out, wire_type::refusal, 5);
    writer.put(message.m_id);
    writer.put(static_cast<std::uint16_t>(message.m_code));
    writer.put(message.m_retry_after);
    put_attempts(writer, message.m_attempts);
}

peer_message read_refusal(field_reader& reader)
{
    refusal message;
    message.m_id = reader.get<forward_id>();
    message.m_code = static_cast<result_code>(reader.get<std::uint16_t>());
    if (!reader.is_at_end())
    {
        message.m_retry_after = reader.get_duration();
    }
    if (!reader.is_at_end())
    {
        message.m_attempts = get_attempts(reader);
    }
    auto const table = result_code_table();
    auto const is_known = std::any_of(table.begin(), table.end(),
                                      [&](result_code_info const& row)
                                      { return row.m_code == message.m_code; });
    if (!is_known)
    {
        // A code of a newer version. Whether the request ran is unknown.
        message.m_code = result_code::peer_link_lost;
    }
    return message;
}

void write(std::string& out, cancel_request const& message)
{
    begin(out, wire_type::cancel, 1).put(message.m_id);
}

void write(std::string& out, window_update const& message)
{
    auto writer = begin(out, wire_type::window, 2);
    writer.put(message.m_id);
    writer.put(message.m_bytes);
}

peer_message read_window(field_reader& reader)
{
    window_update message;
    message.m_id = reader.get<forward_id>();
    message.m_bytes = reader.get<std::uint32_t>();
    return message;
}

void write(std::string& out, pool_summary_message const& message)
{
    auto writer = begin(out, wire_type::pool_summary, 6);
    writer.put(message.m_service);
    writer.put(message.m_zone);
    writer.put(message.m_free_slots);
    writer.put(message.m_slots);
    writer.put(message.m_queued);
    writer.put(message.m_expected_wait);
}

peer_message read_summary(field_reader& reader)
{
    pool_summary_message message;
    message.m_service = reader.get<std::string>();
    message.m_zone = reader.get<std::string>();
    message.m_free_slots = reader.get<std::int32_t>();
    message.m_slots = reader.get<std::int32_t>();
    message.m_queued = reader.get<std::uint64_t>();
    message.m_expected_wait = reader.get_duration();
    return message;
}

void write(std::string& out, configuration_request const& message)
{
    begin(out, wire_type::configuration_request, 1).put(message.m_generation);
}

void write(std::string& out, configuration_reply const& message)
{
    auto writer = begin(out, wire_type::configuration_reply, 2);
    writer.put(message.m_generation);
    writer.put_bytes(message.m_document);
}

peer_message read_configuration_reply(field_reader& reader)
{
    configuration_reply message;
    message.m_generation = reader.get<std::uint64_t>();
    message.m_document = reader.get<std::string>();
    return message;
}

void write(std::string& out, handover_message const& message)
{
    auto writer = begin(out, wire_type::handover, 3);
    writer.put(message.m_service);
    writer.put(message.m_zone);
    writer.begin_array(message.m_targets.size());
    for (auto const& target : message.m_targets)
    {
        writer.begin_array(3);
        writer.put(target.m_target);
        writer.put(target.m_in_flight);
        writer.put(target.m_limit);
    }
}

peer_message read_handover(field_reader& reader)
{
    handover_message message;
    message.m_service = reader.get<std::string>();
    message.m_zone = reader.get<std::string>();
    field_reader targets(reader.next());
    message.m_targets.reserve(targets.size());
    for (std::size_t i = 0; i < targets.size(); ++i)
    {
        field_reader fields(targets.next());
        handover_target target;
        target.m_target = fields.get<std::string>();
        target.m_in_flight = fields.get<std::int32_t>();
        target.m_limit = fields.get<double>();
        message.m_targets.push_back(std::move(target));
    }
    return message;
}

void write(std::string& out, rate_limits_message const& message)
{
    auto writer = begin(out, wire_type::rate_limits, 3);
    writer.put(message.m_service);
    writer.put(message.m_zone);
    writer.begin_array(message.m_limits.size());
    for (auto const& limit : message.m_limits)
    {
        writer.begin_array(2);
        writer.put(limit.m_target);
        writer.put(limit.m_limit);
    }
}

peer_message read_rate_limits(field_reader& reader)
{
    rate_limits_message message;
    message.m_service = reader.get<std::string>();
    message.m_zone = reader.get<std::string>();
    field_reader limits(reader.next());
    for (std::size_t i = 0; i < limits.size(); ++i)
    {
        field_reader fields(limits.next());
        advertised_limit limit;
        limit.m_target = fields.get<std::string>();
        limit.m_limit = fields.get<double>();
        if (!std::isfinite(limit.m_limit) || limit.m_limit < 0)
        {
            throw msgpack::type_error();
        }
        message.m_limits.push_back(std::move(limit));
    }
    return message;
}

void put_age(field_writer& writer, std::optional<core::duration> age)
{
    if (age)
    {
        writer.put(*age);
    }
    else
    {
        writer.put(msgpack::type::nil_t());
    }
}

/// Reads an age. One above the limit would only overflow times computed from
/// it.
core::duration get_age(field_reader& reader)
{
    constexpr auto max_age = std::chrono::hours(24);
    auto const age = reader.get_duration();
    if (age < core::duration(0) || age > max_age)
    {
        throw msgpack::type_error();
    }
    return age;
}

std::optional<core::duration> get_optional_age(field_reader& reader)
{
    if (reader.is_next_nil())
    {
        reader.next();
        return std::nullopt;
    }
    return get_age(reader);
}

void write(std::string& out, crash_suspects_message const& message)
{
    auto writer = begin(out, wire_type::crash_suspects, 1);
    writer.begin_array(message.m_entries.size());
    for (auto const& entry : message.m_entries)
    {
        writer.begin_array(4);
        writer.put(entry.m_content.m_value);
        put_age(writer, entry.m_last_answer_age);
        put_age(writer, entry.m_last_trial_age);
        writer.begin_array(entry.m_reports.size());
        for (auto const& report : entry.m_reports)
        {
            writer.begin_array(3);
            writer.put(report.m_target_hash);
            writer.put(report.m_age);
            writer.put(report.m_weight);
        }
    }
}

crash_report_entry read_crash_report(field_reader fields)
{
    crash_report_entry report;
    report.m_target_hash = fields.get<std::uint64_t>();
    report.m_age = get_age(fields);
    report.m_weight = fields.get<double>();
    if (!std::isfinite(report.m_weight) || report.m_weight <= 0 ||
        report.m_weight > 1)
    {
        throw msgpack::type_error();
    }
    return report;
}

peer_message read_crash_suspects(field_reader& reader)
{
    crash_suspects_message message;
    field_reader entries(reader.next());
    for (std::size_t i = 0; i < entries.size(); ++i)
    {
        field_reader fields(entries.next());
        suspect_entry entry;
        entry.m_content = {fields.get<std::uint64_t>()};
        entry.m_last_answer_age = get_optional_age(fields);
        entry.m_last_trial_age = get_optional_age(fields);
        field_reader reports(fields.next());
        for (std::size_t j = 0; j < reports.size(); ++j)
        {
            entry.m_reports.push_back(
                read_crash_report(field_reader(reports.next())));
        }
        message.m_entries.push_back(std::move(entry));
    }
    return message;
}

void write(std::string& out, evacuated_zones_message const& message)
{
    auto writer = begin(out, wire_type::evacuated_zones, 3);
    writer.put(message.m_epoch);
    writer.put(message.m_revision);
    writer.begin_array(message.m_zones.size());
    for (auto const& zone : message.m_zones)
    {
        writer.put(zone);
    }
}

peer_message read_evacuated_zones(field_reader& reader)
{
    evacuated_zones_message message;
    message.m_epoch = reader.get<std::uint64_t>();
    message.m_revision = reader.get<std::uint64_t>();
    field_reader zones(reader.next());
    for (std::size_t i = 0; i < zones.size(); ++i)
    {
        message.m_zones.push_back(zones.get<std::string>());
    }
    return message;
}

void write(std::string& out, configuration_proof_request const& message)
{
    begin(out, wire_type::configuration_proof_request, 1).put(message.m_number);
}

void write(std::string& out, configuration_proof_message const& message)
{
    auto writer = begin(out, wire_type::configuration_proof, 3);
    writer.put(message.m_number);
    writer.put(message.m_generation);
    writer.put(message.m_age);
}

peer_message read_configuration_proof(field_reader& reader)
{
    configuration_proof_message message;
    message.m_number = reader.get<std::uint64_t>();
    message.m_generation = reader.get<std::uint64_t>();
    message.m_age = get_age(reader);
    return message;
}

/// Reads a number of tokens.
double get_tokens(field_reader& reader)
{
    auto const tokens = reader.get<double>();
    if (!std::isfinite(tokens) || tokens < 0 || tokens > max_quota_tokens)
    {
        throw msgpack::type_error();
    }
    return tokens;
}

/// Reads the list of customers of a message about quotas.
field_reader get_quota_list(field_reader& reader)
{
    field_reader list(reader.next());
    if (list.size() > max_quota_customers)
    {
        throw msgpack::type_error();
    }
    return list;
}

void write(std::string& out, quota_request const& message)
{
    auto writer = begin(out, wire_type::quota_request, 2);
    writer.put(message.m_sequence);
    writer.begin_array(message.m_questions.size());
    for (auto const& question : message.m_questions)
    {
        writer.begin_array(4);
        writer.put(question.m_customer);
        writer.put(question.m_wanted);
        writer.put(question.m_used);
        writer.put(question.m_unused);
    }
}

peer_message read_quota_request(field_reader& reader)
{
    quota_request message;
    message.m_sequence = reader.get<std::uint64_t>();
    auto list = get_quota_list(reader);
    while (!list.is_at_end())
    {
        field_reader fields(list.next());
        quota_question question;
        question.m_customer = fields.get<std::string>();
        question.m_wanted = get_tokens(fields);
        question.m_used = get_tokens(fields);
        question.m_unused = get_tokens(fields);
        message.m_questions.push_back(std::move(question));
    }
    return message;
}

void write(std::string& out, quota_grant const& message)
{
    auto writer = begin(out, wire_type::quota_grant, 2);
    writer.put(message.m_sequence);
    writer.begin_array(message.m_answers.size());
    for (auto const& answer : message.m_answers)
    {
        writer.begin_array(3);
        writer.put(answer.m_customer);
        writer.put(answer.m_tokens);
        writer.put(answer.m_next_token);
    }
}

peer_message read_quota_grant(field_reader& reader)
{
    quota_grant message;
    message.m_sequence = reader.get<std::uint64_t>();
    auto list = get_quota_list(reader);
    while (!list.is_at_end())
    {
        field_reader fields(list.next());
        quota_answer answer;
        answer.m_customer = fields.get<std::string>();
        answer.m_tokens = get_tokens(fields);
        answer.m_next_token = fields.get_duration();
        if (answer.m_next_token < core::duration(0) ||
            answer.m_next_token > max_quota_delay)
        {
            throw msgpack::type_error();
        }
        message.m_answers.push_back(std::move(answer));
    }
    return message;
}

void write(std::string& out, target_leaving const& message)
{
    auto writer = begin(out, wire_type::leaving, 3);
    writer.put(message.m_service);
    writer.put(message.m_target);
    writer.put(message.m_incarnation);
}

void write(std::string& out, generation_announcement const& message)
{
    auto const& newest = message.m_newest;
    auto writer = begin(out, wire_type::generation, newest ? 4 : 1);
    writer.put(message.m_generation);
    if (newest)
    {
        writer.put(newest->m_epoch);
        writer.put(newest->m_revision);
        writer.put(message.m_is_newest_used);
    }
}

peer_message read_generation_announcement(field_reader& reader)
{
    generation_announcement message;
    message.m_generation = reader.get<std::uint64_t>();
    if (!reader.is_at_end())
    {
        auto const epoch = reader.get<std::uint64_t>();
        message.m_newest = {epoch, reader.get<std::uint64_t>()};
        message.m_is_newest_used = reader.get<bool>();
    }
    return message;
}

peer_message read_leaving(field_reader& reader)
{
    target_leaving message;
    message.m_service = reader.get<std::string>();
    message.m_target = reader.get<std::string>();
    if (!reader.is_at_end())
    {
        message.m_incarnation = reader.get<std::uint64_t>();
    }
    return message;
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
    case wire_type::generation:
        return read_generation_announcement(reader);
    case wire_type::rate_limits:
        return read_rate_limits(reader);
    case wire_type::crash_suspects:
        return read_crash_suspects(reader);
    case wire_type::configuration_proof_request:
        return peer_message(
            configuration_proof_request{reader.get<std::uint64_t>()});
    case wire_type::configuration_proof:
        return read_configuration_proof(reader);
    case wire_type::quota_request:
        return read_quota_request(reader);
    case wire_type::quota_grant:
        return read_quota_grant(reader);
    case wire_type::evacuated_zones:
        return read_evacuated_zones(reader);
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
    std::visit([&](auto const& alternative) { write(out, alternative); },
               message);
    return out;
}

std::string encode_body_chunk(forward_id id, std::string_view data)
{
    std::string out;
    out.reserve(data.size() + max_header_bytes);
    write_chunk(out, wire_type::body_chunk, id, data);
    return out;
}

std::string encode_answer_chunk(forward_id id, std::string_view data)
{
    std::string out;
    out.reserve(data.size() + max_header_bytes);
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
