#ifndef HAWTHORNSPUR_NET_DATAGRAM_SOCKET_HPP
#define HAWTHORNSPUR_NET_DATAGRAM_SOCKET_HPP

#include "base/result.hpp"
#include "net/socket_address.hpp"

#include <functional>
#include <memory>
#include <string_view>

struct event;

namespace hawthornspur::net
{

class event_loop;

/// A UDP socket bound to one address.
class datagram_socket
{
public:
    using handler =
        std::function<void(std::string_view, socket_address const& sender)>;

    /// `on_datagram` is called from the event loop. Errors: system_failure,
    /// address_unavailable.
    static result<std::unique_ptr<datagram_socket>>
    create(event_loop& loop, socket_address const& address,
           handler on_datagram);
    ~datagram_socket();
    datagram_socket(datagram_socket const&) = delete;
    datagram_socket& operator=(datagram_socket const&) = delete;

    /// Returns false if the system does not accept the datagram.
    bool send(socket_address const& to, std::string_view bytes) const;

private:
    datagram_socket(int fd, handler on_datagram);
    static void on_readable(int fd, short what, void* self);
    int m_fd;
    handler m_on_datagram;
    event* m_event = nullptr;
};

} // namespace hawthornspur::net

#endif
