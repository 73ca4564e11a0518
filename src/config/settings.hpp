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

/// The platform that a host runs on.
enum class platform_kind : std::uint8_t
{
    /// The platform interface of this project, see tools/platform_emulator.
    own,
    /// The platform of the users. The host reads both the configuration and the
    /// targets from its store.
    users,
};

/// Settings of one entry host, read at the start and again on SIGHUP.
struct host_settings
{
    /// Lower-case letters, digits and hyphens; part of at-most-once keys.
    std::string m_name;
    std::string m_zone;
    /// Listener for the requests of callers.
    listen_address m_callers;
    /// TCP and UDP port for other entry hosts.
    listen_address m_peers;
    /// Listener for status, drain and metrics. Default: loopback.
    listen_address m_administration;
    /// Address to which calls to the platform are sent.
    listen_address m_platform;
    /// File with the key shared by all peers. If empty, m_peers has to be a
    /// loopback address, unless the peer network is trusted.
    std::string m_peer_key_file;
    std::string m_log_level = "info";
    std::size_t m_max_headers_bytes = std::size_t{32} << 10U;
    std::size_t m_max_connections = 10'000;
    /// Descriptors that the platform allows the process; 0 if it states none.
    /// The limit of the operating system applies as well.
    std::size_t m_max_descriptors = 0;
    /// Upper bound on the duration of a planned stop.
    core::duration m_stop_bound = std::chrono::seconds(60);
    /// Upper bound on the rate of calls to the platform; a watch is one call,
    /// however long it waits.
    double m_platform_calls_per_second = 5;
    std::size_t m_max_once_keys = 100'000;
    platform_kind m_platform_kind = platform_kind::own;
    /// Separate listener for address requests of callers, if any.
    std::optional<listen_address> m_directory;
    /// Separate listener for readiness requests, if any.
    std::optional<listen_address> m_readiness;
    /// Region of each zone, for documents that declare no zones.
    std::map<std::string, std::string> m_zones;
    /// One-way delay that is assumed between any two of m_zones.
    core::duration m_zone_delay = std::chrono::milliseconds(5);
    /// Number of hosts that own the pools of a zone, for documents from the
    /// store of the users' platform; 0 means all hosts.
    int m_max_owners_per_zone = 0;
    /// Processor cores of the machine. Cores and share give the processor time
    /// of the host; if few hosts of a zone own its pools, these are the ones
    /// with the most.
    double m_cores = 1;
    /// Share of the cores that the host may use, 0 to 1.
    double m_processor_share = 1;
    /// The network between entry hosts is closed to others: no peer key is
    /// needed.
    bool m_is_peer_network_trusted = false;
    /// Addresses of hosts that a starting host contacts first. The ports are
    /// not used: all hosts of a deployment have the same peer port.
    std::vector<listen_address> m_seeds;
    /// Limits stated by the platform, under the platform's names.
    std::map<std::string, double> m_platform_bounds;
};

/// Parses and validates a settings file, JSON with comments.
parse_result<host_settings> parse_settings(std::string_view text);

} // namespace hawthornspur::config

#endif
