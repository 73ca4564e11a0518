#ifndef HAWTHORNSPUR_CORE_HOST_RECORD_ORDER_HPP
#define HAWTHORNSPUR_CORE_HOST_RECORD_ORDER_HPP

#include <cstdint>

namespace hawthornspur::core
{

struct host_record;

/// Sequence number of the process among those that used the host name. It is
/// stored in the upper 32 bits of the version: every version of a restarted
/// host is above every version of its predecessor, although incarnations are
/// random.
std::uint64_t start_order(std::uint64_t version) noexcept;

/// The first version of the process that follows the one with `version`.
std::uint64_t first_version_after(std::uint64_t version) noexcept;

/// Whether `a` replaces `b`, a record of the same host. Compares the version,
/// then the incarnation, which gives the same result on all hosts while a
/// restarted host has not received the record of its predecessor, then the
/// state: at the same version, suspected replaces the state that the host
/// announced, and dead replaces suspected.
bool is_newer(host_record const& a, host_record const& b) noexcept;

} // namespace hawthornspur::core

#endif
