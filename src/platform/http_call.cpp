#include "platform/http_call.hpp"

#include <memory>
#include <utility>

namespace hawthornspur::platform
{

namespace
{

std::string percent_encode(unsigned char byte)
{
    constexpr std::string_view digits = "0123456789ABCDEF";
    return {'%', digits[byte >> 4U], digits[byte & 0xFU]};
}

} // namespace

void send_call(net::http_client& client, net::endpoint const& server,
               http_call call, callback<http_answer> done)
{
    net::http_request request{
        std::move(call.m_method), std::move(call.m_uri), {}, {}};
    if (!call.m_body.empty())
    {
        net::set_header(request.m_headers, "Content-Type", "application/json");
        request.m_body = std::move(call.m_body);
    }
    net::exchange_options options;
    options.m_timeout = call.m_timeout;
    options.m_max_answer_bytes = call.m_max_answer_bytes;
    auto answer = std::make_shared<http_answer>();
    net::exchange_handlers handlers;
    handlers.m_on_head =
        [answer](net::http_response_head head, std::optional<std::uint64_t>)
    {
        answer->m_status = head.m_status;
        answer->m_headers = std::move(head.m_headers);
    };
    handlers.m_on_data = [answer](std::string_view data)
    {
        answer->m_body += data;
    };
    handlers.m_on_end =
        [answer, done = std::move(done)](net::exchange_outcome outcome)
    {
        if (outcome == net::exchange_outcome::complete)
        {
            done(std::move(*answer));
            return;
        }
        done(make_error(outcome == net::exchange_outcome::too_large ||
                                outcome == net::exchange_outcome::malformed
                            ? result_code::store_answer_malformed
                            : result_code::store_unavailable,
                        "the platform sent no complete answer"));
    };
    client.send(server, request, options, std::move(handlers));
}

std::string escape_key(std::string_view text)
{
    std::string out;
    for (auto const c : text)
    {
        auto const is_plain = (c >= 'a' && c <= 'z') ||
                              (c >= 'A' && c <= 'Z') ||
                              (c >= '0' && c <= '9') || c == '-' || c == '_' ||
                              c == '.' || c == '~' || c == '/';
        out += is_plain ? std::string(1, c)
                        : percent_encode(static_cast<unsigned char>(c));
    }
    return out;
}

} // namespace hawthornspur::platform
