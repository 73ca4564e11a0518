#include "net/event_loop.hpp"
#include "net/http_client.hpp"
#include "net/http_server.hpp"

#include <doctest/doctest.h>

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

} // namespace hawthornspur::net
