#ifndef HAWTHORNSPUR_TOOLS_COMMON_TEST_CLIENT_HPP
#define HAWTHORNSPUR_TOOLS_COMMON_TEST_CLIENT_HPP

#include "net/event_loop.hpp"
#include "net/http_client.hpp"

#include <cstdint>
#include <memory>
#include <string>

namespace hawthornspur::tools
{

/// Answer to a test request and the outcome of its exchange.
struct test_answer
{
    bool m_done = false;
    net::exchange_outcome m_outcome = net::exchange_outcome::silent;
    net::http_response_head m_head;
    std::string m_body;
};

/// HTTP client for tests that runs the event loop until an answer is complete.
struct test_client
{
    net::event_loop& m_loop;
    std::uint16_t m_port = 0;
    std::unique_ptr<net::http_client> m_client =
        take(net::http_client::create(m_loop));

    /// Sends without running the loop; the answer is filled in as the loop
    /// runs.
    std::shared_ptr<test_answer>
    start(std::string method, std::string uri, std::string body = {},
          net::http_headers headers = {},
          core::duration timeout = std::chrono::seconds(20))
    {
        auto answer = std::make_shared<test_answer>();
        net::set_header(headers, "Host", "127.0.0.1");
        net::exchange_options options;
        options.m_timeout = timeout;
        m_client->send(
            {"127.0.0.1", m_port},
            {std::move(method), std::move(uri), std::move(headers),
             std::move(body)},
            options,
            {.m_on_head = [answer](net::http_response_head head, auto)
             { answer->m_head = std::move(head); },
             .m_on_data = [answer](std::string_view data)
             { answer->m_body += data; },
             .m_on_end =
                 [this, answer](net::exchange_outcome outcome)
             {
                 answer->m_outcome = outcome;
                 answer->m_done = true;
                 m_loop.stop();
             }});
        return answer;
    }

    test_answer wait(std::shared_ptr<test_answer> const& answer)
    {
        while (!answer->m_done)
        {
            m_loop.run();
        }
        return *answer;
    }

    test_answer send(std::string method, std::string uri, std::string body = {},
                     net::http_headers headers = {},
                     core::duration timeout = std::chrono::seconds(20))
    {
        return wait(start(std::move(method), std::move(uri), std::move(body),
                          std::move(headers), timeout));
    }
};

} // namespace hawthornspur::tools

#endif
