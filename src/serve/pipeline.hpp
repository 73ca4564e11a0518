#ifndef HAWTHORNSPUR_SERVE_PIPELINE_HPP
#define HAWTHORNSPUR_SERVE_PIPELINE_HPP

#include "serve/call.hpp"

#include <memory>

namespace hawthornspur::serve
{

struct entry_host;

// The filters in order: accept -> classify -> authorize -> deduplicate -> admit
// -> queue and bind (core::pool) -> dispatch -> relay -> account.

/// Starts a call for the request of an HTTP caller. `id_out` is set before any
/// function of the sink is called.
void start_call(entry_host& host, net::http_request request, answer_sink sink,
                core::request_id& id_out);

/// Starts a call for a request that another host forwarded. `id_out` as above.
void start_forwarded_call(entry_host& host, call_origin origin,
                          net::forward_request const& head, std::string body,
                          answer_sink sink, core::request_id& id_out);

/// Runs the filters classify, authorize, deduplicate and admit. The call may
/// have ended on return.
void run_filters(entry_host& host, active_call& call);

/// Handles the close of the answer's receiver: cancels the call, unless copies
/// with the same at-most-once key may need its answer.
void on_receiver_closed(entry_host& host, core::request_id id);

/// Resumes reading the answer after its receiver has read all written bytes.
void on_receiver_drained(entry_host& host, core::request_id id);

/// Ends a call with a refusal or failure, which invalidates the reference.
void fail_call(entry_host& host, active_call& call, result_code code);

} // namespace hawthornspur::serve

#endif
