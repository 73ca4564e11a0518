#include "cli/http_query.hpp"

#include "net/event_loop.hpp"

#include <utility>

namespace hawthornspur::cli
{

result<http_answer> query(net::endpoint const& server,
                          net::http_request const& request)
{
    auto made_loop = net::event_loop::create();
    if (!has_value(made_loop))
    {
        return failure(made_loop);
    }
    auto const loop = take(std::move(made_loop));
    auto made_client = net::http_client::create(*loop);
    if (!has_value(made_client))
    {
        return failure(made_client);
    }
    auto const client = take(std::move(made_client));
    http_answer answer;
    auto outcome = net::exchange_outcome::closed;
    auto on_head = [&](net::http_response_head const& head,
                       std::optional<std::uint64_t> /*length*/)
    {
        answer.m_status = head.m_status;
    };
    auto on_end = [&](net::exchange_outcome ended)
    {
        outcome = ended;
        loop->stop();
    };
    client->send(
        server, request, {},
        {.m_on_head = on_head,
         .m_on_data = [&](std::string_view data) { answer.m_body += data; },
         .m_on_end = on_end});
    loop->run();
    if (outcome != net::exchange_outcome::complete)
    {
        return make_error(result_code::address_unavailable,
                          "no answer from " + server.m_address + ":" +
                              std::to_string(server.m_port));
    }
    return answer;
}

} // namespace hawthornspur::cli
