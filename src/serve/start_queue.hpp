#ifndef HAWTHORNSPUR_SERVE_START_QUEUE_HPP
#define HAWTHORNSPUR_SERVE_START_QUEUE_HPP

#include "serve/call.hpp"

#include <vector>

namespace hawthornspur::serve
{

struct entry_host;

/// Calls of callers that arrived before the host could route them. Lives as
/// long as the host.
struct start_queue
{
    struct held_call
    {
        core::request_id m_id;
        core::time_point m_expires_at;
    };
    std::vector<held_call> m_calls;
};

/// Holds a call of a caller that no host could serve now, because the document,
/// the targets or the owner of the pool are not known yet. Returns false if the
/// call must be refused: the host holds too many calls, or the call came from
/// another host, which then uses a third one.
///
/// Load pattern: all hosts are lost at once and start together. Callers that
/// are refused return at once and have spent their retries before an owner is
/// known, less than half a second later.
bool hold_call(entry_host& host, active_call const& call);

/// Continues the held calls if the host can route them now.
void release_held_calls(entry_host& host);

/// Refuses the calls that were held for too long.
void expire_held_calls(entry_host& host);

} // namespace hawthornspur::serve

#endif
