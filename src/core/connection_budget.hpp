#ifndef HAWTHORNSPUR_CORE_CONNECTION_BUDGET_HPP
#define HAWTHORNSPUR_CORE_CONNECTION_BUDGET_HPP

#include <cstddef>

namespace hawthornspur::core
{

/// Descriptors of a process, and those in use for other things than callers.
struct descriptor_use
{
    std::size_t m_limit = 0;
    std::size_t m_target_connections = 0;
    std::size_t m_peer_links = 0;
};

/// Number of caller connections above which those that have been idle longest
/// are closed. The rest of the descriptors stays for connections to targets,
/// links to other hosts and the store: without them a host can neither pass on
/// what it has accepted nor receive changes.
///
/// Load pattern: callers open connections for retries and at peaks, use each
/// once and leave it open; their number grows until the idle timeout.
std::size_t max_caller_connections(descriptor_use const& use) noexcept;

/// Number of refused caller connections that may stay open until their callers
/// have read the answer, for a process with this limit of descriptors.
std::size_t max_refused_connections(std::size_t descriptor_limit) noexcept;

} // namespace hawthornspur::core

#endif
