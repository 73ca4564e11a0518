#include "config/settings.hpp"

#include "config/json_text.hpp"
#include "config/value_reader.hpp"

#include <nlohmann/json.hpp>

#include <utility>

namespace hawthornspur::config
{

namespace
{

void read_listen_address(object_reader& parent, std::string_view name,
                         need wanted, std::uint64_t lowest_port,
                         listen_address& out)
{
    constexpr std::uint64_t highest_port = 65'535;
    read_object(parent, name, wanted,
                [&](object_reader& reader)
                {
                    read_text(reader, "address", need::optional,
                              ip_address_rule, out.m_address);
                    read_integer(reader, "port", need::required, lowest_port,
                                 highest_port, out.m_port);
                });
}

bool is_loopback(std::string_view address)
{
    return address.starts_with("127.") || address == "::1";
}

void read_settings(object_reader& reader, host_settings& out)
{
    using std::chrono::hours;
    using std::chrono::seconds;
    constexpr auto kibibyte = std::size_t{1} << 10U;
    constexpr auto mebibyte = std::size_t{1} << 20U;
    constexpr std::uint64_t most_connections = 1'000'000;
    constexpr std::uint64_t most_keys = 10'000'000;
    constexpr double fewest_calls = 0.1;
    constexpr double most_calls = 1000;
    read_text(reader, "name", need::required, name_rule, out.m_name);
    read_text(reader, "zone", need::required, name_rule, out.m_zone);
    // Port 0 lets the kernel choose, which tests and demonstrations use.
    read_listen_address(reader, "callers", need::required, 0, out.m_callers);
    read_listen_address(reader, "peers", need::required, 0, out.m_peers);
    read_listen_address(reader, "administration", need::optional, 0,
                        out.m_administration);
    read_listen_address(reader, "platform", need::required, 1, out.m_platform);
    read_text(reader, "peer_key_file", need::optional, any_text_rule,
              out.m_peer_key_file);
    static std::vector<std::string_view> const levels{"debug", "info", "warn",
                                                      "error"};
    if (auto const level =
            read_word(reader, "log_level", need::optional, levels))
    {
        out.m_log_level = levels[*level];
    }
    read_size(reader, "max_headers", need::optional, kibibyte, mebibyte,
              out.m_max_headers_bytes);
    read_integer(reader, "max_connections", need::optional, 1, most_connections,
                 out.m_max_connections);
    read_duration(reader, "stop_bound", need::optional, seconds(1), hours(1),
                  out.m_stop_bound);
    read_number(reader, "platform_calls_per_second", need::optional,
                fewest_calls, most_calls, out.m_platform_calls_per_second);
    read_integer(reader, "max_once_keys", need::optional, 1, most_keys,
                 out.m_max_once_keys);
    if (out.m_peer_key_file.empty() && !is_loopback(out.m_peers.m_address))
    {
        report(reader, "peers.address", result_code::value_out_of_range,
               "found \"" + out.m_peers.m_address +
                   "\"; allowed: a loopback address, unless peer_key_file is "
                   "set");
    }
}

} // namespace

checked<host_settings> parse_settings(std::string_view text)
{
    problems faults;
    auto const parsed = parse_json(text, faults);
    if (!faults.empty())
    {
        return faults;
    }
    host_settings settings;
    auto reader = open_object(parsed, "", faults);
    if (reader)
    {
        read_settings(*reader, settings);
        report_unknown_fields(*reader);
    }
    if (!faults.empty())
    {
        return faults;
    }
    return settings;
}

} // namespace hawthornspur::config
