#include "net/datagram_socket.hpp"

#include "net/event_loop.hpp"

#include <event2/event.h>
#include <event2/util.h>
#include <unistd.h>

#include <array>
#include <utility>

namespace hawthornspur::net
{

namespace
{

/// The largest UDP payload.
constexpr std::size_t max_datagram_bytes = 65536;
/// Limit of the datagrams read in one iteration of the event loop, so that a
/// flood of datagrams does not block it.
constexpr int max_datagrams_per_iteration = 64;

} // namespace

datagram_socket::datagram_socket(int fd, handler on_datagram)
    : m_fd(fd)
    , m_on_datagram(std::move(on_datagram))
{
}

datagram_socket::~datagram_socket()
{
    if (m_event != nullptr)
    {
        event_free(m_event);
    }
    ::close(m_fd);
}

result<std::unique_ptr<datagram_socket>>
datagram_socket::create(event_loop& loop, socket_address const& address,
                        handler on_datagram)
{
    auto const fd = ::socket(address.m_storage.ss_family,
                             SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd < 0)
    {
        return make_error(result_code::system_failure,
                          "cannot create a datagram socket");
    }
    std::unique_ptr<datagram_socket> new_socket(
        new datagram_socket(fd, std::move(on_datagram)));
    if (::bind(fd, address.get(), address.m_length) != 0)
    {
        return make_error(result_code::address_unavailable,
                          "cannot bind the datagram socket");
    }
    new_socket->m_event =
        event_new(loop.base(), fd, EV_READ | EV_PERSIST,
                  &datagram_socket::on_readable, new_socket.get());
    if (new_socket->m_event == nullptr ||
        event_add(new_socket->m_event, nullptr) != 0)
    {
        return make_error(result_code::system_failure,
                          "cannot watch the datagram socket");
    }
    return new_socket;
}

bool datagram_socket::send(socket_address const& to,
                           std::string_view bytes) const
{
    auto const sent =
        ::sendto(m_fd, bytes.data(), bytes.size(), 0, to.get(), to.m_length);
    return sent == static_cast<ssize_t>(bytes.size());
}

void datagram_socket::on_readable(int fd, short /*what*/, void* self)
{
    auto* socket = static_cast<datagram_socket*>(self);
    std::array<char, max_datagram_bytes> buffer{};
    for (int i = 0; i < max_datagrams_per_iteration; ++i)
    {
        socket_address sender;
        sender.m_length = sizeof(sender.m_storage);
        auto const size = ::recvfrom(fd, buffer.data(), buffer.size(), 0,
                                     sender.get(), &sender.m_length);
        if (size < 0)
        {
            return;
        }
        socket->m_on_datagram({buffer.data(), static_cast<std::size_t>(size)},
                              sender);
    }
}

} // namespace hawthornspur::net
