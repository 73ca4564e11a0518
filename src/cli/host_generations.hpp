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

/// An entry host and the generation in force there; none if it did not answer.
struct host_generation
{
    std::string m_name;
    net::endpoint m_administration;
    std::optional<std::uint64_t> m_generation;
    /// Entries of the document in force that the host could not read.
    std::uint64_t m_left_out_entries = 0;
    /// The newest document in the store is not in force there.
    bool m_is_in_doubt = false;
};

/// The flags that select the hosts to query.
std::vector<std::string> host_flags();

/// Returns the hosts of --hosts, or else the entry hosts of the platform's list
/// that are not leaving. Errors: usage for an invalid --hosts, those of the
/// platform.
result<std::vector<host_generation>> find_hosts(platform_session& session);

/// Queries the generation of every host once.
void query_hosts(platform_session& session,
                 std::vector<host_generation>& hosts);

/// Polls the hosts with an older generation until none is left or the timeout
/// has passed. Calls `progress` whenever the number of hosts where `generation`
/// is in force has changed.
void wait_until_in_force(
    platform_session& session, std::vector<host_generation>& hosts,
    std::uint64_t generation, core::duration timeout,
    std::function<void(std::size_t in_force)> const& progress);

/// Counts the hosts where the generation or a later one is in force.
std::size_t count_in_force(std::vector<host_generation> const& hosts,
                           std::uint64_t generation);

/// For example "entry-3 at 127.0.0.1:9000: generation 6" or "...: no answer".
std::string describe(host_generation const& host);

} // namespace hawthornspur::cli

#endif
