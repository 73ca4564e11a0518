#ifndef HAWTHORNSPUR_SERVE_FORWARDING_HPP
#define HAWTHORNSPUR_SERVE_FORWARDING_HPP

#include "core/ids.hpp"
#include "net/peer_messages.hpp"

#include <string>

namespace hawthornspur::serve
{

struct entry_host;
struct active_call;

/// Sends the request to another host. `zone` is the zone of the pool there;
/// empty for the zone of the call's own pool. Returns false, with the call
/// unchanged, when a spill could not be sent; other purposes route the call
/// anew or end it.
bool forward_call(entry_host& host, active_call& call, std::string const& to,
                  net::forward_purpose purpose, std::string const& zone = {});

/// Tells the other host that the answer is of no use any more.
void cancel_forward(entry_host& host, active_call& call);

/// Allows the other host to send more of the answer.
void grant_window(entry_host& host, active_call& call);

/// Messages about requests that this host forwarded.
void on_answer_head(entry_host& host, std::string const& from,
                    net::answer_head head);
void on_answer_chunk(entry_host& host, std::string const& from,
                     net::answer_chunk const& chunk);
void on_answer_end(entry_host& host, std::string const& from,
                   net::answer_end const& end);
void on_refusal(entry_host& host, std::string const& from,
                net::refusal const& refusal);

/// Requests forwarded to the host fail or go elsewhere.
void on_forward_link_down(entry_host& host, std::string const& peer);

/// Ends forwarded calls whose deadline has passed without an answer.
void expire_forwards(entry_host& host);

} // namespace hawthornspur::serve

#endif
