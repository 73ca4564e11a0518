#ifndef HAWTHORNSPUR_NET_PEER_TRANSPORT_HPP
#define HAWTHORNSPUR_NET_PEER_TRANSPORT_HPP

struct bufferevent;

namespace hawthornspur::net
{

/// Sends small frames at once and keeps few unsent bytes in the kernel, so
/// that a small request waits behind few bytes of a large body.
void tune_link_socket(int fd) noexcept;

/// Reads more from the socket than libevent does by itself: 4 KiB at a time, a
/// quarter of a chunk, so that the receiver would fall behind a sender of
/// large bodies. An end or an error is left for libevent to find.
void read_large_piece(bufferevent* transport);

} // namespace hawthornspur::net

#endif
