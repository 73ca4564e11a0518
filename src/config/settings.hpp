#ifndef HAWTHORNSPUR_CONFIG_SETTINGS_HPP
#define HAWTHORNSPUR_CONFIG_SETTINGS_HPP

#include "config/document.hpp"
#include "core/time.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace hawthornspur::config
{

struct listen_address
{
    std::string m_address = "127.0.0.1";
    std::uint16_t m_port = 0;
    friend bool operator==(listen_address const&,
                           listen_address const&) = default;
};

/// Which platform the host runs on.
enum class platform_kind : std::uint8_t
{
    /// The one that the project's tools emulate.
    own,
    /// The users' platform: configuration and targets lie in its store.
    users,
};

/// Settings of one entry host, read at start and again on SIGHUP.
struct host_settings
{
    /// Lower-case letters, digits and hyphens; part of at-most-once keys.
    std::string m_name;
    std::string m_zone;
    /// Where callers connect.
    listen_address m_callers;
    /// TCP and UDP for other entry hosts.
    listen_address m_peers;
    /// Status, drain and metrics; loopback unless set otherwise.
    listen_address m_administration;
    listen_address m_platform;
    /// File with the shared peer key; without it only loopback is allowed.
    std::string m_peer_key_file;
    std::string m_log_level = "info";
    std::size_t m_max_headers_bytes = std::size_t{32} << 10U;
    std::size_t m_max_connections = 10'000;
    /// Longest time a planned stop may take.
    core::duration m_stop_bound = std::chrono::seconds(60);
    /// Calls to the platform a second, a waiting watch counted as one.
    double m_platform_calls_per_second = 5;
    std::size_t m_max_once_keys = 100'000;
    platform_kind m_platform_kind = platform_kind::own;
    /// Where callers ask for addresses, and where readiness is asked, when
    /// these have listeners of their own.
    std::optional<listen_address> m_directory;
    std::optional<listen_address> m_readiness;
    /// Zones and their regions where the configuration document names none.
    std::map<std::string, std::string> m_zones;
    /// One-way delay that is assumed between two of these zones.
    core::duration m_zone_delay = std::chrono::milliseconds(5);
    /// Hosts of a zone that own its pools, for such documents; 0 is all.
    int m_max_owners_per_zone = 0;
    /// Cores of the host's machine and the share of them that it may use. Of
    /// few owners in a zone, those with most processor time are chosen.
    double m_cores = 1;
    double m_processor_share = 1;
    /// The network between entry hosts is closed to others, so that no peer
    /// key is needed.
    bool m_is_peer_network_trusted = false;
    /// Bounds as the platform states them, in its own names.
    std::map<std::string, double> m_platform_bounds;
};

/// Parses and checks a settings file: JSON with comments.
parse_result<host_settings> parse_settings(std::string_view text);

} // namespace hawthornspur::config

#endif
