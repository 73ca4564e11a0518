#ifndef HAWTHORNSPUR_SERVE_FORWARDING_HPP
#define HAWTHORNSPUR_SERVE_FORWARDING_HPP

#include "core/ids.hpp"
#include "net/peer_messages.hpp"

#include <string>

namespace hawthornspur::serve
{

struct entry_host;
struct active_call;

/// Forwards the request to another host. `zone` is the zone of the pool there;
/// if empty, that of the call. Returns false if the request was not sent: a
/// spilled call is then unchanged, any other one was rerouted or has ended.
bool forward_call(entry_host& host, active_call& call, std::string const& to,
                  net::forward_purpose purpose, std::string const& zone = {});

/// Attempts of the request that this host knows of, its own included.
net::attempt_record all_attempts(active_call const& call);

/// Whether this host decides on attempts of the request beyond the first: it
/// took the request from its caller, or it is the home of its key. It also
/// counts the request in its repeat budget.
bool decides_on_repeats(active_call const& call) noexcept;

/// Cancels a forwarded request at the other host.
void cancel_forward(entry_host& host, active_call& call);

/// Returns the window of the received answer bytes to the other host.
void grant_window(entry_host& host, active_call& call);

/// Handlers of messages about requests that this host forwarded.
void on_answer_head(entry_host& host, std::string const& from,
                    net::answer_head head);
void on_answer_chunk(entry_host& host, std::string const& from,
                     net::answer_chunk const& chunk);
void on_answer_end(entry_host& host, std::string const& from,
                   net::answer_end const& end);
void on_refusal(entry_host& host, std::string const& from,
                net::refusal const& refusal);

/// Number of requests that are forwarded to a host and not answered yet.
std::size_t count_calls_at(entry_host const& host, std::string const& peer);

/// Sends the requests that were forwarded to a host whose link is silent to
/// other hosts, as far as they may be repeated. The others wait for their
/// answers.
void on_forward_link_silent(entry_host& host, std::string const& peer);

/// Reroutes or fails the requests that were forwarded to a host whose link is
/// down.
void on_forward_link_down(entry_host& host, std::string const& peer);

/// Fails forwarded calls that are not complete at their deadline.
void expire_forwards(entry_host& host);

} // namespace hawthornspur::serve

#endif
