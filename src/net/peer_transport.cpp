#include "net/peer_transport.hpp"

#include "net/peer_wire.hpp"
#include "net/socket_options.hpp"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace hawthornspur::net
{

namespace
{

constexpr int kernel_unsent_bytes = 4 * static_cast<int>(chunk_bytes);

/// Bytes to read from the socket in one iteration of the event loop.
constexpr ev_ssize_t max_read_bytes = 4 * static_cast<ev_ssize_t>(chunk_bytes);

} // namespace

void set_link_socket_options(int fd) noexcept
{
    set_no_delay(fd);
    setsockopt(fd, IPPROTO_TCP, TCP_NOTSENT_LOWAT, &kernel_unsent_bytes,
               sizeof(kernel_unsent_bytes));
}

void fill_input_buffer(bufferevent* transport)
{
    auto* input = bufferevent_get_input(transport);
    evbuffer_iovec space{};
    evbuffer_unfreeze(input, 0);
    if (evbuffer_reserve_space(input, max_read_bytes, &space, 1) == 1)
    {
        auto const size = ::recv(bufferevent_getfd(transport), space.iov_base,
                                 max_read_bytes, MSG_DONTWAIT);
        space.iov_len = size > 0 ? static_cast<std::size_t>(size) : 0;
        evbuffer_commit_space(input, &space, 1);
    }
    evbuffer_freeze(input, 0);
}

} // namespace hawthornspur::net
