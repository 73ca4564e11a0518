#include "raw_target.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <stdexcept>
#include <utility>

namespace hawthornspur::test
{

namespace
{

/// Interval at which the thread notices that the target is being destroyed.
constexpr int poll_interval_ms = 20;

bool wait_for(int socket, short events)
{
    pollfd entry{socket, events, 0};
    return poll(&entry, 1, poll_interval_ms) > 0;
}

} // namespace

raw_target::raw_target(raw_answer answer)
    : m_answer(std::move(answer))
    , m_listener(socket(AF_INET, SOCK_STREAM, 0))
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof address;
    auto* generic = reinterpret_cast<sockaddr*>(&address);
    constexpr int backlog = 64;
    if (bind(m_listener, generic, size) != 0 ||
        listen(m_listener, backlog) != 0 ||
        getsockname(m_listener, generic, &size) != 0)
    {
        throw std::runtime_error("cannot listen on loopback");
    }
    m_port = ntohs(address.sin_port);
    m_thread = std::thread([this] { run(); });
}

raw_target::~raw_target()
{
    m_is_stopping = true;
    m_thread.join();
    close(m_listener);
}

void raw_target::run()
{
    while (!m_is_stopping)
    {
        if (!wait_for(m_listener, POLLIN))
        {
            continue;
        }
        auto const socket = accept(m_listener, nullptr, nullptr);
        if (socket >= 0)
        {
            serve_connection(socket);
            close(socket);
        }
    }
}

void raw_target::serve_connection(int socket)
{
    std::string received;
    while (!m_is_stopping)
    {
        if (!wait_for(socket, POLLIN))
        {
            continue;
        }
        std::array<char, 4096> buffer{};
        auto const count = recv(socket, buffer.data(), buffer.size(), 0);
        if (count <= 0)
        {
            ++m_closed_connections;
            return;
        }
        received.append(buffer.data(), static_cast<std::size_t>(count));
        if (received.find("\r\n\r\n") == std::string::npos)
        {
            continue;
        }
        received.clear();
        ++m_requests;
        bool is_open = send_all(socket, m_answer.m_start);
        while (is_open && !m_answer.m_repeated.empty() && !m_is_stopping)
        {
            is_open = send_all(socket, m_answer.m_repeated);
        }
        if (!is_open)
        {
            ++m_closed_connections;
            return;
        }
    }
}

bool raw_target::send_all(int socket, std::string const& bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size())
    {
        if (m_is_stopping)
        {
            return false;
        }
        if (!wait_for(socket, POLLOUT))
        {
            continue;
        }
        auto const count = send(socket, bytes.data() + sent,
                                bytes.size() - sent, MSG_NOSIGNAL);
        if (count < 0)
        {
            return false;
        }
        sent += static_cast<std::size_t>(count);
        m_sent_bytes += static_cast<std::size_t>(count);
    }
    return true;
}

} // namespace hawthornspur::test
