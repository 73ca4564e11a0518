#include "net/event_loop.hpp"
#include "net/http_server.hpp"
#include "net/net_test_support.hpp"

#include <doctest/doctest.h>

#include <deque>
#include <string>
#include <vector>

namespace hawthornspur::net
{

namespace
{

/// A server that keeps its exchanges until the test answers them.
struct subject
{
    explicit subject(event_loop& loop, http_server_settings settings = {})
    {
        settings.m_address = "127.0.0.1";
        m_server = take(http_server::create(
            loop, settings,
            [this](http_request request, std::shared_ptr<http_exchange> e)
            {
                m_requests.push_back(std::move(request));
                m_exchanges.push_back(std::move(e));
                if (m_on_request)
                {
                    m_on_request(m_requests.back(), m_exchanges.back());
                }
            }));
    }
    std::uint64_t refused(result_code code) const
    {
        auto const& all = m_server->counters().m_refused;
        auto const found = all.find(code);
        return found == all.end() ? 0 : found->second;
    }

    std::deque<http_request> m_requests;
    std::deque<std::shared_ptr<http_exchange>> m_exchanges;
    std::function<void(http_request const&,
                       std::shared_ptr<http_exchange> const&)>
        m_on_request;
    std::unique_ptr<http_server> m_server;
};

std::string get(std::string const& path = "/", std::string const& headers = "")
{
    return "GET " + path + " HTTP/1.1\r\nHost: a\r\n" + headers + "\r\n";
}

bool contains(std::string const& text, std::string const& part)
{
    return text.find(part) != std::string::npos;
}

std::size_t count(std::string const& text, std::string const& part)
{
    std::size_t found = 0;
    for (auto at = text.find(part); at != std::string::npos;
         at = text.find(part, at + 1))
    {
        ++found;
    }
    return found;
}

/// Answers every request with its path.
void echo(http_request const& request,
          std::shared_ptr<http_exchange> const& exchange)
{
    exchange->reply({200, {}}, "<" + request.m_uri + ">");
}

} // namespace

// Guards against refusals that reach the caller without code, outcome or
// body, or that are not counted.
TEST_CASE("faulty requests are answered with their result code")
{
    struct row
    {
        char const* m_case;
        std::string m_bytes;
        result_code m_code;
    };
    auto const rows = std::vector<row>{
        {"first request", "GET / HTTP/1.1\nHost: a\n\n",
         result_code::ambiguous_framing},
        {"within a chunked body",
         "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
         "1\r\na\r\nxyz\r\n",
         result_code::ambiguous_framing},
        {"body above the cap",
         "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 99999999\r\n\r\n",
         result_code::body_too_large},
        {"head above the cap", get("/", "X: " + std::string(40'000, 'x')),
         result_code::headers_too_large},
        {"unknown method", "BREW / HTTP/1.1\r\nHost: a\r\n\r\n",
         result_code::method_not_allowed},
        {"unknown expectation", get("/", "Expect: x\r\n"),
         result_code::malformed_request},
    };
    for (auto const& row : rows)
    {
        CAPTURE(row.m_case);
        auto loop = take(event_loop::create());
        subject s(*loop);
        s.m_on_request = echo;
        // Also on a kept connection, where evhttp is in another state.
        for (auto const* earlier : {"", "earlier"})
        {
            CAPTURE(earlier);
            raw_connection caller(*loop, s.m_server->port());
            if (*earlier != '\0')
            {
                caller.send(get("/earlier"));
                REQUIRE(run_until(
                    *loop,
                    [&] { return contains(caller.m_received, "</earlier>"); }));
                caller.m_received.clear();
            }
            caller.send(row.m_bytes);
            CHECK(run_until(*loop, [&] { return caller.m_closed; }));
            auto const number =
                std::to_string(static_cast<unsigned>(row.m_code));
            CHECK(count(caller.m_received, "HTTP/1.1 ") == 1);
            CHECK(contains(caller.m_received,
                           "HTTP/1.1 " +
                               std::to_string(info(row.m_code).m_http_status)));
            CHECK(contains(caller.m_received,
                           "Hawthornspur-Code: " + number + "\r\n"));
            CHECK(contains(caller.m_received,
                           "Hawthornspur-Outcome: not-run\r\n"));
            CHECK(contains(caller.m_received, "{\"code\":" + number));
        }
        CHECK(s.refused(row.m_code) == 2);
        CHECK(s.m_server->counters().m_requests == 1);
        CHECK(run_until(
            *loop,
            [&] { return s.m_server->counters().m_connections_open == 0; }));
    }
}

// Guards against answers to pipelined requests that are missing, mixed or out
// of order, also when the answers become ready in another order.
TEST_CASE("pipelined requests are answered whole and in order")
{
    auto loop = take(event_loop::create());
    subject s(*loop);
    raw_connection caller(*loop, s.m_server->port());
    std::string const body(50'000, 'b');
    caller.send(get("/1") + get("/2") +
                "POST /3 HTTP/1.1\r\nHost: a\r\nContent-Length: 50000\r\n\r\n" +
                body + get("/4"));
    std::string expected;
    for (std::size_t i = 0; i < 4; ++i)
    {
        REQUIRE(run_until(*loop, [&] { return s.m_requests.size() == i + 1; }));
        auto const answer = "<answer " + s.m_requests[i].m_uri + ">";
        // Nothing of a later request is seen before this answer.
        event_base_loop(loop->base(), EVLOOP_NONBLOCK);
        CHECK(s.m_requests.size() == i + 1);
        s.m_exchanges[i]->reply({200, {}}, answer);
        REQUIRE(run_until(*loop,
                          [&] { return contains(caller.m_received, answer); }));
    }
    CHECK(s.m_requests[2].m_body == body);
    CHECK(count(caller.m_received, "<answer") == 4);
    CHECK(s.m_server->counters().m_connections_accepted == 1);
}

// Guards against a process that evhttp ends because data arrives while an
// answer is being sent, and against unbounded memory for such data.
TEST_CASE("data during an answer neither ends the process nor fills it")
{
    auto loop = take(event_loop::create());
    subject s(*loop, {.m_address = "", .m_max_headers_bytes = 4096});
    raw_connection caller(*loop, s.m_server->port());
    caller.send(get("/1"));
    REQUIRE(run_until(*loop, [&] { return s.m_exchanges.size() == 1; }));
    s.m_exchanges[0]->start({200, {}}, std::nullopt);
    // More than the kernel's buffers take.
    std::size_t const requests = 5000;
    std::string flood;
    for (std::size_t i = 0; i < requests; ++i)
    {
        flood += get("/flood", "X: " + std::string(3000, 'x') + "\r\n");
    }
    caller.send(flood);
    for (int i = 0; i < 2000; ++i)
    {
        s.m_exchanges[0]->write("x");
        event_base_loop(loop->base(), EVLOOP_NONBLOCK);
    }
    CHECK(caller.unsent() > 0);
    s.m_on_request = echo;
    s.m_exchanges[0]->end();
    REQUIRE(
        run_until(*loop, [&] { return s.m_requests.size() == requests + 1; }));
    REQUIRE(run_until(*loop,
                      [&]
                      {
                          return s.m_exchanges.back().use_count() == 1 &&
                                 count(caller.m_received, "</flood>") ==
                                     requests;
                      }));
}

// Guards against a caller that leaves unnoticed, which would keep a slot at a
// target busy, and against use of the freed request afterwards.
TEST_CASE("a caller that leaves is noticed at once, in every phase")
{
    struct row
    {
        char const* m_case;
        bool m_started;
        bool m_pipelined;
        bool m_reset;
    };
    for (auto const& row : std::vector<row>{
             {"before the answer", false, false, false},
             {"before the answer, by a reset", false, false, true},
             {"with a second request waiting", false, true, false},
             {"within a streamed answer", true, false, false},
             {"within a streamed answer, by a reset", true, false, true},
             {"streamed, with a second request", true, true, false}})
    {
        CAPTURE(row.m_case);
        auto loop = take(event_loop::create());
        subject s(*loop);
        auto caller =
            std::make_unique<raw_connection>(*loop, s.m_server->port());
        caller->send(get("/1") + (row.m_pipelined ? get("/2") : ""));
        REQUIRE(run_until(*loop, [&] { return s.m_exchanges.size() == 1; }));
        int closed = 0;
        auto const exchange = s.m_exchanges[0];
        exchange->set_on_closed([&] { ++closed; });
        if (row.m_started)
        {
            exchange->start({200, {}}, 1000);
            exchange->write("part");
            REQUIRE(run_until(
                *loop, [&] { return contains(caller->m_received, "part"); }));
        }
        if (row.m_reset)
        {
            caller->reset();
        }
        caller.reset();
        REQUIRE(run_until(*loop, [&] { return closed == 1; }));
        CHECK(!exchange->is_open());
        CHECK(exchange->buffered_bytes() == 0);
        exchange->write("late");
        exchange->end();
        exchange->abort();
        CHECK(s.m_server->counters().m_callers_gone == 1);
        CHECK(s.m_server->counters().m_connections_open == 0);
        CHECK(s.m_requests.size() == 1);
    }
}

// Guards against an incomplete answer that looks complete.
TEST_CASE("an answer that is not whole closes the connection")
{
    struct row
    {
        char const* m_case;
        std::function<void(std::shared_ptr<http_exchange>&)> m_act;
    };
    for (auto const& row :
         std::vector<row>{{"aborted",
                           [](auto& e)
                           {
                               e->start({200, {}}, std::nullopt);
                               e->write("part");
                               e->abort();
                           }},
                          {"dropped before the answer",
                           [](auto& e)
                           {
                               e.reset();
                           }},
                          {"dropped within the answer",
                           [](auto& e)
                           {
                               e->start({200, {}}, 100);
                               e->write("part");
                               e.reset();
                           }},
                          {"ended before its length",
                           [](auto& e)
                           {
                               e->start({200, {}}, 100);
                               e->write("part");
                               e->end();
                           }},
                          {"longer than its length", [](auto& e)
                           {
                               e->start({200, {}}, 3);
                               e->write("part");
                           }}})
    {
        CAPTURE(row.m_case);
        auto loop = take(event_loop::create());
        subject s(*loop);
        raw_connection caller(*loop, s.m_server->port());
        caller.send(get());
        REQUIRE(run_until(*loop, [&] { return s.m_exchanges.size() == 1; }));
        row.m_act(s.m_exchanges[0]);
        s.m_exchanges.clear();
        CHECK(run_until(*loop, [&] { return caller.m_closed; }));
        CHECK(!contains(caller.m_received, "0\r\n\r\n"));
    }
}

// Guards against a body after HEAD, 204 or 304, which the caller would read
// as the start of the next answer.
TEST_CASE("answers without a body have none and keep the connection")
{
    struct row
    {
        char const* m_method;
        int m_status;
        bool m_streamed;
        char const* m_length;
    };
    for (auto const& row :
         std::vector<row>{{"HEAD", 200, false, "Content-Length: 4\r\n"},
                          {"HEAD", 200, true, "Content-Length: 4\r\n"},
                          {"GET", 204, false, ""},
                          {"GET", 204, true, ""},
                          {"GET", 304, false, ""},
                          {"GET", 304, true, ""}})
    {
        CAPTURE(row.m_method);
        CAPTURE(row.m_status);
        CAPTURE(row.m_streamed);
        auto loop = take(event_loop::create());
        subject s(*loop);
        s.m_on_request = [&](http_request const& request, auto const& e)
        {
            if (request.m_uri == "/next")
            {
                e->reply({200, {}}, "next");
                return;
            }
            if (!row.m_streamed)
            {
                e->reply({row.m_status, {}}, "body");
                return;
            }
            e->start({row.m_status, {}}, 4);
            e->write("body");
            e->end();
        };
        raw_connection caller(*loop, s.m_server->port());
        caller.send(std::string(row.m_method) +
                    " / HTTP/1.1\r\nHost: a\r\n\r\n" + get("/next"));
        REQUIRE(
            run_until(*loop, [&]
                      { return contains(caller.m_received, "\r\n\r\nnext"); }));
        CHECK(!contains(caller.m_received, "body"));
        CHECK(contains(caller.m_received, row.m_length));
        auto const second = caller.m_received.find("HTTP/1.1", 1);
        CHECK(caller.m_received.substr(second - 4, 4) == "\r\n\r\n");
        if (*row.m_length == '\0')
        {
            CHECK(!contains(caller.m_received.substr(0, second),
                            "Content-Length"));
        }
    }
}

// Guards against unbounded memory for an answer that the caller does not
// read, and against a stream that never goes on.
TEST_CASE("a streamed answer waits for its caller")
{
    auto loop = take(event_loop::create());
    subject s(*loop);
    raw_connection caller(*loop, s.m_server->port());
    caller.send(get());
    REQUIRE(run_until(*loop, [&] { return s.m_exchanges.size() == 1; }));
    auto const& e = s.m_exchanges[0];
    std::size_t const total = std::size_t{32} << 20U;
    std::size_t const piece = std::size_t{64} << 10U;
    std::size_t written = 0;
    std::size_t most_buffered = 0;
    auto const write_one = [&]
    {
        if (written == total)
        {
            e->end();
            return;
        }
        written += piece;
        e->write(std::string(piece, 'x'));
        most_buffered = std::max(most_buffered, e->buffered_bytes());
    };
    caller.set_reading(false);
    e->set_on_drained(write_one);
    e->start({200, {}}, total);
    write_one();
    // The kernel takes some megabytes, then the writer stands still.
    std::size_t before = 0;
    do
    {
        before = written;
        for (int i = 0; i < 100; ++i)
        {
            event_base_loop(loop->base(), EVLOOP_NONBLOCK);
        }
    } while (written != before);
    CHECK(written < total);
    caller.set_reading(true);
    REQUIRE(run_until(*loop, [&] { return caller.m_received.size() > total; }));
    CHECK(most_buffered <= 2 * piece);
    CHECK(!e->is_open());
}

// Guards against headers of an answer that end its head early or change its
// framing.
TEST_CASE("headers of an answer cannot change its framing")
{
    auto loop = take(event_loop::create());
    subject s(*loop);
    s.m_on_request = [](auto const&, auto const& e)
    {
        e->reply({200,
                  {{"X-Good", "1"},
                   {"X-Split", "a\r\nX-Injected: 1"},
                   {"X-Fold", "a\r\n b"},
                   {"Bad Name", "1"},
                   {"Content-Length", "1"},
                   {"Transfer-Encoding", "chunked"}}},
                 "whole");
    };
    raw_connection caller(*loop, s.m_server->port());
    caller.send(get());
    REQUIRE(
        run_until(*loop, [&] { return contains(caller.m_received, "whole"); }));
    CHECK(contains(caller.m_received, "X-Good: 1\r\n"));
    CHECK(contains(caller.m_received, "Content-Length: 5\r\n"));
    CHECK(!contains(caller.m_received, "X-Injected"));
    CHECK(!contains(caller.m_received, "X-Fold"));
    CHECK(!contains(caller.m_received, "Bad Name"));
    CHECK(!contains(caller.m_received, "chunked"));
}

// Guards against connections without bound and against a refusal beyond the
// bound that the caller cannot understand.
TEST_CASE("connections above the limit are refused with a code")
{
    auto loop = take(event_loop::create());
    subject s(*loop, {.m_address = "", .m_max_connections = 2});
    s.m_on_request = echo;
    raw_connection first(*loop, s.m_server->port());
    raw_connection second(*loop, s.m_server->port());
    REQUIRE(run_until(
        *loop, [&] { return s.m_server->counters().m_connections_open == 2; }));
    {
        raw_connection third(*loop, s.m_server->port());
        third.send(get());
        CHECK(run_until(*loop, [&] { return third.m_closed; }));
        CHECK(contains(third.m_received, "Hawthornspur-Code: 2018\r\n"));
    }
    first.send(get("/first"));
    CHECK(run_until(*loop,
                    [&] { return contains(first.m_received, "</first>"); }));
    CHECK(s.refused(result_code::too_many_connections) == 1);
    CHECK(run_until(
        *loop, [&] { return s.m_server->counters().m_connections_open == 2; }));
}

// Guards against idle connections that are kept for ever.
TEST_CASE("an idle connection is closed, within a request or not")
{
    for (auto const& bytes : std::vector<std::string>{
             "", "GET / HT", get("/1") + "GET / HT",
             "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nab"})
    {
        CAPTURE(bytes);
        auto loop = take(event_loop::create());
        subject s(*loop, {.m_address = "",
                          .m_idle_timeout = std::chrono::milliseconds(50)});
        s.m_on_request = echo;
        raw_connection caller(*loop, s.m_server->port());
        caller.send(bytes);
        CHECK(run_until(*loop, [&] { return caller.m_closed; }));
        CHECK(run_until(
            *loop,
            [&] { return s.m_server->counters().m_connections_open == 0; }));
        CHECK(s.m_server->counters().m_requests_incomplete ==
              (bytes.empty() ? 0 : 1));
    }
}

// Guards against a crash when a server ends with requests in every phase.
TEST_CASE("a server can end with requests in flight")
{
    auto loop = take(event_loop::create());
    auto s = std::make_unique<subject>(*loop);
    std::vector<std::unique_ptr<raw_connection>> callers;
    for (auto const& bytes :
         std::vector<std::string>{"", "GET / HT", get("/1"), get("/2"),
                                  get("/3") + get("/4"), "BAD\n"})
    {
        callers.push_back(
            std::make_unique<raw_connection>(*loop, s->m_server->port()));
        callers.back()->send(bytes);
    }
    REQUIRE(run_until(*loop, [&] { return s->m_exchanges.size() == 3; }));
    s->m_exchanges[0]->start({200, {}}, std::nullopt);
    s->m_exchanges[0]->write("x");
    auto const kept = s->m_exchanges[0];
    int closed = 0;
    kept->set_on_closed([&] { ++closed; });
    callers.push_back(
        std::make_unique<raw_connection>(*loop, s->m_server->port()));
    s->m_server.reset();
    CHECK(closed == 1);
    CHECK(!kept->is_open());
    kept->write("late");
}

} // namespace hawthornspur::net
