#include "net/socket_address.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>

namespace hawthornspur::net
{

std::optional<socket_address> parse_address(std::string const& text,
                                            std::uint16_t port)
{
    socket_address address;
    auto* v4 = reinterpret_cast<sockaddr_in*>(&address.m_storage);
    auto* v6 = reinterpret_cast<sockaddr_in6*>(&address.m_storage);
    if (inet_pton(AF_INET, text.c_str(), &v4->sin_addr) == 1)
    {
        v4->sin_family = AF_INET;
        address.m_length = sizeof(*v4);
    }
    else if (inet_pton(AF_INET6, text.c_str(), &v6->sin6_addr) == 1)
    {
        v6->sin6_family = AF_INET6;
        address.m_length = sizeof(*v6);
    }
    else
    {
        return std::nullopt;
    }
    set_port(address, port);
    return address;
}

bool is_loopback(socket_address const& address) noexcept
{
    if (address.m_storage.ss_family == AF_INET)
    {
        constexpr unsigned first_byte_shift = 24;
        auto const* v4 =
            reinterpret_cast<sockaddr_in const*>(&address.m_storage);
        return ntohl(v4->sin_addr.s_addr) >> first_byte_shift == IN_LOOPBACKNET;
    }
    if (address.m_storage.ss_family == AF_INET6)
    {
        auto const* v6 =
            reinterpret_cast<sockaddr_in6 const*>(&address.m_storage);
        return IN6_IS_ADDR_LOOPBACK(&v6->sin6_addr);
    }
    return false;
}

std::uint16_t get_port(socket_address const& address) noexcept
{
    if (address.m_storage.ss_family == AF_INET6)
    {
        return ntohs(reinterpret_cast<sockaddr_in6 const*>(&address.m_storage)
                         ->sin6_port);
    }
    return ntohs(
        reinterpret_cast<sockaddr_in const*>(&address.m_storage)->sin_port);
}

void set_port(socket_address& address, std::uint16_t port) noexcept
{
    if (address.m_storage.ss_family == AF_INET6)
    {
        reinterpret_cast<sockaddr_in6*>(&address.m_storage)->sin6_port =
            htons(port);
        return;
    }
    reinterpret_cast<sockaddr_in*>(&address.m_storage)->sin_port = htons(port);
}

std::optional<socket_address> local_address(int fd)
{
    socket_address address;
    address.m_length = sizeof(address.m_storage);
    if (getsockname(fd, address.get(), &address.m_length) != 0)
    {
        return std::nullopt;
    }
    return address;
}

} // namespace hawthornspur::net
