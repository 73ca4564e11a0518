#ifndef HAWTHORNSPUR_SERVE_DEDUPLICATE_HPP
#define HAWTHORNSPUR_SERVE_DEDUPLICATE_HPP

#include <hawthornspur/result_code.hpp>

#include <cstdint>

namespace hawthornspur::serve
{

struct entry_host;
struct active_call;

enum class deduplicate_result : std::uint8_t
{
    /// Go on with the next filter.
    passed,
    /// The call was joined, replayed, forwarded to its home or refused.
    taken,
};

/// Third filter: at most once by key. Only the home of the session runs the
/// request; copies join it or get the kept answer.
deduplicate_result deduplicate_call(entry_host& host, active_call& call);

/// The call is about to be sent to a target or to another owner.
void mark_key_dispatched(entry_host& host, active_call const& call);

/// The call ended with a code. Releases its key if the code says that it did
/// not run, and answers the copies that wait.
void complete_key(entry_host& host, active_call& call, result_code code);

/// The whole answer of the call was relayed; it is kept for later copies and
/// sent to those that wait.
void complete_key_with_answer(entry_host& host, active_call& call);

/// A copy that waits for the first request went away.
void remove_joined_call(entry_host& host, active_call& call);

} // namespace hawthornspur::serve

#endif
