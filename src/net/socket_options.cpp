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

void set_keep_alive(int fd) noexcept
{
    int const enabled = 1;
    setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &enabled, sizeof(enabled));
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &keep_alive_idle_seconds,
               sizeof(keep_alive_idle_seconds));
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &keep_alive_interval_seconds,
               sizeof(keep_alive_interval_seconds));
    setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &keep_alive_probes,
               sizeof(keep_alive_probes));
    int const unacknowledged_ms =
        static_cast<int>(unacknowledged_timeout.count());
    setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &unacknowledged_ms,
               sizeof(unacknowledged_ms));
}

} // namespace hawthornspur::net
