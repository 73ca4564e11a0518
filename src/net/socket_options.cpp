#include "net/socket_options.hpp"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace hawthornspur::net
{

void set_no_delay(int fd) noexcept
{
    int const enabled = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
}

} // namespace hawthornspur::net
