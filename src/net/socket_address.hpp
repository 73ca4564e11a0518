#ifndef HAWTHORNSPUR_NET_SOCKET_ADDRESS_HPP
#define HAWTHORNSPUR_NET_SOCKET_ADDRESS_HPP

#include <sys/socket.h>

#include <cstdint>
#include <optional>
#include <string>

namespace hawthornspur::net
{

/// An IPv4 or IPv6 address with a port, in the form of the socket API.
struct socket_address
{
    sockaddr_storage m_storage{};
    socklen_t m_length = 0;

    sockaddr const* get() const noexcept
    {
        return reinterpret_cast<sockaddr const*>(&m_storage);
    }
    sockaddr* get() noexcept
    {
        return reinterpret_cast<sockaddr*>(&m_storage);
    }
};

/// Parses a numeric IPv4 or IPv6 address; host names are not resolved.
std::optional<socket_address> parse_address(std::string const& text,
                                            std::uint16_t port);

bool is_loopback(socket_address const& address) noexcept;

std::uint16_t get_port(socket_address const& address) noexcept;
void set_port(socket_address& address, std::uint16_t port) noexcept;

/// The address that a socket is bound to.
std::optional<socket_address> local_address(int fd);

} // namespace hawthornspur::net

#endif
