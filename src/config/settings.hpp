#ifndef HAWTHORNSPUR_CONFIG_SETTINGS_HPP
#define HAWTHORNSPUR_CONFIG_SETTINGS_HPP

#include "config/document.hpp"
#include "core/time.hpp"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace hawthornspur::config
{

struct listen_address
{
    std::string m_address = "127.0.0.1";
    std::uint16_t m_port = 0;
};

/// Settings of one entry host, read once at start.
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
};

/// Parses and checks a settings file: JSON with comments.
checked<host_settings> parse_settings(std::string_view text);

} // namespace hawthornspur::config

#endif
