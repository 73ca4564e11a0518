#ifndef HAWTHORNSPUR_NET_PEER_TRANSPORT_HPP
#define HAWTHORNSPUR_NET_PEER_TRANSPORT_HPP

struct bufferevent;

namespace hawthornspur::net
{

/// Sets TCP_NODELAY, and limits the unsent bytes in the kernel so that a small
/// request waits behind few bytes of a large body.
void set_link_socket_options(int fd) noexcept;

/// Reads up to four chunks from the socket into the input buffer. libevent
/// itself reads 4 KiB at a time, a quarter of a chunk, which is too slow for
/// large bodies. The end of the connection and errors are left to libevent.
void fill_input_buffer(bufferevent* transport);

} // namespace hawthornspur::net

#endif
