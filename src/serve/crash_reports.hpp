#ifndef HAWTHORNSPUR_SERVE_CRASH_REPORTS_HPP
#define HAWTHORNSPUR_SERVE_CRASH_REPORTS_HPP

#include "core/ids.hpp"
#include "core/time.hpp"
#include "net/http_message.hpp"
#include "net/peer_messages.hpp"

#include <string>
#include <string_view>
#include <vector>

namespace hawthornspur::serve
{

struct entry_host;
struct active_call;

/// Requests whose connections to one target were lost at the same time. If the
/// target proves to have ended, one of them may have crashed it.
struct lost_requests
{
    core::time_point m_since{};
    /// Contents of the requests without any part of an answer, one entry for
    /// each request.
    std::vector<core::content_id> m_contents;
    int m_count = 0;
    /// The value of m_count when the end of the target was last reported.
    int m_reported_count = 0;
};

/// Computes the content id of a request from method, host name, path, body and
/// `caller`: the customer, or else the authorization if the caller gives it.
/// Network addresses are not part of it: those of a caller change, and many
/// callers may send the same request.
core::content_id make_content_id(net::http_request const& request,
                                 std::string_view caller);

/// Refuses the call if its content is suspected to crash targets, and returns
/// whether it did, which invalidates the reference. Otherwise sets what the
/// pool has to know of the call's content.
bool refuse_if_suspect(entry_host& host, active_call& call);

/// Records that the connection of an attempt was lost before its answer was
/// complete. A request whose answer had begun is not suspected.
void on_attempt_lost(entry_host& host, active_call const& call,
                     core::target_id target, bool has_answer_begun);

/// Called when a target refuses connections or another one has its address, so
/// that it has ended. Reports the requests that it lost just before.
void on_target_ended(entry_host& host, core::target_id target);

/// Called when a target has answered a request or probe that was sent at
/// `sent_at`, or accepted a connection then. Connections lost before were not
/// lost by its end.
void on_target_alive(entry_host& host, core::target_id target,
                     core::time_point sent_at);

/// Records that a target has answered the call.
void on_content_answered(entry_host& host, active_call const& call);

/// Adds what another host knows.
void on_crash_suspects(entry_host& host,
                       net::crash_suspects_message const& message);

/// Sends all records to a host to which a link has come up.
void send_crash_suspects(entry_host& host, std::string const& peer);

/// Sends the records that have changed but are no suspects yet, and removes
/// expired ones. Called at intervals.
void maintain_crash_suspects(entry_host& host);

} // namespace hawthornspur::serve

#endif
