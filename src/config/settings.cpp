#include "config/settings.hpp"

#include "base/text.hpp"
#include "config/json_text.hpp"
#include "config/value_reader.hpp"

#include <nlohmann/json.hpp>

#include <optional>
#include <utility>

namespace hawthornspur::config
{

namespace
{

/// Reads an address written as ADDRESS:PORT.
/// Parses ADDRESS:PORT. Nothing if the text is malformed or the port is below
/// `min_port`.
std::optional<listen_address> parse_address(std::string const& text,
                                            std::uint64_t min_port)
{
    auto const colon = text.rfind(':');
    auto const address = text.substr(0, colon);
    if (colon == std::string::npos || !ip_address_rule.m_accepts(address))
    {
        return std::nullopt;
    }
    auto const port =
        parse_number<std::uint16_t>(std::string_view(text).substr(colon + 1));
    if (!port || *port < min_port)
    {
        return std::nullopt;
    }
    return listen_address{address, *port};
}

void read_address_text(object_reader& parent, std::string_view name,
                       std::uint64_t min_port, listen_address& out)
{
    std::string text;
    read_text(parent, name, presence::required, any_text_rule, text);
    auto const parsed = parse_address(text, min_port);
    if (!parsed)
    {
        report(parent, name, result_code::value_out_of_range,
               "found \"" + text + "\"; allowed: ADDRESS:PORT");
        return;
    }
    out = *parsed;
}

void read_listen_address(object_reader& parent, std::string_view name,
                         presence expected, std::uint64_t min_port,
                         listen_address& out)
{
    constexpr std::uint64_t max_port = 65'535;
    auto const field = parent.m_object->find(name);
    if (field != parent.m_object->end() && field->is_string())
    {
        read_address_text(parent, name, min_port, out);
        return;
    }
    read_object(parent, name, expected,
                [&](object_reader& reader)
                {
                    read_text(reader, "address", presence::optional,
                              ip_address_rule, out.m_address);
                    read_integer(reader, "port", presence::required, min_port,
                                 max_port, out.m_port);
                });
}

void read_optional_address(object_reader& reader, std::string_view name,
                           std::optional<listen_address>& out)
{
    if (reader.m_object->contains(name))
    {
        read_listen_address(reader, name, presence::required, 0, out.emplace());
    }
}

void read_zones(object_reader& reader, host_settings& out)
{
    read_object(reader, "zones", presence::optional,
                [&](object_reader& inner)
                {
                    for (auto const& [zone, region] : inner.m_object->items())
                    {
                        read_text(inner, zone, presence::required,
                                  name_or_empty_rule, out.m_zones[zone]);
                    }
                });
}

void read_seeds(object_reader& reader, std::vector<listen_address>& out)
{
    constexpr std::size_t max_seeds = 16;
    read_list(reader, "seeds", presence::optional, 0, max_seeds,
              [&](nlohmann::json const& entry, std::string const& path)
              {
                  auto const parsed =
                      entry.is_string()
                          ? parse_address(entry.get<std::string>(), 1)
                          : std::nullopt;
                  if (!parsed)
                  {
                      report(reader, path, result_code::value_out_of_range,
                             "found " + describe_value(entry) +
                                 "; allowed: ADDRESS:PORT");
                      return;
                  }
                  out.push_back(*parsed);
              });
}

/// Reads the limits stated by the platform. All names are accepted, since the
/// platform defines them; values that are neither numbers nor
/// booleans are ignored.
void read_bounds(object_reader& reader, std::map<std::string, double>& out)
{
    read_object(reader, "platform_bounds", presence::optional,
                [&](object_reader& inner)
                {
                    for (auto const& [name, bound] : inner.m_object->items())
                    {
                        inner.m_known_fields.push_back(name);
                        if (bound.is_number())
                        {
                            out[name] = bound.get<double>();
                        }
                        else if (bound.is_boolean())
                        {
                            out[name] = bound.get<bool>() ? 1 : 0;
                        }
                    }
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
    constexpr std::uint64_t max_connections = 1'000'000;
    constexpr std::uint64_t max_once_keys = 10'000'000;
    constexpr double min_calls_per_second = 0.1;
    constexpr double max_calls_per_second = 1000;
    read_text(reader, "name", presence::required, name_rule, out.m_name);
    read_text(reader, "zone", presence::required, name_rule, out.m_zone);
    // With port 0 the kernel chooses a port, as in tests and demonstrations.
    read_listen_address(reader, "callers", presence::required, 0,
                        out.m_callers);
    read_listen_address(reader, "peers", presence::required, 0, out.m_peers);
    read_listen_address(reader, "administration", presence::optional, 0,
                        out.m_administration);
    read_listen_address(reader, "platform", presence::required, 1,
                        out.m_platform);
    read_text(reader, "peer_key_file", presence::optional, any_text_rule,
              out.m_peer_key_file);
    static std::vector<std::string_view> const levels{"debug", "info", "warn",
                                                      "error"};
    if (auto const level =
            read_keyword(reader, "log_level", presence::optional, levels))
    {
        out.m_log_level = levels[*level];
    }
    read_size(reader, "max_headers", presence::optional, kibibyte, mebibyte,
              out.m_max_headers_bytes);
    read_integer(reader, "max_connections", presence::optional, 1,
                 max_connections, out.m_max_connections);
    constexpr std::uint64_t min_descriptors = 64;
    constexpr std::uint64_t max_descriptors = 100'000'000;
    read_integer(reader, "max_descriptors", presence::optional, min_descriptors,
                 max_descriptors, out.m_max_descriptors);
    read_duration(reader, "stop_bound", presence::optional, seconds(1),
                  hours(1), out.m_stop_bound);
    read_number(reader, "platform_calls_per_second", presence::optional,
                min_calls_per_second, max_calls_per_second,
                out.m_platform_calls_per_second);
    read_integer(reader, "max_once_keys", presence::optional, 1, max_once_keys,
                 out.m_max_once_keys);
    read_choice<platform_kind>(
        reader, "platform_kind", presence::optional,
        {{"own", platform_kind::own}, {"users", platform_kind::users}},
        out.m_platform_kind);
    read_optional_address(reader, "directory", out.m_directory);
    read_optional_address(reader, "readiness", out.m_readiness);
    read_zones(reader, out);
    read_duration(reader, "zone_delay", presence::optional, core::duration(0),
                  seconds(10), out.m_zone_delay);
    constexpr std::uint64_t max_owners = 10'000;
    read_integer(reader, "max_owners_per_zone", presence::optional, 0,
                 max_owners, out.m_max_owners_per_zone);
    constexpr double min_cores = 0.01;
    constexpr double max_cores = 1024;
    constexpr double min_processor_share = 0.001;
    read_number(reader, "processor_share", presence::optional,
                min_processor_share, 1, out.m_processor_share);
    read_number(reader, "cores", presence::optional, min_cores, max_cores,
                out.m_cores);
    read_boolean(reader, "trust_peer_network", presence::optional,
                 out.m_is_peer_network_trusted);
    read_seeds(reader, out.m_seeds);
    read_bounds(reader, out.m_platform_bounds);
    if (out.m_peer_key_file.empty() && !out.m_is_peer_network_trusted &&
        !is_loopback(out.m_peers.m_address))
    {
        report(reader, "peers.address", result_code::value_out_of_range,
               "found \"" + out.m_peers.m_address +
                   "\"; allowed: a loopback address, unless peer_key_file or "
                   "trust_peer_network is set");
    }
}

} // namespace

parse_result<host_settings> parse_settings(std::string_view text)
{
    fault_list faults;
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
