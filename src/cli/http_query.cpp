#include "cli/http_query.hpp"

#include "net/event_loop.hpp"

#include <utility>

namespace hawthornspur::cli
{

result<http_answer> query(net::endpoint const& server,
                          net::http_request const& request)
{
    auto loop_result = net::event_loop::create();
    if (!has_value(loop_result))
    {
        return failure(loop_result);
    }
    auto const loop = take(std::move(loop_result));
    auto client_result = net::http_client::create(*loop);
    if (!has_value(client_result))
    {
        return failure(client_result);
    }
    auto const client = take(std::move(client_result));
    http_answer answer;
    auto outcome = net::exchange_outcome::closed;
    auto on_head = [&](net::http_response_head const& head,
                       std::optional<std::uint64_t> /*length*/)
    {
        answer.m_status = head.m_status;
    };
    auto on_end = [&](net::exchange_outcome final_outcome)
    {
        outcome = final_outcome;
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
