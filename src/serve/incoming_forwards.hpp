#ifndef HAWTHORNSPUR_SERVE_INCOMING_FORWARDS_HPP
#define HAWTHORNSPUR_SERVE_INCOMING_FORWARDS_HPP

#include "net/peer_messages.hpp"

#include <string>

namespace hawthornspur::serve
{

struct entry_host;

/// Requests that other hosts forwarded to this one.
void on_forward_request(entry_host& host, std::string const& from,
                        net::forward_request head);
void on_body_chunk(entry_host& host, std::string const& from,
                   net::body_chunk const& chunk);
void on_cancel_request(entry_host& host, std::string const& from,
                       net::cancel_request const& cancel);
void on_window_update(entry_host& host, std::string const& from,
                      net::window_update const& update);

/// The host that forwarded requests is gone: they are cancelled, or carried
/// through when other copies may want the answer.
void on_incoming_link_down(entry_host& host, std::string const& peer);

} // namespace hawthornspur::serve

#endif
