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
    /// The next filter handles the call.
    passed,
    /// The call was joined, replayed, forwarded to its home or refused.
    handled,
};

/// Third filter: runs a request with an at-most-once key only at the home of
/// its session. Copies join the running request or get its kept answer.
deduplicate_result deduplicate_call(entry_host& host, active_call& call);

/// Records that the call is about to be sent to a target or to another host.
void mark_key_dispatched(entry_host& host, active_call const& call);

/// Ends the use of the key by a call that failed with `code`: releases the key
/// if the request did not run, and fails the joined copies with the same code.
void complete_key(entry_host& host, active_call& call, result_code code);

/// Ends the use of the key by a call whose answer was relayed completely: keeps
/// the answer for later copies and sends it to the joined ones.
void complete_key_with_answer(entry_host& host, active_call& call);

/// Removes a joined copy whose receiver has closed.
void remove_joined_call(entry_host& host, active_call& call);

} // namespace hawthornspur::serve

#endif
