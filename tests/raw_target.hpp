#ifndef HAWTHORNSPUR_TESTS_RAW_TARGET_HPP
#define HAWTHORNSPUR_TESTS_RAW_TARGET_HPP

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace hawthornspur::test
{

enum class raw_end : std::uint8_t
{
    keep_open,
    close,
    reset,
};

/// The bytes with which a raw target answers a request: the start once, then
/// the repeated part without end, until the other side closes. Without a
/// repeated part the connection ends as given.
struct raw_answer
{
    std::string m_start;
    std::string m_repeated = {};
    raw_end m_end = raw_end::keep_open;
    /// Sent when the connection receives its next request, before the answer to
    /// that one.
    std::string m_surplus = {};
};

/// A target on loopback that sends any bytes, also such that are no answer. It
/// serves each connection on a thread of its own.
class raw_target
{
public:
    explicit raw_target(raw_answer answer);
    /// Each request gets the next answer, and those after the last one get the
    /// last one. "{id}" in them stands for the request's X-Request-Id.
    explicit raw_target(std::vector<raw_answer> answers);
    ~raw_target();
    raw_target(raw_target const&) = delete;
    raw_target& operator=(raw_target const&) = delete;

    std::uint16_t port() const noexcept
    {
        return m_port;
    }
    /// Bytes that the operating system has taken from the target.
    std::size_t sent_bytes() const noexcept
    {
        return m_sent_bytes;
    }
    std::size_t requests() const noexcept
    {
        return m_requests;
    }
    /// Connections that have carried a request.
    std::size_t used_connections() const noexcept
    {
        return m_used_connections;
    }
    /// Head of the last request, without its body.
    std::string last_head() const;
    /// Connections that the other side has closed.
    std::size_t closed_connections() const noexcept
    {
        return m_closed_connections;
    }

private:
    void run();
    void serve_connection(int socket);
    bool send_all(int socket, std::string const& bytes);

    std::vector<raw_answer> m_answers;
    mutable std::mutex m_head_mutex;
    std::string m_last_head;
    int m_listener = -1;
    std::uint16_t m_port = 0;
    std::atomic<bool> m_is_stopping = false;
    std::atomic<std::size_t> m_sent_bytes = 0;
    std::atomic<std::size_t> m_requests = 0;
    std::atomic<std::size_t> m_used_connections = 0;
    std::atomic<std::size_t> m_closed_connections = 0;
    std::vector<std::thread> m_connections;
    std::thread m_thread;
};

} // namespace hawthornspur::test

#endif
