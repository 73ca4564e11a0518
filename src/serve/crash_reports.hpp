#ifndef HAWTHORNSPUR_SERVE_CRASH_REPORTS_HPP
#define HAWTHORNSPUR_SERVE_CRASH_REPORTS_HPP

#include "core/ids.hpp"
#include "core/time.hpp"
#include "net/http_message.hpp"

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
    std::vector<core::content_id> m_contents;
};

/// Computes the content id of a request from method, path, body and, if the
/// caller gives it, the authorization. Network addresses are not part of it:
/// those of a caller change, and many callers may send the same request.
core::content_id make_content_id(net::http_request const& request);

/// Records that the connection of an attempt was lost before its answer was
/// complete.
void on_attempt_lost(entry_host& host, active_call const& call,
                     core::target_id target);

/// Called when a target refuses connections or another one has its address, so
/// that it has ended. Reports the requests that it lost just before.
void on_target_ended(entry_host& host, core::target_id target);

/// Called when a target has answered a request or probe that was sent at
/// `sent_at`. Connections lost before were not lost by its end.
void on_target_alive(entry_host& host, core::target_id target,
                     core::time_point sent_at);

/// Removes lost requests whose target has not proved to have ended. Called at
/// intervals.
void expire_lost_requests(entry_host& host);

} // namespace hawthornspur::serve

#endif
