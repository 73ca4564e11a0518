#ifndef HAWTHORNSPUR_SERVE_READINESS_HPP
#define HAWTHORNSPUR_SERVE_READINESS_HPP

#include "core/host_readiness.hpp"

#include <string_view>

namespace hawthornspur::serve
{

struct entry_host;

/// Judges from what the host does with connections whether it is ready, and
/// returns whether that has changed. announce_self() is to follow a change: a
/// host that ceases to be ready answers readiness checks with 503 and is
/// announced as joining, so that address answers of other hosts do not name it
/// and its pools go to its successor. It still serves the callers that it has.
bool judge_readiness(entry_host& host);

/// Whether callers and the platform may count on the host.
bool is_ready(entry_host const& host) noexcept;

/// Name of the fault in logs and in /status; "none" for a ready host.
std::string_view to_string(core::readiness_fault fault) noexcept;

} // namespace hawthornspur::serve

#endif
