#ifndef HAWTHORNSPUR_NET_SOCKET_OPTIONS_HPP
#define HAWTHORNSPUR_NET_SOCKET_OPTIONS_HPP

namespace hawthornspur::net
{

/// Sends small pieces at once (TCP_NODELAY). Otherwise the last piece of a
/// message waits up to 40 ms for the delayed acknowledgement of the one before.
void set_no_delay(int fd) noexcept;

} // namespace hawthornspur::net

#endif
