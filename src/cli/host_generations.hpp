#ifndef HAWTHORNSPUR_CLI_HOST_GENERATIONS_HPP
#define HAWTHORNSPUR_CLI_HOST_GENERATIONS_HPP

#include "cli/platform_session.hpp"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace hawthornspur::cli
{

/// An entry host and the generation in force there, as far as it answered.
struct host_generation
{
    std::string m_name;
    net::endpoint m_administration;
    std::optional<std::uint64_t> m_generation;
};

/// The flags that name the hosts to ask.
std::vector<std::string> host_flags();

/// The hosts of --hosts, or the live entry hosts of the platform's list.
result<std::vector<host_generation>> find_hosts(platform_session& session);

/// Asks every host once for its generation.
void ask_hosts(platform_session& session, std::vector<host_generation>& hosts);

/// Asks the hosts that have an older generation until none has or the time is
/// over. Calls `progress` whenever the number of hosts has changed.
void wait_in_force(platform_session& session,
                   std::vector<host_generation>& hosts,
                   std::uint64_t generation, core::duration longest,
                   std::function<void(std::size_t in_force)> const& progress);

/// Hosts where the generation or a later one is in force.
std::size_t count_in_force(std::vector<host_generation> const& hosts,
                           std::uint64_t generation);

/// For example "entry-3 at 127.0.0.1:9000: generation 6" or "...: no answer".
std::string describe(host_generation const& host);

} // namespace hawthornspur::cli

#endif
