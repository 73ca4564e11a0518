#include "net/event_loop.hpp"
#include "net/http_server.hpp"
#include "net/net_test_support.hpp"

#include <doctest/doctest.h>

#include <deque>
#include <sstream>
#include <string>
#include <vector>

namespace hawthornspur::net
{

namespace
{

/// A server that stores its exchanges until the test answers them.
struct server_fixture
{
    explicit server_fixture(event_loop& loop,
                            http_server_settings settings = {})
    {
        settings.m_address = "127.0.0.1";
        m_server = take(http_server::create(
            loop, settings,
            [this](http_request request,
                   std::shared_ptr<http_exchange> exchange)
            {
                m_requests.push_back(std::move(request));
                m_exchanges.push_back(std::move(exchange));
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

// Guards against refusals without result code, outcome or body, and against
// refusals that are not counted.
TEST_CASE("invalid requests are answered with their result code")
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
        server_fixture fixture(*loop);
        fixture.m_on_request = echo;
        // Also on a reused connection, where evhttp is in another state.
        for (auto const* earlier : {"", "earlier"})
        {
            CAPTURE(earlier);
            raw_connection caller(*loop, fixture.m_server->port());
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
        CHECK(fixture.refused(row.m_code) == 2);
        CHECK(fixture.m_server->counters().m_requests == 1);
        CHECK(run_until(
            *loop, [&]
            { return fixture.m_server->counters().m_connections_open == 0; }));
    }
}

// Guards against answers to pipelined requests that are missing, mixed up or
// out of order.
TEST_CASE("pipelined requests are handled one at a time and in order")
{
    auto loop = take(event_loop::create());
    server_fixture fixture(*loop);
    raw_connection caller(*loop, fixture.m_server->port());
    std::string const body(50'000, 'b');
    caller.send(get("/1") + get("/2") +
                "POST /3 HTTP/1.1\r\nHost: a\r\nContent-Length: 50000\r\n\r\n" +
                body + get("/4"));
    std::string expected;
    for (std::size_t i = 0; i < 4; ++i)
    {
        REQUIRE(run_until(*loop,
                          [&] { return fixture.m_requests.size() == i + 1; }));
        auto const answer = "<answer " + fixture.m_requests[i].m_uri + ">";
        // The next request is not passed on before this answer.
        event_base_loop(loop->base(), EVLOOP_NONBLOCK);
        CHECK(fixture.m_requests.size() == i + 1);
        fixture.m_exchanges[i]->reply({200, {}}, answer);
        REQUIRE(run_until(*loop,
                          [&] { return contains(caller.m_received, answer); }));
    }
    CHECK(fixture.m_requests[2].m_body == body);
    CHECK(count(caller.m_received, "<answer") == 4);
    CHECK(fixture.m_server->counters().m_connections_accepted == 1);
}

// Guards against a body that stays in the input buffer and is parsed as the
// next request: evhttp reads none for HEAD.
TEST_CASE("a request in the body of another one is not run")
{
    std::string const inner =
        "PUT /inner HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\nx";
    auto const size = std::to_string(inner.size());
    std::vector<std::string> const framed_bodies{
        "Content-Length: " + size + "\r\n\r\n" + inner,
        "Transfer-Encoding: chunked\r\n\r\n1\r\nP\r\n" +
            [&]
            {
                std::ostringstream hexadecimal;
                hexadecimal << std::hex << inner.size() - 1;
                return hexadecimal.str();
            }() +
            "\r\n" + inner.substr(1) + "\r\n0\r\n\r\n"};
    for (std::string const method :
         {"GET", "HEAD", "POST", "PUT", "DELETE", "OPTIONS", "PATCH"})
    {
        for (auto const& framed_body : framed_bodies)
        {
            for (bool const is_pipelined : {false, true})
            {
                CAPTURE(method);
                CAPTURE(framed_body);
                CAPTURE(is_pipelined);
                auto loop = take(event_loop::create());
                server_fixture fixture(*loop);
                raw_connection caller(*loop, fixture.m_server->port());
                std::string bytes = method;
                bytes += " /outer HTTP/1.1\r\nHost: a\r\n";
                bytes += framed_body;
                bytes += is_pipelined ? get("/next") : "";
                caller.send(bytes);
                REQUIRE(run_until(*loop, [&]
                                  { return fixture.m_requests.size() == 1; }));
                CHECK(fixture.m_requests[0].m_method == method);
                CHECK(fixture.m_requests[0].m_body == inner);
                fixture.m_exchanges[0]->reply({200, {}}, "");
                if (!is_pipelined)
                {
                    REQUIRE(run_until(
                        *loop, [&]
                        { return contains(caller.m_received, "\r\n\r\n"); }));
                    caller.send(get("/next"));
                }
                REQUIRE(run_until(*loop, [&]
                                  { return fixture.m_requests.size() == 2; }));
                CHECK(fixture.m_requests[1].m_uri == "/next");
            }
        }
    }
}

// Guards against evhttp aborting the process when data arrives while an answer
// is sent, and against unbounded memory for such data.
TEST_CASE("requests received during an answer are held and answered later")
{
    auto loop = take(event_loop::create());
    server_fixture fixture(*loop,
                           {.m_address = "", .m_max_headers_bytes = 4096});
    raw_connection caller(*loop, fixture.m_server->port());
    caller.send(get("/1"));
    REQUIRE(run_until(*loop, [&] { return fixture.m_exchanges.size() == 1; }));
    fixture.m_exchanges[0]->start({200, {}}, std::nullopt);
    // More than the socket buffers hold.
    std::size_t const requests = 5000;
    std::string flood;
    for (std::size_t i = 0; i < requests; ++i)
    {
        flood += get("/flood", "X: " + std::string(3000, 'x') + "\r\n");
    }
    caller.send(flood);
    for (int i = 0; i < 2000; ++i)
    {
        fixture.m_exchanges[0]->write("x");
        event_base_loop(loop->base(), EVLOOP_NONBLOCK);
    }
    CHECK(caller.unsent() > 0);
    fixture.m_on_request = echo;
    fixture.m_exchanges[0]->end();
    REQUIRE(run_until(*loop, [&]
                      { return fixture.m_requests.size() == requests + 1; }));
    REQUIRE(run_until(*loop,
                      [&]
                      {
                          return fixture.m_exchanges.back().use_count() == 1 &&
                                 count(caller.m_received, "</flood>") ==
                                     requests;
                      }));
}

// Guards against an undetected disconnect, which would leave a slot at a target
// in use, and against use of the request after it is freed.
TEST_CASE("a caller that disconnects is detected at once in every phase")
{
    struct row
    {
        char const* m_case;
        bool m_is_started;
        bool m_is_pipelined;
        bool m_is_reset;
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
        server_fixture fixture(*loop);
        auto caller =
            std::make_unique<raw_connection>(*loop, fixture.m_server->port());
        caller->send(get("/1") + (row.m_is_pipelined ? get("/2") : ""));
        REQUIRE(
            run_until(*loop, [&] { return fixture.m_exchanges.size() == 1; }));
        int closed = 0;
        auto const exchange = fixture.m_exchanges[0];
        exchange->set_on_closed([&] { ++closed; });
        if (row.m_is_started)
        {
            exchange->start({200, {}}, 1000);
            exchange->write("part");
            REQUIRE(run_until(
                *loop, [&] { return contains(caller->m_received, "part"); }));
        }
        if (row.m_is_reset)
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
        CHECK(fixture.m_server->counters().m_callers_disconnected == 1);
        CHECK(fixture.m_server->counters().m_connections_open == 0);
        CHECK(fixture.m_requests.size() == 1);
    }
}

// Guards against a busy host that passes requests on long after their callers
// have given up: it reads the request and the close at the same time.
TEST_CASE("a request whose caller has left before it is read is not passed on")
{
    for (bool const is_kept : {false, true})
    {
        CAPTURE(is_kept);
        auto loop = take(event_loop::create());
        server_fixture fixture(*loop);
        fixture.m_on_request = echo;
        auto caller =
            std::make_unique<raw_connection>(*loop, fixture.m_server->port());
        if (is_kept)
        {
            caller->send(get("/first"));
            REQUIRE(run_until(
                *loop,
                [&] { return contains(caller->m_received, "</first>"); }));
        }
        auto const requests = fixture.m_requests.size();
        caller->send_at_once(get("/left"));
        caller.reset();
        auto const& counters = fixture.m_server->counters();
        CHECK(run_until(*loop,
                        [&]
                        {
                            return counters.m_connections_accepted == 1 &&
                                   counters.m_connections_open == 0;
                        }));
        CHECK(fixture.m_requests.size() == requests);
        CHECK(counters.m_requests_abandoned == 1);
    }
}

// Guards against an incomplete answer that looks complete to the caller.
TEST_CASE("an incomplete answer closes the connection")
{
    struct row
    {
        char const* m_case;
        std::function<void(std::shared_ptr<http_exchange>&)> m_act;
    };
    for (auto const& row :
         std::vector<row>{{"aborted",
                           [](auto& exchange)
                           {
                               exchange->start({200, {}}, std::nullopt);
                               exchange->write("part");
                               exchange->abort();
                           }},
                          {"dropped before the answer",
                           [](auto& exchange)
                           {
                               exchange.reset();
                           }},
                          {"dropped within the answer",
                           [](auto& exchange)
                           {
                               exchange->start({200, {}}, 100);
                               exchange->write("part");
                               exchange.reset();
                           }},
                          {"ended before its length",
                           [](auto& exchange)
                           {
                               exchange->start({200, {}}, 100);
                               exchange->write("part");
                               exchange->end();
                           }},
                          {"longer than its length", [](auto& exchange)
                           {
                               exchange->start({200, {}}, 3);
                               exchange->write("part");
                           }}})
    {
        CAPTURE(row.m_case);
        auto loop = take(event_loop::create());
        server_fixture fixture(*loop);
        raw_connection caller(*loop, fixture.m_server->port());
        caller.send(get());
        REQUIRE(
            run_until(*loop, [&] { return fixture.m_exchanges.size() == 1; }));
        row.m_act(fixture.m_exchanges[0]);
        fixture.m_exchanges.clear();
        CHECK(run_until(*loop, [&] { return caller.m_closed; }));
        CHECK(!contains(caller.m_received, "0\r\n\r\n"));
    }
}

// Guards against a body in an answer to HEAD or with status 204 or 304, which
// the caller would parse as the start of the next answer.
TEST_CASE("HEAD, 204 and 304 are answered without a body")
{
    struct row
    {
        char const* m_method;
        int m_status;
        bool m_is_streamed;
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
        CAPTURE(row.m_is_streamed);
        auto loop = take(event_loop::create());
        server_fixture fixture(*loop);
        fixture.m_on_request =
            [&](http_request const& request, auto const& exchange)
        {
            if (request.m_uri == "/next")
            {
                exchange->reply({200, {}}, "next");
                return;
            }
            if (!row.m_is_streamed)
            {
                exchange->reply({row.m_status, {}}, "body");
                return;
            }
            exchange->start({row.m_status, {}}, 4);
            exchange->write("body");
            exchange->end();
        };
        raw_connection caller(*loop, fixture.m_server->port());
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

// Guards against unbounded memory for an answer that the caller does not read,
// and against a stream that does not resume.
TEST_CASE("a streamed answer is written only as fast as the caller reads")
{
    auto loop = take(event_loop::create());
    server_fixture fixture(*loop);
    raw_connection caller(*loop, fixture.m_server->port());
    caller.send(get());
    REQUIRE(run_until(*loop, [&] { return fixture.m_exchanges.size() == 1; }));
    auto const& exchange = fixture.m_exchanges[0];
    std::size_t const total_bytes = std::size_t{32} << 20U;
    std::size_t const piece_bytes = std::size_t{64} << 10U;
    std::size_t written_bytes = 0;
    std::size_t max_buffered_bytes = 0;
    auto const write_piece = [&]
    {
        if (written_bytes == total_bytes)
        {
            exchange->end();
            return;
        }
        written_bytes += piece_bytes;
        exchange->write(std::string(piece_bytes, 'x'));
        max_buffered_bytes =
            std::max(max_buffered_bytes, exchange->buffered_bytes());
    };
    caller.set_reading(false);
    exchange->set_on_drained(write_piece);
    exchange->start({200, {}}, total_bytes);
    write_piece();
    // The socket buffers hold some megabytes, then writing stops.
    std::size_t before = 0;
    do
    {
        before = written_bytes;
        for (int i = 0; i < 100; ++i)
        {
            event_base_loop(loop->base(), EVLOOP_NONBLOCK);
        }
    } while (written_bytes != before);
    CHECK(written_bytes < total_bytes);
    caller.set_reading(true);
    REQUIRE(run_until(*loop,
                      [&] { return caller.m_received.size() > total_bytes; }));
    CHECK(max_buffered_bytes <= 2 * piece_bytes);
    CHECK(!exchange->is_open());
}

// Guards against handler headers that end the head early or change the framing.
TEST_CASE("headers of an answer cannot change its framing")
{
    auto loop = take(event_loop::create());
    server_fixture fixture(*loop);
    fixture.m_on_request = [](auto const&, auto const& exchange)
    {
        exchange->reply({200,
                         {{"X-Good", "1"},
                          {"X-Split", "a\r\nX-Injected: 1"},
                          {"X-Fold", "a\r\n b"},
                          {"Bad Name", "1"},
                          {"Content-Length", "1"},
                          {"Transfer-Encoding", "chunked"}}},
                        "whole");
    };
    raw_connection caller(*loop, fixture.m_server->port());
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

// Guards against an unlimited number of connections, and against a refusal
// above the limit without a result code.
TEST_CASE("connections above the limit are refused with a result code")
{
    auto loop = take(event_loop::create());
    server_fixture fixture(*loop, {.m_address = "", .m_max_connections = 2});
    raw_connection first(*loop, fixture.m_server->port());
    raw_connection second(*loop, fixture.m_server->port());
    first.send(get("/first"));
    second.send(get("/second"));
    REQUIRE(run_until(*loop, [&] { return fixture.m_requests.size() == 2; }));
    {
        raw_connection third(*loop, fixture.m_server->port());
        third.send(get());
        CHECK(run_until(*loop, [&] { return third.m_closed; }));
        CHECK(contains(third.m_received, "Hawthornspur-Code: 2018\r\n"));
    }
    for (std::size_t i = 0; i < 2; ++i)
    {
        echo(fixture.m_requests[i], fixture.m_exchanges[i]);
    }
    CHECK(run_until(*loop,
                    [&]
                    {
                        return contains(first.m_received, "</first>") &&
                               contains(second.m_received, "</second>");
                    }));
    CHECK(fixture.refused(result_code::too_many_connections) == 1);
    CHECK(run_until(
        *loop,
        [&] { return fixture.m_server->counters().m_connections_open == 2; }));
}

// Guards against refusals that are cut because too many are sent at once.
TEST_CASE("each of many refused callers gets its refusal")
{
    auto loop = take(event_loop::create());
    server_fixture fixture(*loop, {.m_address = "",
                                   .m_max_connections = 1,
                                   .m_max_refused_connections = 4});
    raw_connection busy(*loop, fixture.m_server->port());
    busy.send(get("/busy"));
    REQUIRE(run_until(*loop, [&] { return fixture.m_requests.size() == 1; }));
    std::deque<raw_connection> callers;
    for (int i = 0; i < 20; ++i)
    {
        callers.emplace_back(*loop, fixture.m_server->port());
        callers.back().send_at_once(get("/excess"));
    }
    for (auto const& caller : callers)
    {
        CHECK(run_until(*loop, [&] { return caller.m_closed; }));
        CHECK(contains(caller.m_received, "Hawthornspur-Code: 2018\r\n"));
    }
    CHECK(fixture.m_requests.size() == 1);
}

// Guards against a request that a target runs although its caller was told that
// it has not run.
TEST_CASE("a request that arrives with an excess connection is not passed on")
{
    auto loop = take(event_loop::create());
    server_fixture fixture(*loop, {.m_address = "", .m_max_connections = 2});
    raw_connection first(*loop, fixture.m_server->port());
    raw_connection second(*loop, fixture.m_server->port());
    first.send(get("/first"));
    second.send(get("/second"));
    REQUIRE(run_until(*loop, [&] { return fixture.m_requests.size() == 2; }));
    raw_connection third(*loop, fixture.m_server->port());
    third.send_at_once(get("/excess"));
    CHECK(run_until(*loop, [&] { return third.m_closed; }));
    CHECK(contains(third.m_received, "Hawthornspur-Code: 2018\r\n"));
    CHECK(count(third.m_received, "HTTP/1.1 ") == 1);
    CHECK(fixture.m_requests.size() == 2);
    CHECK(fixture.m_server->counters().m_refused_in_flight == 0);
}

// Guards against connections above the limit that are served and refused later:
// the decision was put off while connections arrived.
TEST_CASE("excess connections are refused while further ones arrive")
{
    auto loop = take(event_loop::create());
    server_fixture fixture(*loop, {.m_address = "", .m_max_connections = 1});
    std::deque<raw_connection> callers;
    // Posted, so that the listener has a connection in the next iteration.
    busy_loop const busy(*loop,
                         [&]
                         {
                             loop->post(
                                 [&]
                                 {
                                     callers.emplace_back(
                                         *loop, fixture.m_server->port());
                                     callers.back().send_at_once(get("/busy"));
                                 });
                         });
    busy.run_iterations(60);
    CHECK(fixture.refused(result_code::too_many_connections) >= 50);
    CHECK(fixture.m_requests.size() == 1);
}

// Guards against connections that stay counted for ever, and so use up the
// limit, because their callers closed them at once.
TEST_CASE("a connection that closes as soon as it is open is not counted")
{
    for (bool const is_reset : {false, true})
    {
        CAPTURE(is_reset);
        auto loop = take(event_loop::create());
        server_fixture fixture(*loop);
        for (int i = 0; i < 20; ++i)
        {
            raw_connection caller(*loop, fixture.m_server->port());
            if (is_reset)
            {
                caller.close_with_reset();
            }
        }
        auto const& counters = fixture.m_server->counters();
        REQUIRE(run_until(*loop,
                          [&] { return counters.m_connections_accepted > 0; }));
        raw_connection next(*loop, fixture.m_server->port());
        next.send(get("/next"));
        REQUIRE(
            run_until(*loop, [&] { return fixture.m_requests.size() == 1; }));
        CHECK(counters.m_connections_open == 1);
    }
}

// Guards against callers that are refused although others keep connections that
// they do not use.
TEST_CASE("at the limit idle connections are closed before callers are refused")
{
    auto loop = take(event_loop::create());
    server_fixture fixture(*loop, {.m_address = "", .m_max_connections = 3});
    auto const& counters = fixture.m_server->counters();
    std::deque<raw_connection> idle;
    for (std::uint64_t i = 1; i <= 3; ++i)
    {
        idle.emplace_back(*loop, fixture.m_server->port());
        REQUIRE(
            run_until(*loop, [&] { return counters.m_connections_open == i; }));
    }
    auto const start = event_loop::now();
    run_until(
        *loop, [&]
        { return event_loop::now() - start > std::chrono::milliseconds(250); });
    fixture.m_on_request = echo;
    raw_connection next(*loop, fixture.m_server->port());
    next.send(get("/next"));
    CHECK(
        run_until(*loop, [&] { return contains(next.m_received, "</next>"); }));
    CHECK(idle.front().m_closed);
    CHECK(!idle.back().m_closed);
    CHECK(fixture.refused(result_code::too_many_connections) == 0);
}

// Guards against idle connections that are never closed.
TEST_CASE("an idle connection is closed between and within requests")
{
    for (auto const& bytes : std::vector<std::string>{
             "", "GET / HT", get("/1") + "GET / HT",
             "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nab"})
    {
        CAPTURE(bytes);
        auto loop = take(event_loop::create());
        server_fixture fixture(
            *loop,
            {.m_address = "", .m_idle_timeout = std::chrono::milliseconds(50)});
        fixture.m_on_request = echo;
        raw_connection caller(*loop, fixture.m_server->port());
        caller.send(bytes);
        CHECK(run_until(*loop, [&] { return caller.m_closed; }));
        CHECK(run_until(
            *loop, [&]
            { return fixture.m_server->counters().m_connections_open == 0; }));
        CHECK(fixture.m_server->counters().m_requests_incomplete ==
              (bytes.empty() ? 0 : 1));
    }
}

// Guards against callers that leave a host no descriptor by keeping connections
// that they do not use.
TEST_CASE("above the idle total the longest idle connections are closed")
{
    auto loop = take(event_loop::create());
    server_fixture fixture(*loop);
    auto& server = *fixture.m_server;
    std::deque<raw_connection> callers;
    auto const open_connection = [&]
    {
        auto const accepted = server.counters().m_connections_accepted + 1;
        callers.emplace_back(*loop, server.port());
        REQUIRE(run_until(
            *loop, [&]
            { return server.counters().m_connections_accepted == accepted; }));
    };
    for (int i = 0; i < 4; ++i)
    {
        open_connection();
    }
    // The first one waits for its answer, the second one has begun a request
    // and the third one was used last.
    callers[0].send(get("/busy"));
    REQUIRE(run_until(*loop, [&] { return fixture.m_exchanges.size() == 1; }));
    callers[1].send("GET /beg");
    callers[2].send(get("/used"));
    REQUIRE(run_until(*loop, [&] { return fixture.m_exchanges.size() == 2; }));
    echo(fixture.m_requests[1], fixture.m_exchanges[1]);
    REQUIRE(run_until(*loop, [&]
                      { return contains(callers[2].m_received, "</used>"); }));
    server.close_idle_above(4);
    for (std::size_t const closed : {3, 2})
    {
        open_connection();
        CHECK(run_until(*loop, [&] { return callers[closed].m_closed; }));
        CHECK(server.counters().m_connections_open == 4);
    }
    CHECK(!callers[0].m_closed);
    CHECK(!callers[1].m_closed);
    CHECK(!callers[4].m_closed);
    CHECK(server.counters().m_idle_closed == 2);
    fixture.m_on_request = echo;
    callers[1].send("in HTTP/1.1\r\nHost: a\r\n\r\n");
    echo(fixture.m_requests[0], fixture.m_exchanges[0]);
    CHECK(run_until(*loop,
                    [&]
                    {
                        return contains(callers[0].m_received, "</busy>") &&
                               contains(callers[1].m_received, "</begin>");
                    }));
    // A lower total closes what is idle, and nothing else.
    server.close_idle_above(1);
    CHECK(run_until(*loop,
                    [&] { return server.counters().m_connections_open <= 1; }));
}

// Guards against connections that stay open for a minute although callers do
// not use them again.
TEST_CASE("a shorter idle timeout applies to connections that are open")
{
    auto loop = take(event_loop::create());
    server_fixture fixture(*loop);
    fixture.m_on_request = echo;
    raw_connection used(*loop, fixture.m_server->port());
    raw_connection unused(*loop, fixture.m_server->port());
    used.send(get("/used"));
    REQUIRE(
        run_until(*loop, [&] { return contains(used.m_received, "</used>"); }));
    auto const start = event_loop::now();
    fixture.m_server->set_idle_timeout(std::chrono::milliseconds(100));
    CHECK(run_until(*loop, [&] { return used.m_closed && unused.m_closed; }));
    CHECK(event_loop::now() - start >= std::chrono::milliseconds(40));
    CHECK(fixture.m_server->counters().m_idle_closed == 2);
}

// Guards against an event loop that spins on a listener without a descriptor,
// and against one that never accepts again.
TEST_CASE("a server without descriptors serves what it has and accepts later")
{
    auto loop = take(event_loop::create());
    server_fixture fixture(*loop);
    fixture.m_on_request = echo;
    raw_connection first(*loop, fixture.m_server->port());
    REQUIRE(run_until(
        *loop,
        [&] { return fixture.m_server->counters().m_connections_open == 1; }));
    // Takes its descriptor before the limit.
    raw_connection second(*loop, fixture.m_server->port());
    {
        descriptor_limit const limit(0);
        first.send(get("/first"));
        CHECK(run_until(*loop, [&]
                        { return contains(first.m_received, "</first>"); }));
        auto const start = event_loop::now();
        run_until(*loop,
                  [&] {
                      return event_loop::now() - start >
                             std::chrono::milliseconds(400);
                  });
        CHECK(fixture.m_server->counters().m_accepts_failed >= 1);
        CHECK(fixture.m_server->counters().m_accepts_failed <= 20);
    }
    second.send(get("/second"));
    CHECK(run_until(*loop,
                    [&] { return contains(second.m_received, "</second>"); }));
}

// Guards against a missing "100 Continue", which some callers await before they
// send the body, on a new and on a reused connection.
TEST_CASE("Expect: 100-continue is answered with 100 Continue")
{
    auto loop = take(event_loop::create());
    server_fixture fixture(*loop);
    fixture.m_on_request = echo;
    raw_connection caller(*loop, fixture.m_server->port());
    for (std::size_t i = 1; i <= 2; ++i)
    {
        caller.m_received.clear();
        caller.send("POST /x HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\n"
                    "Content-Length: 4\r\n\r\n");
        REQUIRE(run_until(*loop, [&] { return !caller.m_received.empty(); }));
        CHECK(caller.m_received == "HTTP/1.1 100 Continue\r\n\r\n");
        CHECK(fixture.m_requests.size() == i - 1);
        caller.send("body");
        REQUIRE(run_until(*loop,
                          [&] { return contains(caller.m_received, "</x>"); }));
        CHECK(fixture.m_requests.back().m_body == "body");
    }
}

// Guards against callers that occupy a connection by sending one byte at a
// time.
TEST_CASE("a request that exceeds the request timeout is refused")
{
    auto loop = take(event_loop::create());
    server_fixture fixture(
        *loop,
        {.m_address = "", .m_request_timeout = std::chrono::milliseconds(20)});
    raw_connection caller(*loop, fixture.m_server->port());
    caller.send("GET / HTTP/1.1\r\nX: ");
    REQUIRE(run_until(*loop,
                      [&]
                      {
                          caller.send("x");
                          return caller.m_closed;
                      }));
    CHECK(contains(caller.m_received, "Hawthornspur-Code: 1016\r\n"));
    CHECK(fixture.refused(result_code::request_timeout) == 1);
}

// Guards against callers that give up because a slow request was answered with
// 400, which forbids a retry, although it has not run.
TEST_CASE("a request that arrives too slowly is refused with 408")
{
    auto loop = take(event_loop::create());
    server_fixture fixture(
        *loop,
        {.m_address = "", .m_request_timeout = std::chrono::milliseconds(20)});
    raw_connection caller(*loop, fixture.m_server->port());
    caller.send("GET / HTTP/1.1\r\nX: ");
    REQUIRE(run_until(*loop,
                      [&]
                      {
                          caller.send("x");
                          return caller.m_closed;
                      }));
    CHECK(contains(caller.m_received, "HTTP/1.1 408 "));
}

// Guards against a crash when a server is destroyed with requests in every
// phase.
TEST_CASE("a server can be destroyed with requests in flight")
{
    auto loop = take(event_loop::create());
    auto fixture = std::make_unique<server_fixture>(*loop);
    std::vector<std::unique_ptr<raw_connection>> callers;
    for (auto const& bytes :
         std::vector<std::string>{"", "GET / HT", get("/1"), get("/2"),
                                  get("/3") + get("/4"), "BAD\n"})
    {
        callers.push_back(
            std::make_unique<raw_connection>(*loop, fixture->m_server->port()));
        callers.back()->send(bytes);
    }
    REQUIRE(run_until(*loop, [&] { return fixture->m_exchanges.size() == 3; }));
    fixture->m_exchanges[0]->start({200, {}}, std::nullopt);
    fixture->m_exchanges[0]->write("x");
    auto const exchange = fixture->m_exchanges[0];
    int closed = 0;
    exchange->set_on_closed([&] { ++closed; });
    callers.push_back(
        std::make_unique<raw_connection>(*loop, fixture->m_server->port()));
    fixture->m_server.reset();
    CHECK(closed == 1);
    CHECK(!exchange->is_open());
    exchange->write("late");
}

} // namespace hawthornspur::net
