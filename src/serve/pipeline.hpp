#ifndef HAWTHORNSPUR_SERVE_PIPELINE_HPP
#define HAWTHORNSPUR_SERVE_PIPELINE_HPP

#include "serve/call.hpp"

#include <memory>

namespace hawthornspur::serve
{

struct entry_host;

/// The filters in order: accept -> classify -> deduplicate -> admit -> queue
/// and bind (core::pool) -> dispatch -> relay -> account.

/// Starts a request of an HTTP caller.
void start_call(entry_host& host, net::http_request request, answer_sink sink,
                core::request_id& id_out);

/// Starts a request that another host forwarded.
void start_forwarded_call(entry_host& host, call_origin origin,
                          net::forward_request const& head, std::string body,
                          answer_sink sink, core::request_id& id_out);

/// The receiver of the answer went away.
void on_receiver_closed(entry_host& host, core::request_id id);

/// The receiver took all bytes that were written to it.
void on_receiver_drained(entry_host& host, core::request_id id);

/// Ends a call with a refusal or failure.
void fail_call(entry_host& host, active_call& call, result_code code);

} // namespace hawthornspur::serve

#endif
