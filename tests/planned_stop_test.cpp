#include "core/membership.hpp"
#include "core/routing.hpp"
#include "net/socket_address.hpp"
#include "serve/limits.hpp"
#include "serve/stop.hpp"
#include "test_cluster.hpp"

#include <doctest/doctest.h>
#include <linux/sockios.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <string>
#include <string_view>
#include <vector>

namespace hawthornspur::test
{

namespace
{

constexpr int small_buffer_bytes = 4096;

void set_buffer(int socket, int option)
{
    REQUIRE(::setsockopt(socket, SOL_SOCKET, option, &small_buffer_bytes,
                         sizeof small_buffer_bytes) == 0);
}

/// A caller with a small receive buffer that reads only when it is told to.
class slow_caller
{
public:
    explicit slow_caller(std::uint16_t port)
        : m_socket(::socket(AF_INET, SOCK_STREAM, 0))
    {
        set_buffer(m_socket, SO_RCVBUF);
        auto const address = net::parse_address("127.0.0.1", port);
        REQUIRE(::connect(m_socket, address->get(), address->m_length) == 0);
    }
    ~slow_caller()
    {
        ::close(m_socket);
    }
    slow_caller(slow_caller const&) = delete;
    slow_caller& operator=(slow_caller const&) = delete;

    void send(std::string_view bytes) const
    {
        REQUIRE(::send(m_socket, bytes.data(), bytes.size(), MSG_NOSIGNAL) ==
                static_cast<ssize_t>(bytes.size()));
    }
    /// Reads a part of what has arrived. Returns false if nothing has; without
    /// MSG_DONTWAIT, at the end of the connection.
    bool read(int flags = MSG_DONTWAIT)
    {
        std::array<char, 16384> buffer{};
        auto const count =
            ::recv(m_socket, buffer.data(), buffer.size(), flags);
        if (count <= 0)
        {
            return false;
        }
        m_received.append(buffer.data(), static_cast<std::size_t>(count));
        return true;
    }
    /// Length of the received part of the answer's body.
    std::size_t body_bytes() const
    {
        auto const end_of_head = m_received.find("\r\n\r\n");
        REQUIRE(end_of_head != std::string::npos);
        return m_received.size() - end_of_head - 4;
    }
    /// The socket of this process at the other end of the connection, -1 before
    /// the host has accepted it.
    int find_other_end() const
    {
        auto const port = net::get_port(net::local_address(m_socket).value());
        constexpr int max_descriptors = 1024;
        for (int fd = 0; fd < max_descriptors; ++fd)
        {
            net::socket_address peer;
            peer.m_length = sizeof peer.m_storage;
            if (::getpeername(fd, peer.get(), &peer.m_length) == 0 &&
                peer.m_storage.ss_family == AF_INET &&
                net::get_port(peer) == port)
            {
                return fd;
            }
        }
        return -1;
    }
    /// Bytes of the answer that the sockets at both ends hold.
    std::size_t bytes_in_sockets() const
    {
        int unsent = 0;
        int unread = 0;
        REQUIRE(::ioctl(find_other_end(), SIOCOUTQ, &unsent) == 0);
        REQUIRE(::ioctl(m_socket, FIONREAD, &unread) == 0);
        return static_cast<std::size_t>(unsent) +
               static_cast<std::size_t>(unread);
    }

private:
    int m_socket;
    std::string m_received;
};

/// Lets the caller read until the stop has finished, ends the process and lets
/// the caller read what is left in the sockets.
void finish_stop(test_cluster& cluster, slow_caller& caller)
{
    auto const& host = cluster.host(0);
    cluster.run_until(
        [&]
        {
            static_cast<void>(caller.read());
            return host.m_stop_stage == serve::stop_stage::finished;
        });
    cluster.kill(0);
    // The operating system sends the rest.
    while (caller.read(0))
    {
    }
}

} // namespace

// Guards against a planned stop that fails requests: callers send to all hosts
// while the owner stops.
TEST_CASE("a planned stop of the owner fails no request")
{
    test_cluster cluster(3, 2);
    auto const owner = cluster.find_owner(0);
    std::vector<std::shared_ptr<answer>> answers;
    auto const send_round = [&](bool with_owner)
    {
        for (std::size_t i = 0; i < 3; ++i)
        {
            if (i != owner || with_owner)
            {
                answers.push_back(cluster.send(
                    i, "POST", "/x", {{"X-Service-Time-Us", "30000"}}));
            }
        }
        cluster.run_for(std::chrono::milliseconds(20));
    };
    send_round(true);
    serve::begin_stop(cluster.host(owner), "test");
    // Callers use an address answer for its lifetime.
    for (int i = 0; i < 8; ++i)
    {
        send_round(true);
    }
    for (int i = 0; i < 20; ++i)
    {
        send_round(false);
    }
    cluster.run_until(
        [&] {
            return cluster.host(owner).m_stop_stage ==
                   serve::stop_stage::finished;
        });
    cluster.kill(owner);
    send_round(false);
    for (auto const& a : answers)
    {
        cluster.run_until([&] { return a->m_is_done; });
        CHECK(a->m_head.m_status == 200);
    }
}

// Guards against address answers that list a leaving host.
TEST_CASE("address answers omit a leaving host")
{
    test_cluster cluster(3, 1);
    auto const owner = cluster.find_owner(0);
    auto const name = cluster.hosts()[owner]->m_name;
    auto const uri = "/.well-known/hawthornspur/addresses?service=map&zone=a";
    CHECK(
        cluster.send_and_wait(0, "GET", uri).m_body.find("\"" + name + "\"") !=
        std::string::npos);
    serve::begin_stop(cluster.host(owner), "test");
    cluster.run_until([&]
                      { return cluster.find_owner((owner + 1) % 3) != owner; });
    for (std::size_t i = 0; i < 3; ++i)
    {
        auto const body = cluster.send_and_wait(i, "GET", uri).m_body;
        if (i != owner)
        {
            CHECK(body.find("\"" + name + "\"") == std::string::npos);
        }
    }
}

// Guards against a leaving host that refuses callers which still use its
// address, although no other host can own the pool.
TEST_CASE("a leaving host without peers serves until address answers expire")
{
    test_cluster cluster(1, 1);
    CHECK(cluster.send_and_wait(0, "GET", "/x").m_head.m_status == 200);
    serve::begin_stop(cluster.host(0), "test");
    auto const served = cluster.send_and_wait(0, "GET", "/x");
    CHECK_MESSAGE(served.m_head.m_status == 200, get_result_code(served));
}

// Guards against a request that is accepted late in a stop and cut at its end.
// Its caller could have sent it to another host.
TEST_CASE("a stopping host accepts only calls that end before the stop")
{
    test_cluster cluster(1, 1);
    cluster.host(0).m_settings.m_stop_bound = std::chrono::seconds(2);
    cluster.document().m_address_lifetime = std::chrono::seconds(10);
    static_cast<void>(cluster.apply_configuration(cluster.document()));
    cluster.wait_for_agreement(2, 1);
    auto const earlier =
        cluster.send(0, "POST", "/x", {{"X-Service-Time-Us", "1200000"}});
    cluster.run_until([&] { return cluster.total_run_count() == 1; });
    serve::begin_stop(cluster.host(0), "test");
    cluster.run_for(std::chrono::milliseconds(1250));
    std::vector<std::shared_ptr<answer>> long_calls;
    std::vector<std::shared_ptr<answer>> short_calls;
    for (auto const* method : {"GET", "POST"})
    {
        long_calls.push_back(cluster.send(0, method, "/x",
                                          {{"Hawthornspur-Deadline-Ms", "1500"},
                                           {"X-Service-Time-Us", "1000000"}}));
        short_calls.push_back(cluster.send(0, method, "/x",
                                           {{"Hawthornspur-Deadline-Ms", "400"},
                                            {"X-Service-Time-Us", "20000"}}));
    }
    for (auto const& call : long_calls)
    {
        cluster.run_until([&] { return call->m_is_done; });
        CHECK(get_result_code(*call) ==
              static_cast<unsigned>(result_code::host_leaving));
        CHECK(get_outcome(*call) == "not-run");
        CHECK(net::find_header(call->m_head.m_headers, "Retry-After"));
        CHECK(net::find_header(call->m_head.m_headers, "Connection") ==
              "close");
    }
    for (auto const& call : short_calls)
    {
        cluster.run_until([&] { return call->m_is_done; });
        CHECK(call->m_head.m_status == 200);
    }
    cluster.run_until([&] { return earlier->m_is_done; });
    CHECK(earlier->m_head.m_status == 200);
    CHECK(cluster.total_run_count() == 3);
}

// Guards against a process that exits with a part of an answer still in its
// buffers, which the caller takes for a broken connection.
TEST_CASE("a stop waits until a slow caller has its answer")
{
    test_cluster cluster(1, 1);
    auto& host = cluster.host(0);
    // Much more than the sockets hold, and less than the host's buffer, so that
    // the call ends although the caller reads nothing.
    constexpr std::size_t answer_bytes = std::size_t{192} << 10U;
    static_assert(answer_bytes < serve::limits::max_buffered_answer_bytes);
    cluster.set_target_faults(0, R"({"answer_bytes":)" +
                                     std::to_string(answer_bytes) + "}");
    slow_caller caller(host.m_caller_server->port());
    cluster.run_until([&] { return caller.find_other_end() >= 0; });
    // By itself it grows to megabytes.
    set_buffer(caller.find_other_end(), SO_SNDBUF);
    caller.send("GET /x HTTP/1.1\r\nHost: map\r\n\r\n");
    cluster.run_until([&] { return cluster.total_run_count() == 1; });
    cluster.run_until([&] { return host.m_calls.empty(); });
    serve::begin_stop(host, "test");
    // Until the addresses that callers know have expired.
    cluster.run_until(
        [&] { return host.m_stop_stage != serve::stop_stage::leaving; });
    cluster.run_for(std::chrono::seconds(1));
    REQUIRE(caller.bytes_in_sockets() < answer_bytes / 2);
    CHECK(host.m_caller_server->unfinished_answers() == 1);
    CHECK(host.m_stop_stage == serve::stop_stage::finishing);
    finish_stop(cluster, caller);
    CHECK(caller.body_bytes() == answer_bytes);
}

// Guards against the same for an answer that is larger than all buffers. How
// much of its end the sockets hold depends on the operating system.
TEST_CASE("a stop cuts no large answer of a slow caller")
{
    test_cluster cluster(1, 1);
    auto& host = cluster.host(0);
    constexpr std::size_t answer_bytes = 16U << 20U;
    cluster.set_target_faults(0, R"({"answer_bytes":)" +
                                     std::to_string(answer_bytes) + "}");
    slow_caller caller(host.m_caller_server->port());
    caller.send("GET /x HTTP/1.1\r\nHost: map\r\n\r\n");
    cluster.run_until([&] { return cluster.total_run_count() == 1; });
    cluster.run_until(
        [&]
        {
            static_cast<void>(host.m_calls.empty() || caller.read());
            return host.m_calls.empty();
        });
    serve::begin_stop(host, "test");
    cluster.run_until(
        [&] { return host.m_stop_stage != serve::stop_stage::leaving; });
    cluster.run_for(std::chrono::seconds(1));
    auto const is_unfinished = host.m_caller_server->unfinished_answers() == 1;
    CHECK(host.m_stop_stage == (is_unfinished ? serve::stop_stage::finishing
                                              : serve::stop_stage::finished));
    finish_stop(cluster, caller);
    CHECK(caller.body_bytes() == answer_bytes);
}

// Guards against requests that are lost at the end of a stop: in a large fleet,
// some hosts have not heard of it when the process is about to exit.
TEST_CASE("a host that is about to exit takes no forwarded request")
{
    test_cluster cluster(3, 2);
    auto const owner = cluster.find_owner(0);
    auto const name = cluster.hosts()[owner]->m_name;
    auto const other = (owner + 1) % 3;
    auto& stopped = cluster.host(owner);
    serve::begin_stop(stopped, "test");
    cluster.run_until(
        [&] { return stopped.m_stop_stage == serve::stop_stage::finished; });
    // The other host has missed the news.
    auto& host = cluster.host(other);
    auto const forget_stop = [&]
    {
        auto records = core::hosts(*host.m_membership);
        records.push_back(core::self(*host.m_membership));
        for (auto& record : records)
        {
            if (record.m_name == name)
            {
                record.m_state = core::host_state::live;
            }
        }
        core::reset(host.m_routing, std::move(records));
    };
    auto const request =
        cluster.send(other, "POST", "/x", {{"X-Service-Time-Us", "400000"}});
    auto const has_reached_target = [&]
    {
        forget_stop();
        return cluster.total_run_count() == 1;
    };
    cluster.run_until(has_reached_target);
    cluster.run_until(
        [&] { return net::event_loop::now() >= stopped.m_exit_time; });
    cluster.kill(owner);
    cluster.run_until([&] { return request->m_is_done; });
    CHECK_MESSAGE(request->m_head.m_status == 200, get_result_code(*request));
    CHECK(cluster.total_run_count() == 1);
}

// Guards against a repeated stop signal that moves the stop deadline.
TEST_CASE("a second stop keeps the deadline of the first")
{
    test_cluster cluster(1, 1);
    auto const slow =
        cluster.send(0, "POST", "/x", {{"X-Service-Time-Us", "600000"}});
    cluster.run_until([&] { return cluster.total_run_count() == 1; });
    serve::begin_stop(cluster.host(0), "first");
    auto const cut = cluster.host(0).m_stop_schedule.m_cut;
    serve::begin_stop(cluster.host(0), "second");
    CHECK(cluster.host(0).m_stop_schedule.m_cut == cut);
    cluster.run_until([&] { return slow->m_is_done; });
    CHECK(slow->m_head.m_status == 200);
}

} // namespace hawthornspur::test
