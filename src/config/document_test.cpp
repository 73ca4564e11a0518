#include "config/document.hpp"
#include "config/quantity.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <string>

namespace hawthornspur::config
{

namespace
{

constexpr std::string_view small_document = R"({
  // A comment.
  "generation": 3,
  "change_id": "first",
  "zones": [
    {"name": "a", "region": "r", "one_way_delay": {"b": "5ms"}},
    {"name": "b", "one_way_delay": {"a": "5ms"}, "extra_cost": "2ms"}],
  "services": [
    {"name": "map",
     "kinds": [
       {"name": "page", "method": "GET", "path_prefix": "/",
        "execution": "idempotent", "deadline": "250ms", "hedge": true},
       {"name": "claim", "method": "POST", "path_prefix": "/claims",
        "execution": "at_most_once", "max_share": 0.25,
        "not_run_statuses": [503, 429]}],
     "targets": [
       {"name": "map-1", "zone": "a", "address": "127.0.0.1", "port": 9001,
        "slots": 3},
       {"name": "map-2", "zone": "b", "address": "127.0.0.1", "port": 9002,
        "slots": 3, "state": "draining"}],
     "probe_budget": {"cost_per_second": "12ms"},
     "max_body": "64KiB"}]
})";

// The small document with `from` replaced by `to`.
std::string replace_in_document(std::string_view from, std::string_view to)
{
    std::string text(small_document);
    auto const position = text.find(from);
    REQUIRE(position != std::string::npos);
    return text.replace(position, from.size(), to);
}

core::configuration parse_valid_document(std::string_view text)
{
    auto result = parse_document(text);
    if (auto const* faults = std::get_if<fault_list>(&result))
    {
        FAIL(describe(*faults));
    }
    return std::get<core::configuration>(std::move(result));
}

struct fault_case
{
    std::string_view m_from;
    std::string_view m_to;
    result_code m_code;
    std::string_view m_path;
};

} // namespace

// Guards against fields that are assigned to the wrong member or parsed with
// the wrong unit.
TEST_CASE("a document is parsed with comments, units and defaults")
{
    auto const document = parse_valid_document(small_document);
    CHECK(document.m_generation == 3);
    CHECK(document.m_zones[0].m_one_way_delay.at("b") ==
          std::chrono::milliseconds(5));
    auto const& service = document.m_services.at(0);
    CHECK(service.m_kinds[0].m_deadline == std::chrono::milliseconds(250));
    CHECK(service.m_kinds[0].m_hedge);
    CHECK_FALSE(service.m_kinds[0].m_share_declared);
    CHECK(service.m_kinds[1].m_share_declared);
    CHECK(service.m_kinds[1].m_max_share == 0.25);
    CHECK(service.m_kinds[1].m_not_run_statuses == std::vector{503, 429});
    CHECK(service.m_targets[1].m_state == core::target_state::draining);
    CHECK(service.m_max_body_bytes == 65'536);
    CHECK(service.m_probe_budget.m_cost_per_second ==
          std::chrono::milliseconds(12));
}

// Guards against faults that pass the validation and reach the hosts.
TEST_CASE("each kind of fault is reported with its code and path")
{
    using enum result_code;
    auto const cases = std::to_array<fault_case>({
        {"\"generation\": 3", "\"generation\": \"3\"", wrong_type,
         "generation"},
        {"\"generation\": 3", "\"generation\": -3", value_out_of_range,
         "generation"},
        {"\"generation\": 3", "\"generation\": 3, \"generation\": 4",
         duplicate_name, "generation"},
        {"\"generation\": 3,", "\"generation\": 3", document_syntax, ""},
        {"\"generation\": 3", "\"max_depth\": 1e999", document_syntax, ""},
        {"\"generation\": 3", "\"generations\": 3", unknown_field,
         "generations"},
        {"\"change_id\"", "\"max_depth\": 2.0, \"change_id\"", wrong_type,
         "max_depth"},
        {"\"name\": \"a\", ", "", missing_field, "zones[0].name"},
        {"{\"b\": \"5ms\"}", "{\"b\": 5}", wrong_type,
         "zones[0].one_way_delay.b"},
        {"{\"b\": \"5ms\"}", "{\"b\": \"5\"}", value_out_of_range,
         "zones[0].one_way_delay.b"},
        {"{\"b\": \"5ms\"}", "{\"b\": \"5 ms\"}", value_out_of_range,
         "zones[0].one_way_delay.b"},
        {"{\"b\": \"5ms\"}", "{\"b\": \"99999999999999999999s\"}",
         value_out_of_range, "zones[0].one_way_delay.b"},
        {"{\"b\": \"5ms\"}", "{\"b\": \"5ms\", \"c\": \"5ms\"}",
         unknown_reference, "zones[0].one_way_delay.c"},
        {"{\"b\": \"5ms\"}", "{}", missing_field, "zones[0].one_way_delay.b"},
        {"\"name\": \"b\"", "\"name\": \"a\"", duplicate_name, "zones[1].name"},
        {"\"name\": \"map\"", "\"name\": \"Map\"", value_out_of_range,
         "services[0].name"},
        {"\"name\": \"claim\"", "\"name\": \"page\"", duplicate_name,
         "services[0].kinds[1].name"},
        {"\"method\": \"POST\"", "\"method\": \"post\"", value_out_of_range,
         "services[0].kinds[1].method"},
        {"\"method\": \"POST\"", "\"method\": \"GET\"", value_out_of_range,
         "services[0].kinds[1].path_prefix"},
        {"\"path_prefix\": \"/claims\"", "\"path_prefix\": \"claims\"",
         value_out_of_range, "services[0].kinds[1].path_prefix"},
        {"\"at_most_once\"", "\"once\"", value_out_of_range,
         "services[0].kinds[1].execution"},
        {"\"max_share\": 0.25", "\"max_share\": 1.5", value_out_of_range,
         "services[0].kinds[1].max_share"},
        {"\"max_share\": 0.25", "\"hedge\": true", value_out_of_range,
         "services[0].kinds[1].hedge"},
        {"\"max_share\": 0.25", "\"deadline\": \"2m\"", value_out_of_range,
         "services[0].kinds[1].deadline"},
        {"[503, 429]", "[503, 200]", value_out_of_range,
         "services[0].kinds[1].not_run_statuses[1]"},
        {"\"zone\": \"b\"", "\"zone\": \"c\"", unknown_reference,
         "services[0].targets[1].zone"},
        {"\"port\": 9002", "\"port\": 9001", duplicate_name,
         "services[0].targets[1].port"},
        {"\"port\": 9002", "\"port\": 65536", value_out_of_range,
         "services[0].targets[1].port"},
        {"\"address\": \"127.0.0.1\"", "\"address\": \"localhost\"",
         value_out_of_range, "services[0].targets[0].address"},
        {"\"slots\": 3}", "\"slots\": 300}", value_out_of_range,
         "services[0].targets[0].max_connections"},
        {"\"64KiB\"", "\"64KB\"", value_out_of_range, "services[0].max_body"},
        {"\"64KiB\"", "65536", wrong_type, "services[0].max_body"},
    });
    for (auto const& entry : cases)
    {
        CAPTURE(entry.m_to);
        auto const result =
            parse_document(replace_in_document(entry.m_from, entry.m_to));
        auto const* faults = std::get_if<fault_list>(&result);
        REQUIRE(faults != nullptr);
        CAPTURE(describe(*faults));
        CHECK(std::any_of(faults->begin(), faults->end(),
                          [&](document_fault const& fault) {
                              return fault.m_code == entry.m_code &&
                                     fault.m_path == entry.m_path;
                          }));
    }
}

// Guards against validation that stops at the first fault, and against messages
// without the value that was found.
TEST_CASE("all faults are reported at once with value and allowed values")
{
    auto text = replace_in_document("\"64KiB\"", "\"64\"");
    text.replace(text.find("\"slots\": 3"), 10, "\"slots\": 0");
    auto const result = parse_document(text);
    REQUIRE(std::holds_alternative<fault_list>(result));
    CHECK(describe(std::get<fault_list>(result)) ==
          "services[0].targets[0].slots: found 0; allowed: a whole number, 1 "
          "to 10000 (5004 value_out_of_range)\n"
          "services[0].max_body: found \"64\"; allowed: a whole number with "
          "one of the units B, KiB, MiB, GiB, 0B to 64MiB (5004 "
          "value_out_of_range)\n");
}

// Guards against documents whose meaning changes when they are printed.
TEST_CASE("a printed document is parsed and printed to the same text")
{
    auto const document = parse_valid_document(small_document);
    auto const text = print_document(document);
    CHECK(print_document(parse_valid_document(text)) == text);
}

// Guards against stored documents with damaged, missing or wrong parts.
TEST_CASE("documents with damaged or missing parts are refused")
{
    auto const document = parse_valid_document(small_document);
    auto const stored = split_document(document);
    auto const joined = join_document(stored);
    REQUIRE(std::holds_alternative<core::configuration>(joined));
    CHECK(print_document(std::get<core::configuration>(joined)) ==
          print_document(document));
    for (auto const& [hash, text] : stored.m_parts)
    {
        auto damaged = stored;
        damaged.m_parts[hash].back() = ' ';
        CHECK(std::holds_alternative<fault_list>(join_document(damaged)));
        auto missing = stored;
        missing.m_parts.erase(hash);
        CHECK(std::holds_alternative<fault_list>(join_document(missing)));
    }
    auto head = stored;
    head.m_head = R"({"generation": 1, "change_id": "x", "parts": ["../x"]})";
    CHECK(std::holds_alternative<fault_list>(join_document(head)));
}

// Guards against content hashes that differ between programs or versions: hosts
// would not find the stored parts.
TEST_CASE("the content hash of a part is stable")
{
    auto const stored = split_document(parse_valid_document(small_document));
    CHECK(stored.m_head == R"({"generation":3,"change_id":"first","parts":)"
                           R"(["02183f5da808e8a8","a797e8f88df33230"]})");
}

// Guards against units that are parsed or printed with the wrong factor.
TEST_CASE("durations and sizes are parsed and printed with their units")
{
    using namespace std::chrono_literals;
    CHECK(parse_duration("2m") == core::duration(120s));
    CHECK(parse_duration("1h") == core::duration(3600s));
    CHECK(parse_duration("7us") == core::duration(7us));
    CHECK_FALSE(parse_duration("").has_value());
    CHECK_FALSE(parse_duration("-1s").has_value());
    CHECK_FALSE(parse_duration("s").has_value());
    CHECK_FALSE(parse_duration("1.5s").has_value());
    CHECK(print_duration(90s) == "90s");
    CHECK(print_duration(1500ms) == "1500ms");
    CHECK(print_duration(0s) == "0s");
    CHECK(parse_size("64KiB") == std::size_t{65'536});
    CHECK_FALSE(parse_size("64kb").has_value());
    CHECK(print_size(0) == "0B");
    CHECK(print_size(1536) == "1536B");
    CHECK(print_size(std::size_t{3} << 20U) == "3MiB");
}

} // namespace hawthornspur::config
