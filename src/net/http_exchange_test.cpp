#include "net/event_loop.hpp"
#include "net/http_client.hpp"
#include "net/http_server.hpp"

#include <doctest/doctest.h>
#include <malloc.h>

#include <memory>
#include <string>

namespace hawthornspur::net
{

// Guards against answers that arrive without their status, headers or body.
TEST_CASE("a request reaches the server and the client gets the whole answer")
{
    auto loop = take(event_loop::create());
    http_request seen;
    auto server = take(http_server::create(
        *loop, {.m_address = "127.0.0.1"},
        [&](http_request request, std::shared_ptr<http_exchange> exchange)
        {
            seen = std::move(request);
            exchange->reply({201, {{"X-Test", "yes"}}}, "answer");
        }));
    auto client = take(http_client::create(*loop));
    http_response_head head;
    std::string body;
    auto outcome = exchange_outcome::silent;
    client->send({"127.0.0.1", server->port()},
                 {"POST", "/path?q=1", {{"Host", "map"}}, "question"}, {},
                 {.m_on_head = [&](http_response_head received, auto)
                  { head = std::move(received); },
                  .m_on_data = [&](std::string_view data) { body += data; },
                  .m_on_end =
                      [&](exchange_outcome reported)
                  {
                      outcome = reported;
                      loop->stop();
                  }});
    loop->run();
    CHECK(outcome == exchange_outcome::complete);
    CHECK(seen.m_method == "POST");
    CHECK(seen.m_uri == "/path?q=1");
    CHECK(seen.m_body == "question");
    CHECK(head.m_status == 201);
    CHECK(find_header(head.m_headers, "x-test") == "yes");
    CHECK(body == "answer");
}

// Guards against an answer in tiny parts that takes about a kilobyte of memory
// for each byte that its caller has not read, as in review/8.
TEST_CASE("parts of an answer that wait take little more than their bytes")
{
    constexpr std::size_t parts = 100'000;
    auto loop = take(event_loop::create());
    std::shared_ptr<http_exchange> kept;
    auto server = take(http_server::create(
        *loop, {.m_address = "127.0.0.1"},
        [&](http_request const&, std::shared_ptr<http_exchange> exchange)
        {
            kept = std::move(exchange);
            loop->stop();
        }));
    auto client = take(http_client::create(*loop));
    std::string body;
    auto outcome = exchange_outcome::silent;
    client->send({"127.0.0.1", server->port()}, {"GET", "/", {}, {}}, {},
                 {.m_on_head = {},
                  .m_on_data = [&](std::string_view data) { body += data; },
                  .m_on_end =
                      [&](exchange_outcome reported)
                  {
                      outcome = reported;
                      loop->stop();
                  }});
    loop->run();
    REQUIRE(kept != nullptr);
    kept->start({200, {{"X-Long", std::string(8000, 'h')}}}, std::nullopt);
    std::string expected;
    auto const before = ::mallinfo2().uordblks;
    for (std::size_t i = 0; i < parts; ++i)
    {
        expected += static_cast<char>('a' + i % 26);
        kept->write(expected.substr(i));
    }
    auto const used = ::mallinfo2().uordblks - before;
    CHECK(used < 20 * parts);
    CHECK(kept->buffered_bytes() > parts);
    bool is_drained = false;
    kept->set_on_drained(
        [&]
        {
            is_drained = true;
            loop->stop();
        });
    loop->run();
    CHECK(is_drained);
    CHECK(kept->buffered_bytes() == 0);
    kept->write("end");
    kept->end();
    loop->run();
    CHECK(outcome == exchange_outcome::complete);
    CHECK(body == expected + "end");
}

} // namespace hawthornspur::net
