#include "net/event_loop.hpp"
#include "net/http_client.hpp"
#include "net/net_test_support.hpp"

#include <absl/strings/str_cat.h>
#include <doctest/doctest.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace hawthornspur::net
{

namespace
{

/// Records what the handlers of an exchange receive.
struct exchange_record
{
    std::optional<http_response_head> m_head;
    std::string m_body;
    std::optional<exchange_outcome> m_outcome;

    exchange_handlers handlers()
    {
        return {.m_on_head = [this](http_response_head head, auto)
                { m_head = std::move(head); },
                .m_on_data = [this](std::string_view data) { m_body += data; },
                .m_on_end =
                    [this](exchange_outcome outcome)
                {
                    CHECK(!m_outcome);
                    m_outcome = outcome;
                }};
    }
};

http_request post(std::size_t body_bytes = 3)
{
    return {"POST", "/", {{"Host", "a"}}, std::string(body_bytes, 'b')};
}

std::size_t count_requests(raw_listener const& server)
{
    std::size_t seen = 0;
    for (auto const& connection : server.m_connections)
    {
        auto const& bytes = connection->m_received;
        for (auto at = bytes.find("POST "); at != std::string::npos;
             at = bytes.find("POST ", at + 1))
        {
            ++seen;
        }
    }
    return seen;
}

constexpr auto whole_answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

/// A listener whose accept queue is full, so that the SYN of the next
/// connection is dropped and retransmitted about a second later.
class full_listener
{
public:
    full_listener()
        : m_fd(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0))
    {
        auto const any_port = parse_address("127.0.0.1", 0);
        REQUIRE(::bind(m_fd, any_port->get(), any_port->m_length) == 0);
        REQUIRE(::listen(m_fd, 0) == 0);
        auto const own = *local_address(m_fd);
        m_port = get_port(own);
        while (m_filler_fds.empty() || is_connected(m_filler_fds.back()))
        {
            m_filler_fds.push_back(
                ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0));
            // The connect that overflows the queue does not complete.
            static_cast<void>(
                ::connect(m_filler_fds.back(), own.get(), own.m_length));
        }
    }
    ~full_listener()
    {
        for (auto const fd : m_filler_fds)
        {
            ::close(fd);
        }
        for (auto const fd : m_accepted_fds)
        {
            ::close(fd);
        }
        ::close(m_fd);
    }
    full_listener(full_listener const&) = delete;
    full_listener& operator=(full_listener const&) = delete;

    /// Accepts all pending connections.
    void accept_pending()
    {
        for (int fd = ::accept(m_fd, nullptr, nullptr); fd >= 0;
             fd = ::accept(m_fd, nullptr, nullptr))
        {
            m_accepted_fds.push_back(fd);
        }
    }
    /// Empties the accept queue. Connections accepted later are the client's.
    void accept_fillers()
    {
        ::close(m_filler_fds.back());
        m_filler_fds.pop_back();
        accept_pending();
        m_filler_count = m_accepted_fds.size();
    }
    /// Blocks until a dropped SYN has been retransmitted.
    void wait_for_repeated_syn() const
    {
        constexpr int bound_ms = 1500;
        pollfd wanted{m_fd, POLLIN, 0};
        ::poll(&wanted, 1, bound_ms);
    }
    /// Reads the bytes received on connections accepted after accept_fillers().
    std::size_t count_received_bytes() const
    {
        std::size_t total = 0;
        for (auto i = m_filler_count; i < m_accepted_fds.size(); ++i)
        {
            std::array<char, 4096> bytes{};
            auto const read = ::recv(m_accepted_fds[i], bytes.data(),
                                     bytes.size(), MSG_DONTWAIT);
            total += read > 0 ? static_cast<std::size_t>(read) : 0;
        }
        return total;
    }

    std::uint16_t m_port = 0;

private:
    static bool is_connected(int fd)
    {
        constexpr int bound_ms = 50;
        pollfd wanted{fd, POLLOUT, 0};
        return ::poll(&wanted, 1, bound_ms) > 0;
    }

    int m_fd;
    std::vector<int> m_filler_fds;
    std::vector<int> m_accepted_fds;
    std::size_t m_filler_count = 0;
};

void run_some_iterations(event_loop& loop)
{
    constexpr int iterations = 20;
    for (int i = 0; i < iterations; ++i)
    {
        event_base_loop(loop.base(), EVLOOP_NONBLOCK);
    }
}

/// Two requests on one connection: r1 has been answered, r2 is under way.
class second_request
{
public:
    /// The header with the ids of answers is X-Id, unless `header` says another
    /// one; `first` is how the answer to r1 lets the connection be used again.
    explicit second_request(event_loop& loop, reuse first = reuse::allowed,
                            core::duration timeout = test_timeout,
                            std::size_t body_bytes = 3,
                            std::string header = "X-Id")
        : m_client(take(http_client::create(loop)))
        , m_loop(loop)
        , m_server(loop)
    {
        m_options.m_request_id_header = std::move(header);
        m_options.m_request_id = "r1";
        m_options.m_read_reuse = [first](http_response_head const&)
        {
            return first;
        };
        endpoint const to{"127.0.0.1", m_server.m_port};
        exchange_record record;
        m_client->send(to, post(), m_options, record.handlers());
        REQUIRE(run_until(m_loop, [&] { return received().ends_with("bbb"); }));
        connection().set_no_delay();
        connection().send(whole_answer);
        REQUIRE(
            run_until(m_loop, [&] { return record.m_outcome.has_value(); }));
        connection().m_received.clear();
        m_options.m_request_id = "r2";
        m_options.m_timeout = timeout;
        m_client->send(to, post(body_bytes), m_options, m_record.handlers());
        REQUIRE(run_until(m_loop, [&] { return received().ends_with('b'); }));
        REQUIRE(m_server.m_connections.size() == 1);
    }

    raw_connection& connection()
    {
        return *m_server.m_connections[0];
    }
    /// Sends the parts, each in a segment of its own.
    void answer(std::vector<std::string_view> const& parts)
    {
        for (auto const part : parts)
        {
            connection().send_at_once(part);
            run_some_iterations(m_loop);
        }
    }
    void wait_for_end()
    {
        REQUIRE(
            run_until(m_loop, [&] { return m_record.m_outcome.has_value(); }));
    }
    /// Whether the whole answer to r2, and no other, was received.
    bool is_answered() const
    {
        return m_record.m_outcome == exchange_outcome::complete &&
               m_record.m_head && m_record.m_head->m_status == 201 &&
               find_header(m_record.m_head->m_headers, "X-Id") == "r2" &&
               m_record.m_body == "second";
    }

    exchange_record m_record;
    std::unique_ptr<http_client> m_client;

private:
    std::string const& received()
    {
        static std::string const none;
        return m_server.m_connections.empty() ? none : connection().m_received;
    }

    event_loop& m_loop;
    raw_listener m_server;
    exchange_options m_options;
};

constexpr std::string_view second_answer =
    "HTTP/1.1 201 Made\r\nX-Id: r2\r\nContent-Length: 6\r\n\r\nsecond";

/// A copy of an answer to r1 with this status line and these headers after its
/// id.
std::string first_answer(std::string const& status, std::string const& headers,
                         std::string const& body)
{
    return absl::StrCat("HTTP/1.1 ", status, "\r\nX-Id: r1\r\n", headers,
                        "\r\n", body);
}

std::vector<std::string> first_answers()
{
    return {
        first_answer("200 OK", "Content-Length: 2\r\n", "ok"),
        first_answer("200 OK", "Content-Length: 200\r\n",
                     std::string(200, 'x')),
        first_answer("503 Full", "X-Not-Run: 1\r\nContent-Length: 0\r\n", ""),
        first_answer("429 Many", "X-Not-Run: 1\r\nContent-Length: 4\r\n",
                     "busy"),
        "HTTP/1.1 100 Continue\r\n\r\n" +
            first_answer("421 No", "Connection: close\r\nContent-Length: 0\r\n",
                         ""),
        first_answer("204 None", "", ""),
        first_answer("304 Same", "Content-Length: 9\r\n", ""),
        "HTTP/1.0 500 Error\r\nContent-Length: 1\r\nx-id:r1\r\n\r\n!"};
}

} // namespace

// Guards against passing on incomplete or invalid answers, and against a wrong
// outcome for a request.
TEST_CASE("every exchange ends with the outcome that fits its answer")
{
    using enum exchange_outcome;
    struct row
    {
        char const* m_case;
        std::string m_answer;
        bool m_closes_connection;
        exchange_outcome m_outcome;
    };
    std::string const head = "HTTP/1.1 200 OK\r\n";
    auto const chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
    auto const rows = std::vector<row>{
        {"whole", whole_answer, false, complete},
        {"whole in chunks", chunked + "2\r\nok\r\n0\r\n\r\n", false, complete},
        {"ended by closing", head + "\r\nok", true, complete},
        {"interim answers first",
         "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: "
         "x\r\n\r\n" +
             std::string(whole_answer),
         false, complete},
        {"closed before the answer", "", true, closed},
        {"closed within the head", "HTTP/1.1 200 OK\r\nContent-", true, closed},
        {"shorter than its length", head + "Content-Length: 9\r\n\r\nok", true,
         truncated},
        {"cut within a chunk", chunked + "9\r\nok", true, truncated},
        {"cut before the last chunk", chunked + "2\r\nok\r\n", true, truncated},
        {"silent", "", false, silent},
        {"silent within the answer", head + "Content-Length: 9\r\n\r\nok",
         false, silent},
        {"garbage", "garbage\r\n\r\n", false, malformed},
        {"garbage without a line end", "garbage", false, malformed},
        {"bare line feeds", "HTTP/1.1 200 OK\nContent-Length: 2\n\nok", false,
         malformed},
        {"bad status", "HTTP/1.1 2x0 OK\r\n\r\n", false, malformed},
        {"HTTP/2", "HTTP/2 200 OK\r\n\r\n", false, malformed},
        {"other protocol", "HTTP/1.1 101 Switching\r\n\r\n", false, malformed},
        {"two lengths",
         head + "Content-Length: 2\r\nContent-Length: 3\r\n\r\nok", false,
         malformed},
        {"length and chunked",
         head + "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n",
         false, malformed},
        {"negative length", head + "Content-Length: -2\r\n\r\nok", false,
         malformed},
        {"bad chunk size", chunked + "xyz\r\nok\r\n", false, malformed},
        {"folded header", head + "X: a\r\n b\r\n\r\n", false, malformed},
        {"control character", head + "X: a\x01\r\n\r\n", false, malformed},
        {"endless head", head + "X: " + std::string(70'000, 'x'), false,
         malformed},
        {"body above the cap",
         head + "Content-Length: 2000\r\n\r\n" + std::string(2000, 'x'), false,
         too_large},
    };
    for (auto const& row : rows)
    {
        CAPTURE(row.m_case);
        auto loop = take(event_loop::create());
        raw_listener server(*loop);
        auto client = take(http_client::create(*loop));
        exchange_record record;
        client->send(
            {"127.0.0.1", server.m_port}, post(),
            {.m_timeout = row.m_outcome == silent
                              ? core::duration(std::chrono::milliseconds(100))
                              : test_timeout,
             .m_max_answer_bytes = 1000},
            record.handlers());
        REQUIRE(run_until(*loop, [&] { return count_requests(server) == 1; }));
        auto& connection = *server.m_connections[0];
        connection.send(row.m_answer);
        REQUIRE(run_until(*loop, [&] { return connection.unsent() == 0; }));
        if (row.m_closes_connection)
        {
            connection.shut_down();
        }
        REQUIRE(run_until(*loop, [&] { return record.m_outcome.has_value(); }));
        CHECK(*record.m_outcome == row.m_outcome);
        if (row.m_outcome == complete)
        {
            REQUIRE(record.m_head);
            CHECK(record.m_head->m_status == 200);
            CHECK(record.m_body == "ok");
        }
        CHECK(count_requests(server) == 1);
    }
}

// Guards against an answer that is cut at any byte, in its head or body, and
// reaches the caller as whole.
TEST_CASE("an answer that is cut at any byte is never complete")
{
    struct framing
    {
        char const* m_name;
        std::string m_head;
        std::string m_body;
        bool m_ends_by_closing;
    };
    std::string const start = "HTTP/1.1 200 OK\r\nX-Id: a\r\n";
    auto const framings = std::vector<framing>{
        {"length", start + "Content-Length: 2\r\n\r\n", "ok", false},
        {"chunked", start + "Transfer-Encoding: chunked\r\n\r\n",
         "2;x=y\r\nok\r\n0\r\nX-End: b\r\n\r\n", false},
        {"no length", start + "\r\n", "ok", true},
    };
    auto loop = take(event_loop::create());
    for (auto const& framing : framings)
    {
        auto const whole = framing.m_head + framing.m_body;
        for (std::size_t size = 0; size <= whole.size(); ++size)
        {
            for (bool const is_reset : {false, true})
            {
                bool const is_whole =
                    framing.m_ends_by_closing
                        ? !is_reset && size >= framing.m_head.size()
                        : size == whole.size();
                if (is_whole)
                {
                    continue;
                }
                CAPTURE(framing.m_name);
                CAPTURE(whole.substr(0, size));
                CAPTURE(is_reset);
                raw_listener server(*loop);
                auto client = take(http_client::create(*loop));
                exchange_record record;
                client->send({"127.0.0.1", server.m_port}, post(),
                             {.m_timeout = test_timeout}, record.handlers());
                REQUIRE(run_until(*loop,
                                  [&] { return count_requests(server) == 1; }));
                auto& connection = *server.m_connections[0];
                connection.send(whole.substr(0, size));
                REQUIRE(
                    run_until(*loop, [&] { return connection.unsent() == 0; }));
                is_reset ? server.m_connections[0]->close_with_reset()
                         : connection.shut_down();
                REQUIRE(run_until(*loop, [&]
                                  { return record.m_outcome.has_value(); }));
                bool const is_head_cut = size < framing.m_head.size();
                CHECK(*record.m_outcome == (is_head_cut
                                                ? exchange_outcome::closed
                                                : exchange_outcome::truncated));
                CHECK(record.m_head.has_value() == !is_head_cut);
            }
        }
    }
}

// Guards against an answer without a length that reaches the caller without its
// body because of its Connection header, as in review/7, or whole although it
// was reset.
TEST_CASE("an answer without a length ends with its connection")
{
    using enum exchange_outcome;
    auto loop = take(event_loop::create());
    for (std::string const& options : std::vector<std::string>{
             "", "Connection: keep-alive\r\n", "Connection: close\r\n",
             "Connection: close, X-Foo\r\n", "Connection: X-Foo, Close\r\n",
             "Connection: keep-alive\r\nConnection: close\r\n",
             "Connection:\r\n", "Connection:\tclose\t\r\n",
             "CONNECTION: upgrade\r\nKeep-Alive: timeout=10\r\n"})
    {
        for (std::string const& start : std::vector<std::string>{
                 "HTTP/1.1 200 OK", "HTTP/1.0 200 OK", "HTTP/1.1 500 Error"})
        {
            for (bool const is_reset : {false, true})
            {
                CAPTURE(start);
                CAPTURE(options);
                CAPTURE(is_reset);
                raw_listener server(*loop);
                auto client = take(http_client::create(*loop));
                exchange_record record;
                client->send({"127.0.0.1", server.m_port}, post(),
                             {.m_timeout = test_timeout}, record.handlers());
                REQUIRE(run_until(*loop,
                                  [&] { return count_requests(server) == 1; }));
                auto& connection = *server.m_connections[0];
                connection.send(absl::StrCat(start, "\r\nX-Id: a\r\n", options,
                                             "X-End: b\r\n\r\nbo"));
                REQUIRE(
                    run_until(*loop, [&] { return !record.m_body.empty(); }));
                connection.send("dy");
                REQUIRE(
                    run_until(*loop, [&] { return connection.unsent() == 0; }));
                is_reset ? connection.close_with_reset()
                         : connection.shut_down();
                REQUIRE(run_until(*loop, [&]
                                  { return record.m_outcome.has_value(); }));
                CHECK(*record.m_outcome == (is_reset ? truncated : complete));
                CHECK((is_reset || record.m_body == "body"));
                REQUIRE(record.m_head);
                CHECK(find_header(record.m_head->m_headers, "X-End") == "b");
                bool const says_close =
                    options.find("lose") != std::string::npos;
                CHECK(find_header(record.m_head->m_headers, "Connection")
                          .has_value() == says_close);
            }
        }
    }
}

// Guards against a head that is cut and followed by a second answer, which
// would lend its framing to the first one, and against a refusal that says of
// the second answer that its request did not run, as in review/6.
TEST_CASE("a cut head that a second answer follows is malformed or closed")
{
    std::string const answer = whole_answer;
    auto loop = take(event_loop::create());
    for (std::string const& cut :
         {answer,
          std::string("HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: "
                      "1\r\nX-Request-Id: a\r\nContent-Length: 0\r\n\r\n"),
          std::string("HTTP/1.0 500 Error\r\nVia: HTTP/1.1 x\r\nX-Id: a\r\n"
                      "Connection: close\r\n\r\n")})
    {
        auto const head_size = cut.find("\r\n\r\n") + 4;
        for (std::size_t size = 1; size < head_size; ++size)
        {
            CAPTURE(cut.substr(0, size));
            raw_listener server(*loop);
            auto client = take(http_client::create(*loop));
            exchange_record record;
            client->send({"127.0.0.1", server.m_port}, post(),
                         {.m_timeout = test_timeout}, record.handlers());
            REQUIRE(
                run_until(*loop, [&] { return count_requests(server) == 1; }));
            server.m_connections[0]->send(cut.substr(0, size) + answer);
            REQUIRE(run_until(
                *loop, [&] { return server.m_connections[0]->unsent() == 0; }));
            server.m_connections[0]->shut_down();
            REQUIRE(
                run_until(*loop, [&] { return record.m_outcome.has_value(); }));
            CHECK(*record.m_outcome != exchange_outcome::complete);
        }
    }
}

// Guards against a request that runs twice because evhttp resends it on a new
// connection after a reused one has closed.
TEST_CASE("a request is sent once when its reused connection closes")
{
    for (bool const by_reset : {false, true})
    {
        CAPTURE(by_reset);
        auto loop = take(event_loop::create());
        raw_listener server(*loop);
        auto client = take(http_client::create(*loop));
        exchange_record first;
        client->send({"127.0.0.1", server.m_port}, post(), {},
                     first.handlers());
        REQUIRE(run_until(*loop, [&] { return count_requests(server) == 1; }));
        server.m_connections[0]->send(whole_answer);
        REQUIRE(run_until(*loop, [&] { return first.m_outcome.has_value(); }));
        exchange_record second;
        client->send({"127.0.0.1", server.m_port}, post(), {},
                     second.handlers());
        REQUIRE(run_until(*loop, [&] { return count_requests(server) == 2; }));
        CHECK(server.m_connections.size() == 1);
        by_reset ? server.m_connections[0]->reset()
                 : server.m_connections[0]->shut_down();
        REQUIRE(run_until(*loop, [&] { return second.m_outcome.has_value(); }));
        CHECK(*second.m_outcome == exchange_outcome::closed);
        // Gives evhttp the opportunity to resend the request.
        for (int i = 0; i < 100; ++i)
        {
            event_base_loop(loop->base(), EVLOOP_NONBLOCK);
        }
        CHECK(count_requests(server) == 2);
        CHECK(server.m_connections.size() == 1);
    }
}

// Guards against another outcome for a request that was never sent, and
// against a server that is blamed for a request which the client rejects.
TEST_CASE("a request that cannot be sent ends with its cause")
{
    auto loop = take(event_loop::create());
    std::uint16_t port = 0;
    {
        raw_listener closed_listener(*loop);
        port = closed_listener.m_port;
    }
    auto client = take(http_client::create(*loop));
    exchange_record record;
    client->send({"127.0.0.1", port}, post(), {}, record.handlers());
    CHECK(!record.m_outcome);
    REQUIRE(run_until(*loop, [&] { return record.m_outcome.has_value(); }));
    CHECK(*record.m_outcome == exchange_outcome::connect_failed);
    exchange_record unknown_method;
    client->send({"127.0.0.1", port}, {"BREW", "/", {}, ""}, {},
                 unknown_method.handlers());
    CHECK(!unknown_method.m_outcome);
    REQUIRE(
        run_until(*loop, [&] { return unknown_method.m_outcome.has_value(); }));
    CHECK(*unknown_method.m_outcome == exchange_outcome::not_sent);
}

// Guards against an end that is reported to a sender in the middle of send(),
// which ended processes that had no descriptor left.
TEST_CASE("a connection that fails at once ends its exchange later")
{
    for (bool const has_descriptors : {false, true})
    {
        CAPTURE(has_descriptors);
        auto loop = take(event_loop::create());
        auto client = take(http_client::create(*loop));
        exchange_record record;
        exchange_record cancelled;
        {
            std::optional<descriptor_limit> limit;
            if (!has_descriptors)
            {
                limit.emplace(0);
            }
            // The kernel rejects the second address at once.
            endpoint const server{
                has_descriptors ? "255.255.255.255" : "127.0.0.1", 9};
            client->send(server, post(), {}, record.handlers());
            CHECK(!record.m_outcome);
            client->cancel(
                client->send(server, post(), {}, cancelled.handlers()));
            CHECK(
                run_until(*loop, [&] { return record.m_outcome.has_value(); }));
        }
        // Only the missing descriptor is no fault of the address.
        CHECK(record.m_outcome == (has_descriptors
                                       ? exchange_outcome::connect_failed
                                       : exchange_outcome::not_sent));
        CHECK(!record.m_head);
        CHECK(!cancelled.m_outcome);
        CHECK(
            run_until(*loop, [&] { return client->open_connections() == 0; }));
        // The failures leave nothing behind that later exchanges meet.
        raw_listener server(*loop);
        server.m_on_connection = [](raw_connection& connection)
        {
            connection.m_on_data = [&connection]
            {
                connection.send(whole_answer);
            };
        };
        exchange_record later;
        client->send({"127.0.0.1", server.m_port}, post(), {},
                     later.handlers());
        CHECK(run_until(*loop, [&] { return later.m_outcome.has_value(); }));
        CHECK(later.m_outcome == exchange_outcome::complete);
    }
}

// Guards against a stack that is exhausted while a host without descriptors
// tries one request after the other.
TEST_CASE("requests that cannot be sent are not nested in each other")
{
    auto loop = take(event_loop::create());
    auto client = take(http_client::create(*loop));
    descriptor_limit const limit(0);
    int depth = 0;
    int deepest = 0;
    int sent = 0;
    std::function<void(exchange_outcome)> const send_next =
        [&](exchange_outcome)
    {
        deepest = std::max(deepest, ++depth);
        if (++sent < 300)
        {
            client->send({"127.0.0.1", 9}, post(), {},
                         {.m_on_head = {},
                          .m_on_data = {},
                          .m_on_end = [&](exchange_outcome outcome)
                          {
                              send_next(outcome);
                          }});
        }
        --depth;
    };
    send_next(exchange_outcome::connect_failed);
    CHECK(run_until(*loop, [&] { return sent == 300; }));
    CHECK(deepest == 1);
}

// Guards against a request that runs after it was reported as not sent: its
// connection opens between the report and the end of the loop iteration, as on
// a host that is short of processor time.
TEST_CASE("a request abandoned before its connection opened is never sent")
{
    auto loop = take(event_loop::create());
    auto client = take(http_client::create(*loop));
    full_listener server;
    exchange_options options;
    options.m_connect_timeout = std::chrono::milliseconds(100);
    SUBCASE("after its connect timeout")
    {
        std::optional<exchange_outcome> outcome;
        client->send({"127.0.0.1", server.m_port}, post(), options,
                     {.m_on_head = {},
                      .m_on_data = {},
                      .m_on_end = [&](exchange_outcome end)
                      {
                          outcome = end;
                          server.accept_fillers();
                          server.wait_for_repeated_syn();
                      }});
        REQUIRE(run_until(*loop, [&] { return outcome.has_value(); }));
        CHECK(*outcome == exchange_outcome::connect_failed);
    }
    SUBCASE("by a cancellation")
    {
        options.m_connect_timeout = test_timeout;
        auto const id =
            client->send({"127.0.0.1", server.m_port}, post(), options, {});
        run_some_iterations(*loop);
        client->cancel(id);
        server.accept_fillers();
        server.wait_for_repeated_syn();
    }
    run_some_iterations(*loop);
    server.accept_pending();
    CHECK(server.count_received_bytes() == 0);
}

// Guards against losing an answer that the server sends before it has read the
// whole request.
TEST_CASE("an answer before the end of the request is passed on")
{
    auto loop = take(event_loop::create());
    raw_listener server(*loop);
    auto client = take(http_client::create(*loop));
    server.m_on_connection = [](raw_connection& connection)
    {
        connection.m_on_data = [&connection]
        {
            connection.m_on_data = nullptr;
            connection.set_reading(false);
            connection.send("HTTP/1.1 100 Continue\r\n\r\n");
            connection.send("HTTP/1.1 413 No\r\nContent-Length: 2\r\n\r\nno");
        };
    };
    exchange_record record;
    client->send({"127.0.0.1", server.m_port}, post(std::size_t{32} << 20U),
                 {.m_timeout = test_timeout}, record.handlers());
    REQUIRE(run_until(*loop, [&] { return record.m_outcome.has_value(); }));
    CHECK(*record.m_outcome == exchange_outcome::complete);
    CHECK(record.m_head->m_status == 413);
    // The connection must not be reused.
    exchange_record next;
    client->send({"127.0.0.1", server.m_port}, post(), {}, next.handlers());
    CHECK(run_until(*loop, [&] { return server.m_connections.size() == 2; }));
}

// Guards against delivering bytes that follow an answer as the answer to the
// next request.
TEST_CASE("bytes after an answer are not delivered as the next answer")
{
    for (bool const at_once : {true, false})
    {
        CAPTURE(at_once);
        auto loop = take(event_loop::create());
        raw_listener server(*loop);
        auto client = take(http_client::create(*loop));
        exchange_record first;
        client->send({"127.0.0.1", server.m_port}, post(), {},
                     first.handlers());
        REQUIRE(run_until(*loop, [&] { return count_requests(server) == 1; }));
        std::string const answer = whole_answer;
        server.m_connections[0]->send(at_once ? answer + answer : answer);
        REQUIRE(run_until(*loop, [&] { return first.m_outcome.has_value(); }));
        if (!at_once)
        {
            server.m_connections[0]->send(answer);
            REQUIRE(run_until(
                *loop, [&] { return client->counters().m_unsolicited == 1; }));
        }
        exchange_record second;
        client->send({"127.0.0.1", server.m_port}, post(), {},
                     second.handlers());
        REQUIRE(
            run_until(*loop, [&] { return server.m_connections.size() == 2; }));
        REQUIRE(run_until(*loop, [&] { return count_requests(server) == 2; }));
        CHECK(!second.m_outcome);
        server.m_connections[1]->send(answer);
        CHECK(run_until(*loop, [&] { return second.m_outcome.has_value(); }));
    }
}

// Guards against a request on a connection that the server has closed or used
// for surplus bytes, when the event loop has not reported it yet.
TEST_CASE("a connection with unread input is not reused")
{
    auto loop = take(event_loop::create());
    raw_listener server(*loop);
    auto client = take(http_client::create(*loop));
    endpoint const to{"127.0.0.1", server.m_port};
    exchange_record first;
    client->send(to, post(), {}, first.handlers());
    REQUIRE(run_until(*loop, [&] { return count_requests(server) == 1; }));
    auto& connection = *server.m_connections[0];
    connection.send(whole_answer);
    REQUIRE(run_until(*loop, [&] { return first.m_outcome.has_value(); }));
    SUBCASE("closed by the server")
    {
        connection.shut_down();
    }
    SUBCASE("with a second copy of the answer")
    {
        connection.send_at_once(whole_answer);
    }
    connection.wait_until_acknowledged();
    exchange_record second;
    client->send(to, post(), {}, second.handlers());
    REQUIRE(run_until(*loop,
                      [&] {
                          return second.m_outcome.has_value() ||
                                 server.m_connections.size() == 2;
                      }));
    REQUIRE(!second.m_outcome);
    REQUIRE(run_until(*loop, [&] { return count_requests(server) == 2; }));
    server.m_connections[1]->send(whole_answer);
    REQUIRE(run_until(*loop, [&] { return second.m_outcome.has_value(); }));
    CHECK(*second.m_outcome == exchange_outcome::complete);
}

// Guards against more connections to a target than its limit, and against idle
// connections that are never closed.
TEST_CASE("connections are limited and closed after their idle time")
{
    auto loop = take(event_loop::create());
    raw_listener server(*loop);
    auto client = take(http_client::create(*loop));
    endpoint const to{"127.0.0.1", server.m_port};
    exchange_options const options{.m_max_idle_time =
                                       std::chrono::milliseconds(200),
                                   .m_max_connections = 2};
    std::vector<exchange_record> records(3);
    for (auto& record : records)
    {
        client->send(to, post(), options, record.handlers());
        CHECK(!record.m_outcome);
    }
    REQUIRE(run_until(*loop, [&] { return records[2].m_outcome.has_value(); }));
    CHECK(*records[2].m_outcome == exchange_outcome::not_sent);
    CHECK(client->counters().m_connection_limit_reached == 1);
    REQUIRE(run_until(*loop, [&] { return count_requests(server) == 2; }));
    for (auto& connection : server.m_connections)
    {
        connection->send(whole_answer);
    }
    REQUIRE(run_until(
        *loop, [&] { return records[0].m_outcome && records[1].m_outcome; }));
    CHECK(run_until(*loop,
                    [&]
                    {
                        return server.m_connections[0]->m_closed &&
                               server.m_connections[1]->m_closed;
                    }));
    CHECK(client->counters().m_connections_expired == 2);
    CHECK(client->counters().m_connections_opened == 2);
}

// Guards against the copy of a refusal that is taken for the answer to the same
// request, sent again on the connection.
TEST_CASE("a request is not sent again on a connection that refused it")
{
    auto loop = take(event_loop::create());
    raw_listener server(*loop);
    auto client = take(http_client::create(*loop));
    std::size_t sent = 0;
    auto const send = [&](char const* id, reuse allowed, std::size_t limit)
    {
        exchange_record record;
        exchange_options options;
        options.m_request_id = id;
        options.m_max_connections = limit;
        options.m_read_reuse = [=](http_response_head const&)
        {
            return allowed;
        };
        client->send({"127.0.0.1", server.m_port}, post(), options,
                     record.handlers());
        ++sent;
        REQUIRE(
            run_until(*loop, [&] { return count_requests(server) == sent; }));
        for (auto& connection : server.m_connections)
        {
            if (connection->m_received.ends_with("bbb"))
            {
                connection->m_received += ' ';
                connection->send(whole_answer);
            }
        }
        REQUIRE(run_until(*loop, [&] { return record.m_outcome.has_value(); }));
        CHECK(*record.m_outcome == exchange_outcome::complete);
        return server.m_connections.size();
    };
    CHECK(send("r1", reuse::other_requests, 8) == 1);
    CHECK(send("r2", reuse::other_requests, 8) == 1);
    CHECK(send("r1", reuse::other_requests, 8) == 2);
    CHECK(send("r1", reuse::allowed, 8) == 3);
    CHECK(send("r2", reuse::allowed, 8) == 3);
    // At the limit, an idle connection makes room.
    CHECK(send("r1", reuse::allowed, 3) == 3);
    CHECK(send("r2", reuse::other_requests, 3) == 3);
    CHECK(send("r2", reuse::other_requests, 3) == 3);
    CHECK(send("r2", reuse::allowed, 3) == 4);
    CHECK(client->counters().m_connection_limit_reached == 0);
}

// Guards against a history of refused requests that grows without bound, and
// against a connection that is kept although its last answer forbids it.
TEST_CASE("answers that limit reuse end connections at once or after many")
{
    constexpr std::size_t requests = 100;
    struct sample
    {
        reuse m_allowed;
        std::size_t m_connections;
    };
    for (auto const& wanted :
         {sample{reuse::allowed, 1}, sample{reuse::other_requests, 2},
          sample{reuse::forbidden, requests}})
    {
        CAPTURE(wanted.m_connections);
        auto loop = take(event_loop::create());
        raw_listener server(*loop);
        auto client = take(http_client::create(*loop));
        exchange_options options;
        options.m_read_reuse = [&wanted](http_response_head const&)
        {
            return wanted.m_allowed;
        };
        for (std::size_t i = 0; i < requests; ++i)
        {
            exchange_record record;
            options.m_request_id = std::to_string(i);
            client->send({"127.0.0.1", server.m_port}, post(), options,
                         record.handlers());
            REQUIRE(run_until(*loop,
                              [&] { return count_requests(server) == i + 1; }));
            server.m_connections.back()->send(whole_answer);
            REQUIRE(
                run_until(*loop, [&] { return record.m_outcome.has_value(); }));
        }
        CHECK(server.m_connections.size() == wanted.m_connections);
    }
}

// Guards against a request that fails because a faulty server sends an answer
// to an earlier request once more, late.
TEST_CASE("a copy of the answer to an earlier request is discarded")
{
    auto loop = take(event_loop::create());
    for (auto const& copy : first_answers())
    {
        auto const bytes = copy + std::string(second_answer);
        std::vector<std::vector<std::string_view>> divisions{{bytes}, {}};
        for (std::size_t i = 0; i < bytes.size(); ++i)
        {
            divisions[1].push_back(std::string_view(bytes).substr(i, 1));
        }
        for (std::size_t i = 1; i < bytes.size(); ++i)
        {
            divisions.push_back({std::string_view(bytes).substr(0, i),
                                 std::string_view(bytes).substr(i)});
        }
        for (auto const& parts : divisions)
        {
            CAPTURE(copy);
            CAPTURE(parts[0]);
            CAPTURE(parts.size());
            second_request request(*loop, parts.size() % 2 == 0
                                              ? reuse::allowed
                                              : reuse::other_requests);
            request.answer(parts);
            request.wait_for_end();
            CHECK(request.is_answered());
            CHECK(request.m_client->counters().m_surplus_answers == 1);
            // More copies may follow.
            CHECK(run_until(*loop,
                            [&] { return request.connection().m_closed; }));
        }
    }
}

// Guards against a copy that breaks off and lends its head to the answer after
// it or takes the start of that answer for the rest of its body.
TEST_CASE("a cut copy of an earlier answer never changes the next one")
{
    auto loop = take(event_loop::create());
    for (auto const& copy : first_answers())
    {
        auto const head_size = copy.rfind("\r\n\r\n") + 4;
        for (std::size_t size = 0; size < copy.size(); ++size)
        {
            auto const bytes =
                copy.substr(0, size) + std::string(second_answer);
            for (std::size_t first : {bytes.size(), size})
            {
                CAPTURE(copy.substr(0, size));
                CAPTURE(first);
                second_request request(*loop, reuse::other_requests);
                request.answer({std::string_view(bytes).substr(0, first),
                                std::string_view(bytes).substr(first)});
                if (size < head_size)
                {
                    request.connection().shut_down();
                }
                request.wait_for_end();
                // An interim answer may be sent to any request.
                auto const is_whole =
                    size == 0 || copy.substr(0, size).ends_with("\r\n\r\n");
                bool const is_interim = is_whole && size < head_size;
                CHECK(request.is_answered() == is_interim);
                CHECK((is_interim || !request.m_record.m_head));
                if (size >= head_size)
                {
                    CHECK(request.m_record.m_outcome ==
                          exchange_outcome::malformed);
                }
            }
        }
    }
}

// Guards against answers that are discarded although they may be true, against
// a server that sends surplus answers without end, and against a wait beyond
// the timeout.
TEST_CASE("only a few copies of known answers with a length are discarded")
{
    using enum exchange_outcome;
    struct row
    {
        char const* m_case;
        std::string m_answer;
        exchange_outcome m_outcome;
        /// Status of the answer that is passed on; 0 for none.
        int m_status;
        std::string m_header = "X-Id";
        bool m_closes_connection = false;
    };
    std::string const second(second_answer);
    std::string const start = "HTTP/1.1 200 OK\r\nX-Id: r1\r\n";
    auto const copy = start + "Content-Length: 2\r\n\r\nok";
    auto const sized = [&](std::size_t size)
    {
        return absl::StrCat(start, "Content-Length: ", size, "\r\n\r\n",
                            std::string(size, 'x'));
    };
    auto const unknown =
        "HTTP/1.1 200 OK\r\nX-Id: r0\r\nContent-Length: 2\r\n\r\nok" + second;
    auto const quoted = [&](std::string const& body)
    {
        return absl::StrCat(start, "Content-Length: ", body.size(), "\r\n\r\n",
                            body, second);
    };
    auto const rows = std::vector<row>{
        {"four copies", copy + copy + copy + copy + second, complete, 201},
        {"five copies", copy + copy + copy + copy + copy + second, malformed,
         0},
        {"many bytes", sized(65'000) + second, complete, 201},
        {"too many bytes", sized(66'000) + second, malformed, 0},
        {"too many bytes in all", sized(33'000) + sized(33'000) + second,
         malformed, 0},
        {"huge length",
         start + "Content-Length: 18446744073709551615\r\n\r\n" + second,
         malformed, 0},
        {"an answer in a body", quoted("HTTP/1.0 404 Not"), malformed, 0},
        {"a version in a body", quoted("Via: HTTP/1.1 x"), complete, 201},
        {"garbage after a copy", copy + "x" + second, malformed, 0},
        {"a copy without its body",
         start + "Content-Length: 2\r\n\r\n" + second, malformed, 0},
        {"a body without a length",
         start + "Content-Length: 0\r\n\r\nok" + second, malformed, 0},
        {"silence", copy, silent, 0},
        {"silence in a copy", start + "Content-Length: 9\r\n\r\nok", silent, 0},
        {"the end", copy, closed, 0, "X-Id", true},
        {"the end in a copy", start + "Content-Length: 9\r\n\r\nok", closed, 0,
         "X-Id", true},
        {"unknown id", unknown, complete, 200},
        {"no id", std::string(whole_answer) + second, complete, 200},
        {"empty id", "HTTP/1.1 200 OK\r\nX-Id:\r\nContent-Length: 2\r\n\r\nok",
         complete, 200},
        {"two ids", start + "X-Id: r2\r\nContent-Length: 2\r\n\r\nok", complete,
         200},
        {"chunked",
         start + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n" +
             second,
         complete, 200},
        {"no length", start + "\r\nok", complete, 200, "X-Id", true},
        {"no header with the id", copy + second, complete, 200, ""},
        {"another header", copy + second, complete, 200, "X-Other"},
    };
    auto loop = take(event_loop::create());
    for (auto const& row : rows)
    {
        CAPTURE(row.m_case);
        second_request request(
            *loop, reuse::allowed,
            row.m_outcome == silent
                ? core::duration(std::chrono::milliseconds(100))
                : test_timeout,
            3, row.m_header);
        request.connection().send(row.m_answer);
        REQUIRE(run_until(*loop,
                          [&] {
                              return request.connection().unsent() == 0 ||
                                     request.m_record.m_outcome;
                          }));
        if (row.m_closes_connection)
        {
            request.connection().shut_down();
        }
        request.wait_for_end();
        CHECK(request.m_record.m_outcome == row.m_outcome);
        CHECK((request.m_record.m_head ? request.m_record.m_head->m_status
                                       : 0) == row.m_status);
        CHECK((row.m_status != 201 || request.is_answered()));
    }
}

// Guards against the same request under way again that waits in vain, since its
// answer is taken for a copy of the one before.
TEST_CASE("an answer with the id of the request in flight is never discarded")
{
    auto loop = take(event_loop::create());
    raw_listener server(*loop);
    auto client = take(http_client::create(*loop));
    exchange_options options;
    options.m_request_id = "r1";
    options.m_request_id_header = "X-Id";
    for (std::size_t sent = 1; sent <= 3; ++sent)
    {
        exchange_record record;
        client->send({"127.0.0.1", server.m_port}, post(), options,
                     record.handlers());
        REQUIRE(
            run_until(*loop, [&] { return count_requests(server) == sent; }));
        CHECK(server.m_connections.size() == 1);
        server.m_connections[0]->send(first_answers()[0]);
        REQUIRE(run_until(*loop, [&] { return record.m_outcome.has_value(); }));
        CHECK(record.m_outcome == exchange_outcome::complete);
        CHECK(record.m_body == "ok");
    }
    CHECK(client->counters().m_surplus_answers == 0);
}

// Guards against an upload that ends early because a copy of an earlier answer
// arrives before it is sent.
TEST_CASE("a copy of an earlier answer does not end the sending of a request")
{
    constexpr std::size_t size = std::size_t{32} << 20U;
    auto loop = take(event_loop::create());
    second_request request(*loop, reuse::allowed, test_timeout, size);
    auto& connection = request.connection();
    connection.set_reading(false);
    REQUIRE(connection.m_received.size() < size);
    request.answer({first_answers()[0]});
    REQUIRE(run_until(
        *loop,
        [&] { return request.m_client->counters().m_surplus_answers == 1; }));
    CHECK(!request.m_record.m_head);
    connection.set_reading(true);
    REQUIRE(
        run_until(*loop, [&] { return connection.m_received.size() > size; }));
    request.answer({second_answer});
    request.wait_for_end();
    CHECK(request.is_answered());
}

// Guards against buffering an answer in memory while its reader is blocked.
TEST_CASE("a paused exchange delivers nothing until it is resumed")
{
    auto loop = take(event_loop::create());
    raw_listener server(*loop);
    auto client = take(http_client::create(*loop));
    exchange_record record;
    auto const id =
        client->send({"127.0.0.1", server.m_port}, post(),
                     {.m_timeout = test_timeout}, record.handlers());
    REQUIRE(run_until(*loop, [&] { return count_requests(server) == 1; }));
    auto& connection = *server.m_connections[0];
    connection.send("HTTP/1.1 200 OK\r\nContent-Length: 30000000\r\n\r\n");
    REQUIRE(run_until(*loop, [&] { return record.m_head.has_value(); }));
    client->set_reading(id, false);
    std::string answer;
    answer.resize(30'000'000, 'x');
    connection.send(answer);
    for (int i = 0; i < 2000; ++i)
    {
        event_base_loop(loop->base(), EVLOOP_NONBLOCK);
    }
    CHECK(record.m_body.empty());
    CHECK(connection.unsent() > 0);
    client->set_reading(id, true);
    REQUIRE(run_until(*loop, [&] { return record.m_outcome.has_value(); }));
    CHECK(*record.m_outcome == exchange_outcome::complete);
    CHECK(record.m_body.size() == 30'000'000);
}

// Guards against a server in trouble that announces one large chunk, of which
// all bytes would be kept until the end of the exchange.
TEST_CASE("the data of a chunk is delivered before the chunk is complete")
{
    auto loop = take(event_loop::create());
    raw_listener server(*loop);
    auto client = take(http_client::create(*loop));
    server.m_on_connection = [](raw_connection& connection)
    {
        connection.m_on_data = [&connection]
        {
            connection.m_on_data = nullptr;
            connection.send("HTTP/1.1 200 OK\r\n"
                            "Transfer-Encoding: chunked\r\n\r\n"
                            "7fffffff;name=value\r\n");
            connection.send(std::string(100'000, 'x'));
        };
    };
    exchange_record record;
    client->send({"127.0.0.1", server.m_port}, post(),
                 {.m_timeout = test_timeout, .m_max_answer_bytes = 200'000},
                 record.handlers());
    REQUIRE(run_until(*loop, [&] { return record.m_body.size() == 100'000; }));
    CHECK(!record.m_outcome);
    server.m_connections[0]->send(std::string(100'001, 'x'));
    REQUIRE(run_until(*loop, [&] { return record.m_outcome.has_value(); }));
    CHECK(*record.m_outcome == exchange_outcome::too_large);
}

// Guards against use after free when a handler cancels its own exchange and
// when the client is destroyed with exchanges in every phase.
TEST_CASE("handlers can cancel exchanges and the client can be destroyed")
{
    auto loop = take(event_loop::create());
    raw_listener server(*loop);
    auto client = take(http_client::create(*loop));
    endpoint const to{"127.0.0.1", server.m_port};
    exchange_id in_head = 0;
    exchange_id in_data = 0;
    int calls = 0;
    in_head = client->send(
        to, post(), {},
        {.m_on_head = [&](auto, auto) { ++calls, client->cancel(in_head); },
         .m_on_data = [&](auto) { FAIL("data after cancel"); },
         .m_on_end =
             [&](auto)
         {
             FAIL("end after cancel");
         }});
    in_data = client->send(
        to, post(), {},
        {.m_on_head = nullptr,
         .m_on_data = [&](auto) { ++calls, client->cancel(in_data); },
         .m_on_end =
             [&](auto)
         {
             FAIL("end after cancel");
         }});
    REQUIRE(run_until(*loop, [&] { return count_requests(server) == 2; }));
    for (auto& connection : server.m_connections)
    {
        connection->send(whole_answer);
    }
    REQUIRE(run_until(*loop, [&] { return calls == 2; }));
    exchange_record sent;
    client->send(to, post(), {}, sent.handlers());
    REQUIRE(run_until(*loop, [&] { return count_requests(server) == 3; }));
    exchange_record connecting;
    client->send(to, post(), {}, connecting.handlers());
    exchange_record refused;
    client->send(to, post(), {.m_max_connections = 0}, refused.handlers());
    client.reset();
    event_base_loop(loop->base(), EVLOOP_NONBLOCK);
    CHECK(!sent.m_outcome);
    CHECK(!refused.m_outcome);
}

} // namespace hawthornspur::net
