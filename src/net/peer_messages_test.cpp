#include "net/answer_validator.hpp"
#include "net/datagram_codec.hpp"
#include "net/msgpack_fields.hpp"
#include "net/peer_messages.hpp"
#include "net/peer_wire.hpp"

#include <doctest/doctest.h>

#include <limits>
#include <string>
#include <vector>

namespace hawthornspur::net
{

namespace
{

std::vector<peer_message> sample_messages()
{
    using std::chrono::milliseconds;
    return {forward_request{7,
                            forward_purpose::to_home,
                            "orders",
                            "east",
                            "place",
                            12,
                            milliseconds(250),
                            "h.1.2.3.4",
                            1,
                            2,
                            "POST",
                            "/orders?x=1",
                            {{"Host", "orders"}, {"X-Empty", ""}},
                            1U << 20U},
            body_chunk{7, std::string("\0\xFF binary", 9)},
            answer_head{7, {200, {{"Content-Type", "text/plain"}}}, 42},
            answer_head{8, {204, {}}, std::nullopt},
            answer_chunk{7, "answer"},
            answer_end{7},
            refusal{7,
                    result_code::queue_full,
                    std::chrono::milliseconds(70),
                    {1, {"i-1"}}},
            cancel_request{7},
            window_update{7, 65536},
            pool_summary_message{"map", "west", 3, 18, 5, milliseconds(4)},
            configuration_request{12},
            configuration_reply{12, "{}"},
            handover_message{"map", "west", {{"t1", 2, 2.5}, {"t2", 0, 1}}},
            target_leaving{"map", "t1", 1700},
            generation_announcement{7},
            generation_announcement{7, core::document_position{2, 90}, true},
            rate_limits_message{"map", "west", {{"t1", 1.5}, {"t2", 0}}},
            crash_suspects_message{
                {{{77},
                  {{5, milliseconds(3), 0.5}, {6, milliseconds(1), 1}},
                  std::nullopt,
                  milliseconds(2)},
                 {{78}, {}, milliseconds(9), std::nullopt}}},
            quota_request{5, {{"harbour", 4, 2, 1}, {"market", 0, 0, 3}}},
            quota_grant{5, {{"market", 0, milliseconds(8)}}},
            configuration_proof_request{5},
            configuration_proof_message{5, 12, milliseconds(900)},
            evacuated_zones_message{2, 1700, {"east", "west"}},
            evacuated_zones_message{}};
}

core::membership_message sample_datagram()
{
    core::host_record record{"host-a",    "east",
                             "127.0.0.1", 8080,
                             9090,        0xFEDCBA9876543210U,
                             3,           core::host_state::live,
                             12,          77};
    auto other = record;
    other.m_name = "host-b";
    other.m_state = core::host_state::suspected;
    return {core::membership_message_kind::ack,
            99,
            record,
            "host-c",
            {record, other}};
}

result_code get_code(result<peer_message> const& decoded)
{
    return has_value(decoded) ? result_code::ok : failure(decoded).m_code;
}

/// Appends a field to an encoded message.
std::string with_extra_field(std::string encoded)
{
    REQUIRE((static_cast<unsigned char>(encoded[0]) & 0xF0U) == 0x90U);
    encoded[0] = static_cast<char>(encoded[0] + 1);
    return encoded + "\xA5later";
}

} // namespace

// Guards against a field that is written and read in a different order or
// type: encoding the decoded message must give the same bytes.
TEST_CASE("every message survives encoding and decoding")
{
    std::size_t type = 0;
    for (auto const& message : sample_messages())
    {
        CAPTURE(type++);
        auto const bytes = encode(message);
        auto const decoded = decode(bytes);
        REQUIRE(has_value(decoded));
        CHECK(value(decoded).index() == message.index());
        CHECK(encode(value(decoded)) == bytes);
    }
}

// Guards against reading past the end of a truncated message, and against
// accepting a message without its last fields.
TEST_CASE("every truncated message is refused")
{
    for (auto const& message : sample_messages())
    {
        auto const bytes = encode(message);
        for (std::size_t size = 0; size < bytes.size(); ++size)
        {
            CHECK(get_code(decode(bytes.substr(0, size))) ==
                  result_code::frame_malformed);
        }
    }
}

// Guards against failing rolling upgrades in which newer hosts append fields.
TEST_CASE("unknown trailing fields are ignored")
{
    auto const decoded = decode(with_extra_field(encode(window_update{5, 9})));
    REQUIRE(has_value(decoded));
    CHECK(std::get<window_update>(value(decoded)).m_bytes == 9);
}

// Guards against a change of the wire format that cannot decode messages of
// hosts that run the first version.
TEST_CASE("recorded messages of the first version are decoded")
{
    using namespace std::string_literals;
    struct row
    {
        std::string m_bytes;
        std::size_t m_index;
    };
    auto const rows = std::vector<row>{
        {"\xdc\x00\x10\x03\x01\x07\x00\xa3map\xa4"
         "east\xa4look\x0c\xce\x00\x0f\x42\x40\xa0\x00\x01\xa3GET\xa1/"
         "\x92\xa4Host\xa3map\x00"s,
         0},
        {"\x94\x04\x01\x07\xc4\x03"
         "abc"s,
         1},
        {"\x96\x05\x01\x07\xcc\xc8\x90\x03"s, 2},
        {"\x94\x06\x01\x07\xc4\x01"
         "a"s,
         3},
        {"\x93\x07\x01\x07"s, 4},
        {"\x94\x08\x01\x07\xcd\x07\xd1"s, 5},
        {"\x93\x09\x01\x07"s, 6},
        {"\x94\x0a\x01\x07\xcd\x10\x00"s, 7},
        {"\x98\x0c\x01\xa3map\xa4"
         "east\x03\x06\x00\xce\x00\x0f\x42\x40"s,
         8},
        {"\x93\x0d\x01\x0c"s, 9},
        {"\x94\x0e\x01\x0c\xc4\x02{}"s, 10},
        {"\x95\x0f\x01\xa3map\xa4"
         "east\x91\x93\xa2t1\x02\xcb\x40\x00\x00\x00\x00\x00\x00\x00"s,
         11},
        {"\x94\x10\x01\xa3map\xa2t1"s, 12},
    };
    for (auto const& row : rows)
    {
        CAPTURE(row.m_index);
        auto const decoded = decode(row.m_bytes);
        REQUIRE(has_value(decoded));
        CHECK(value(decoded).index() == row.m_index);
    }
}

// Guards against malformed input that is accepted or reported with another
// result code.
TEST_CASE("malformed messages are refused with their result code")
{
    using namespace std::string_literals;
    struct row
    {
        char const* m_case;
        std::string m_bytes;
        result_code m_expected;
    };
    auto const rows = std::vector<row>{
        {"empty", "", result_code::frame_malformed},
        {"not an array", "\x07", result_code::frame_malformed},
        {"empty array", "\x90", result_code::frame_malformed},
        {"type is text", "\x93\xa1x\x01\x07", result_code::frame_malformed},
        {"unknown version", "\x93\x07\x02\x07",
         result_code::protocol_version_mismatch},
        {"unknown type", "\x93\x7f\x01\x07", result_code::unexpected_message},
        {"type of another layer", "\x92\x0b\x01",
         result_code::unexpected_message},
        {"negative id", "\x93\x07\x01\xff", result_code::frame_malformed},
        {"bytes after the message", "\x93\x07\x01\x07\x07",
         result_code::frame_malformed},
        {"array announced with 4 GiB elements", "\xdd\xff\xff\xff\xff\x07",
         result_code::frame_malformed},
        {"more elements than any message has",
         "\x93\x07\x01\xdc\xff\xff" + std::string(0xFFFF, '\x01'),
         result_code::frame_malformed},
        {"nested too deeply", std::string(64, '\x91'),
         result_code::frame_malformed},
        {"status outside its range", "\x96\x05\x01\x07\x01\x90\xc0",
         result_code::frame_malformed},
        {"age below zero", "\x95\x16\x01\x05\x0c\xff",
         result_code::frame_malformed},
        {"age above a day",
         "\x95\x16\x01\x05\x0c\xcf\x7f\xff\xff\xff\xff\xff\xff\xff",
         result_code::frame_malformed},
        {"header name without value", "\x96\x05\x01\x07\xcc\xc8\x91\xa1x\xc0",
         result_code::frame_malformed},
    };
    for (auto const& row : rows)
    {
        CAPTURE(row.m_case);
        CHECK(get_code(decode(row.m_bytes)) == row.m_expected);
    }
}

// Guards against looking up a result code of a newer version in the table of
// this version.
TEST_CASE("an unknown code in a refusal means unknown execution")
{
    auto const decoded = decode("\x94\x08\x01\x07\xcd\x27\x0e");
    REQUIRE(has_value(decoded));
    auto const code = std::get<refusal>(value(decoded)).m_code;
    CHECK(info(code).m_execution == execution::unknown);
}

// Guards against an answer that passes the checks at the host that receives it
// and breaks the link to the host that forwarded the request.
TEST_CASE("a link carries the head of each valid answer")
{
    constexpr std::size_t max_head_bytes = std::size_t{64} << 10U;
    bool is_any_refused = false;
    for (std::size_t count : {100U, 4000U, 5000U, 8200U, 16'000U})
    {
        CAPTURE(count);
        http_headers const headers(count, {"a", ""});
        std::string bytes = "HTTP/1.1 200 OK\r\n";
        for (std::size_t i = 0; i < count; ++i)
        {
            bytes += "a:\r\n";
        }
        answer_validator validator(max_head_bytes);
        if (!has_value(validator.filter(bytes + "\r\n")))
        {
            is_any_refused = true;
            continue;
        }
        CHECK(has_value(decode(encode(answer_head{7, {200, headers}, 42}))));
    }
    CHECK(is_any_refused);
}

// Guards against an answer of another host whose status is not an HTTP status,
// which the caller would get.
TEST_CASE("the head of an answer has a final HTTP status")
{
    for (int const status : {200, 404, 599})
    {
        CAPTURE(status);
        CHECK(has_value(decode(encode(answer_head{7, {status, {}}, 0}))));
    }
    for (int const status : {-1, 0, 99, 100, 199, 600, 999})
    {
        CAPTURE(status);
        CHECK(!has_value(decode(encode(answer_head{7, {status, {}}, 0}))));
    }
}

// Guards against numbers from the network that a bucket would keep for ever.
TEST_CASE("quota messages with numbers outside their bounds are refused")
{
    for (double const tokens :
         {-1.0, 1.1e9, std::numeric_limits<double>::infinity(),
          std::numeric_limits<double>::quiet_NaN()})
    {
        CAPTURE(tokens);
        for (peer_message const& message : std::vector<peer_message>{
                 quota_request{1, {{"harbour", tokens, 0, 0}}},
                 quota_request{1, {{"harbour", 0, tokens, 0}}},
                 quota_request{1, {{"harbour", 0, 0, tokens}}},
                 quota_grant{1, {{"harbour", tokens, {}}}}})
        {
            CHECK(get_code(decode(encode(message))) ==
                  result_code::frame_malformed);
        }
    }
    using std::chrono::milliseconds;
    for (auto const delay : {-milliseconds(1), milliseconds(3'600'001)})
    {
        CHECK(
            get_code(decode(encode(quota_grant{1, {{"harbour", 1, delay}}}))) ==
            result_code::frame_malformed);
    }
    quota_request const long_list{
        1, std::vector<quota_question>(max_quota_customers + 1)};
    CHECK(get_code(decode(encode(long_list))) == result_code::frame_malformed);
}

// Guards against records that change between hosts.
TEST_CASE("a datagram survives encoding and decoding")
{
    datagram_codec codec("key");
    auto const bytes = codec.encode(sample_datagram());
    auto const decoded = codec.decode(bytes);
    REQUIRE(has_value(decoded));
    CHECK(codec.encode(value(decoded)) == bytes);
    CHECK(value(decoded).m_updates.size() == 2);
    CHECK(value(decoded).m_sender.m_incarnation == 0xFEDCBA9876543210U);
    CHECK(value(decoded).m_updates[1].m_state == core::host_state::suspected);
}

// Guards against a forged or corrupted datagram that changes the membership.
TEST_CASE("a datagram with any changed byte is refused")
{
    datagram_codec codec("key");
    auto const bytes = codec.encode(sample_datagram());
    for (std::size_t i = 0; i < bytes.size(); ++i)
    {
        auto damaged = bytes;
        damaged[i] = static_cast<char>(damaged[i] ^ 1);
        CHECK(!has_value(codec.decode(damaged)));
        CHECK(!has_value(codec.decode(bytes.substr(0, i))));
    }
    datagram_codec other("other key");
    CHECK(!has_value(other.decode(bytes)));
}

} // namespace hawthornspur::net
