#include "raw_target.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <stdexcept>
#include <string_view>
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

std::string find_request_id(std::string const& request)
{
    constexpr std::string_view name = "X-Request-Id: ";
    auto const start = request.find(name);
    if (start == std::string::npos)
    {
        return {};
    }
    auto const value = start + name.size();
    return request.substr(value, request.find('\r', value) - value);
}

std::string insert_id(std::string text, std::string const& id)
{
    constexpr std::string_view mark = "{id}";
    for (auto at = text.find(mark); at != std::string::npos;
         at = text.find(mark, at + id.size()))
    {
        text.replace(at, mark.size(), id);
    }
    return text;
}

void end_with_reset(int socket)
{
    linger const no_linger{1, 0};
    setsockopt(socket, SOL_SOCKET, SO_LINGER, &no_linger, sizeof no_linger);
}

} // namespace

raw_target::raw_target(raw_answer answer)
    : raw_target(std::vector<raw_answer>{std::move(answer)})
{
}

raw_target::raw_target(std::vector<raw_answer> answers)
    : m_answers(std::move(answers))
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
            m_connections.emplace_back(
                [this, socket]
                {
                    serve_connection(socket);
                    close(socket);
                });
        }
    }
    for (auto& connection : m_connections)
    {
        connection.join();
    }
}

void raw_target::serve_connection(int socket)
{
    std::string received;
    std::string surplus;
    bool is_used = false;
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
        m_used_connections += is_used ? 0 : 1;
        is_used = true;
        auto const id = find_request_id(received);
        {
            std::lock_guard const lock(m_head_mutex);
            m_last_head = received.substr(0, received.find("\r\n\r\n"));
        }
        received.clear();
        auto const& answer = m_answers[std::min<std::size_t>(
            m_requests++, m_answers.size() - 1)];
        bool is_open =
            send_all(socket, surplus + insert_id(answer.m_start, id));
        surplus = insert_id(answer.m_surplus, id);
        while (is_open && !answer.m_repeated.empty() && !m_is_stopping)
        {
            is_open = send_all(socket, answer.m_repeated);
        }
        if (answer.m_end == raw_end::reset)
        {
            end_with_reset(socket);
        }
        if (answer.m_end != raw_end::keep_open)
        {
            return;
        }
        if (!is_open)
        {
            ++m_closed_connections;
            return;
        }
    }
}

std::string raw_target::last_head() const
{
    std::lock_guard const lock(m_head_mutex);
    return m_last_head;
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
