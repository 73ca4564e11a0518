#include "serve/refusal.hpp"

#include "serve/accept.hpp"

#include <nlohmann/json.hpp>

namespace hawthornspur::serve
{

std::pair<net::http_response_head, std::string>
make_refusal(result_code code, std::string const& detail)
{
    auto const& row = info(code);
    auto const number = static_cast<unsigned>(code);
    nlohmann::json body{{"code", number},
                        {"name", row.m_name},
                        {"outcome", to_string(row.m_execution)},
                        {"message", row.m_meaning}};
    if (!detail.empty())
    {
        body["detail"] = detail;
    }
    net::http_response_head head;
    head.m_status = row.m_http_status == 0 ? 500 : row.m_http_status;
    head.m_headers = {{std::string(headers::code), std::to_string(number)},
                      {std::string(headers::outcome),
                       std::string(to_string(row.m_execution))},
                      {"Content-Type", "application/json"}};
    if (row.m_execution == execution::not_run && row.m_http_status == 503)
    {
        head.m_headers.emplace_back("Retry-After", "1");
    }
    // A detail may quote bytes of the request that are not valid UTF-8.
    return {
        std::move(head),
        body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace)};
}

} // namespace hawthornspur::serve
