#ifndef HAWTHORNSPUR_SERVE_PEER_DRIVER_HPP
#define HAWTHORNSPUR_SERVE_PEER_DRIVER_HPP

#include "base/result.hpp"

namespace hawthornspur::serve
{

struct entry_host;

/// Opens the address for other entry hosts and passes their messages to the
/// parts of the pipeline that they belong to.
status open_peer_network(entry_host& host);

} // namespace hawthornspur::serve

#endif
