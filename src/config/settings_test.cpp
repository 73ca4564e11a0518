#include "config/settings.hpp"

#include <doctest/doctest.h>

#include <algorithm>

namespace hawthornspur::config
{

namespace
{

constexpr std::string_view small_settings = R"({
  "name": "entry-1", "zone": "a",
  "callers": {"port": 8080},
  "peers": {"address": "127.0.0.1", "port": 8081},
  "platform": {"port": 8500},
  /* all other fields have defaults */
  "stop_bound": "90s"
})";

// The small settings with `from` replaced by `to`.
std::string replace_in_settings(std::string_view from, std::string_view to)
{
    std::string text(small_settings);
    auto const position = text.find(from);
    REQUIRE(position != std::string::npos);
    return text.replace(position, from.size(), to);
}

} // namespace

// Guards against settings that are assigned to the wrong member.
TEST_CASE("settings are parsed with comments and defaults")
{
    auto const result = parse_settings(small_settings);
    REQUIRE(std::holds_alternative<host_settings>(result));
    auto const& settings = std::get<host_settings>(result);
    CHECK(settings.m_name == "entry-1");
    CHECK(settings.m_callers.m_port == 8080);
    CHECK(settings.m_peers.m_port == 8081);
    CHECK(settings.m_platform.m_address == "127.0.0.1");
    CHECK(settings.m_stop_bound == std::chrono::seconds(90));
    CHECK(settings.m_max_once_keys == 100'000);
}

// Guards against a host that starts with invalid settings.
TEST_CASE("each fault of the settings is reported with its code and path")
{
    struct fault_case
    {
        std::string_view m_from;
        std::string_view m_to;
        result_code m_code;
        std::string_view m_path;
    };
    using enum result_code;
    auto const cases = std::to_array<fault_case>({
        {"\"entry-1\"", "\"Entry 1\"", value_out_of_range, "name"},
        {"\"zone\": \"a\",", "", missing_field, "zone"},
        {"{\"port\": 8080}", "8080", wrong_type, "callers"},
        {"{\"port\": 8500}", "{\"port\": 0}", value_out_of_range,
         "platform.port"},
        {"127.0.0.1", "10.0.0.1", value_out_of_range, "peers.address"},
        {"\"90s\"", "90", wrong_type, "stop_bound"},
        {"\"stop_bound\"", "\"stop_limit\"", unknown_field, "stop_limit"},
        {"\"90s\"", "\"90s\", \"log_level\": \"loud\"", value_out_of_range,
         "log_level"},
        {"\"90s\"", "\"90s\", \"platform_calls_per_second\": 0",
         value_out_of_range, "platform_calls_per_second"},
    });
    for (auto const& entry : cases)
    {
        CAPTURE(entry.m_to);
        auto const result =
            parse_settings(replace_in_settings(entry.m_from, entry.m_to));
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

// Guards against settings of the users' platform that are assigned to the wrong
// member, or refused because of unknown platform bounds.
TEST_CASE("settings written by the users' platform are parsed")
{
    auto const result = parse_settings(R"({
      "name": "entry-1", "zone": "a", "callers": "10.0.0.1:80",
      "directory": "10.0.0.1:81", "readiness": "10.0.0.1:82",
      "peers": {"address": "10.0.0.1", "port": 83},
      "platform": "10.0.0.9:84", "platform_kind": "users",
      "trust_peer_network": true, "zones": {"a": "r", "b": "r"},
      "max_owners_per_zone": 1,
      "platform_bounds": {"grace_s": 6, "other": "text", "half": 0.5}
    })");
    REQUIRE(std::holds_alternative<host_settings>(result));
    auto const& settings = std::get<host_settings>(result);
    CHECK(settings.m_callers == listen_address{"10.0.0.1", 80});
    CHECK(settings.m_directory == listen_address{"10.0.0.1", 81});
    CHECK(settings.m_readiness == listen_address{"10.0.0.1", 82});
    CHECK(settings.m_platform == listen_address{"10.0.0.9", 84});
    CHECK(settings.m_platform_kind == platform_kind::users);
    CHECK(settings.m_zones.size() == 2);
    CHECK(settings.m_max_owners_per_zone == 1);
    CHECK(settings.m_platform_bounds.size() == 2);
    CHECK(settings.m_platform_bounds.at("half") == 0.5);
}

// Guards against malformed address texts that are accepted and open a listener
// on an unintended port.
TEST_CASE("an address text needs an address and a port")
{
    for (std::string_view const text :
         {"", "80", "127.0.0.1", "127.0.0.1:", "127.0.0.1:65536",
          "127.0.0.1:-1", "host:80", "127.0.0.1:80x"})
    {
        CAPTURE(text);
        auto const result = parse_settings(replace_in_settings(
            "{\"port\": 8080}", "\"" + std::string(text) + "\""));
        REQUIRE(std::holds_alternative<fault_list>(result));
        CHECK(std::get<fault_list>(result).front().m_path == "callers");
    }
}

// Guards against a host that ends without a message because of one entry.
TEST_CASE("deeply nested settings are rejected with a fault")
{
    constexpr std::size_t depth = 100'000;
    auto const nested = std::string(depth, '[') + std::string(depth, ']');
    for (auto const* field : {"seeds", "zones", "platform_bounds", "callers"})
    {
        auto const result =
            parse_settings(std::string("{\"") + field + "\":[" + nested + "]}");
        CHECK(std::holds_alternative<fault_list>(result));
    }
}

} // namespace hawthornspur::config
