#ifndef HAWTHORNSPUR_CORE_DOCUMENT_SOURCE_HPP
#define HAWTHORNSPUR_CORE_DOCUMENT_SOURCE_HPP

#include "core/membership.hpp"

#include <cstddef>
#include <functional>
#include <span>
#include <string>

namespace hawthornspur::core
{

/// Name of the host from which to request a new document, or empty without a
/// link. The order is: the host that announced the generation, hosts known to
/// have it, the others. Repeated attempts use the next host, since a linked
/// host may have been lost without notice.
///
/// Load pattern: in a large fleet most announcements come from hosts without a
/// link, and the linked hosts' own announcements arrive later. A host that
/// waits for these misses the time by which a change must be in force.
std::string
choose_document_source(std::string const& announcer, std::uint64_t generation,
                       std::span<host_record const> hosts,
                       std::function<bool(std::string const&)> const& is_linked,
                       std::size_t earlier_attempts);

} // namespace hawthornspur::core

#endif
