#ifndef HAWTHORNSPUR_SERVE_PEER_DRIVER_HPP
#define HAWTHORNSPUR_SERVE_PEER_DRIVER_HPP

#include "base/result.hpp"

namespace hawthornspur::serve
{

struct entry_host;

/// Opens the peer network and passes the messages of other entry hosts to their
/// handlers. Errors: file_unreadable or settings_invalid for the peer key file,
/// and those of net::peer_network::create().
status open_peer_network(entry_host& host);

} // namespace hawthornspur::serve

#endif
