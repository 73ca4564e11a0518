#ifndef HAWTHORNSPUR_SERVE_INCOMING_FORWARDS_HPP
#define HAWTHORNSPUR_SERVE_INCOMING_FORWARDS_HPP

#include "net/peer_messages.hpp"

#include <string>

namespace hawthornspur::serve
{

struct entry_host;

/// Handlers of messages about requests that other hosts forwarded to this one.
void on_forward_request(entry_host& host, std::string const& from,
                        net::forward_request head);
void on_body_chunk(entry_host& host, std::string const& from,
                   net::body_chunk const& chunk);
void on_cancel_request(entry_host& host, std::string const& from,
                       net::cancel_request const& cancel);
void on_window_update(entry_host& host, std::string const& from,
                      net::window_update const& update);

/// Number of requests of a host whose answers are not complete.
std::size_t count_calls_from(entry_host const& host, std::string const& peer);

/// Cancels the requests of a host whose link is down. Requests that this host
/// runs as home of their key go on, since copies may need the answer.
void on_incoming_link_down(entry_host& host, std::string const& peer);

} // namespace hawthornspur::serve

#endif
