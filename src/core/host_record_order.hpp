#ifndef HAWTHORNSPUR_CORE_HOST_RECORD_ORDER_HPP
#define HAWTHORNSPUR_CORE_HOST_RECORD_ORDER_HPP

#include <cstdint>

namespace hawthornspur::core
{

struct host_record;

/// The order of the processes that used one host name. It is kept in the upper
/// 32 bits of the version, so that every version of a restarted host is above
/// every version of the process before it, although incarnations are random.
std::uint64_t start_order(std::uint64_t version) noexcept;

/// The first version of the process that follows the one with `version`.
std::uint64_t first_version_after(std::uint64_t version) noexcept;

/// Whether `a` replaces `b`, a record of the same host. Compares the version,
/// then the incarnation, which decides alike on all hosts while a restarted
/// host has not yet heard of its predecessor, then the state: of one version,
/// suspected replaces what the host announced and dead replaces suspected.
bool is_newer(host_record const& a, host_record const& b) noexcept;

} // namespace hawthornspur::core

#endif
