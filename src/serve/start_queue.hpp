#ifndef HAWTHORNSPUR_SERVE_START_QUEUE_HPP
#define HAWTHORNSPUR_SERVE_START_QUEUE_HPP

#include "serve/call.hpp"

#include <cstdint>
#include <vector>

namespace hawthornspur::serve
{

struct entry_host;

/// What a held call waits for.
enum class hold_reason : std::uint8_t
{
    /// The document, the targets or the owner of the pool.
    routing,
    /// The confirmation that the access keys are recent.
    proof,
};

/// Calls of callers that arrived before the host could route them or check
/// their access keys. Lives as long as the host.
struct start_queue
{
    struct held_call
    {
        core::request_id m_id;
        core::time_point m_expires_at;
        hold_reason m_reason = hold_reason::routing;
    };
    std::vector<held_call> m_calls;
};

/// Holds a call of a caller that no host could serve now, because the document,
/// the targets or the owner of the pool are not known yet, or that waits for
/// the proof that access keys are recent. Returns false if the call must be
/// refused: the host holds too many calls, or the call came from another host,
/// which then uses a third one.
///
/// Load pattern: all hosts are lost at once and start together. Callers that
/// are refused return at once and have spent their retries before an owner is
/// known, less than half a second later.
bool hold_call(entry_host& host, active_call const& call,
               hold_reason reason = hold_reason::routing);

/// Whether a held call waits for the proof that access keys are recent.
bool holds_call_for_proof(entry_host const& host) noexcept;

/// Continues the held calls if the host can route them now.
void release_held_calls(entry_host& host);

/// Refuses the calls that were held for too long.
void expire_held_calls(entry_host& host);

} // namespace hawthornspur::serve

#endif
