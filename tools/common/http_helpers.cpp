#include "common/http_helpers.hpp"

#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <nlohmann/json.hpp>

#include <cstdlib>
#include <memory>

namespace hawthornspur::tools
{

namespace
{

std::string decode(std::string const& text)
{
    std::size_t size = 0;
    std::unique_ptr<char, decltype(&std::free)> const decoded(
        evhttp_uridecode(text.c_str(), 0, &size), &std::free);
    return decoded ? std::string(decoded.get(), size) : std::string();
}

} // namespace

request_target parse_target(std::string const& uri)
{
    request_target target;
    auto const query_start = uri.find('?');
    target.m_path = decode(uri.substr(0, query_start));
    if (query_start == std::string::npos)
    {
        return target;
    }
    evkeyvalq pairs{};
    if (evhttp_parse_query_str(uri.c_str() + query_start + 1, &pairs) == 0)
    {
        for (auto* pair = pairs.tqh_first; pair != nullptr;
             pair = pair->next.tqe_next)
        {
            target.m_query.emplace(pair->key, pair->value);
        }
        evhttp_clear_headers(&pairs);
    }
    return target;
}

std::optional<std::string> strip_prefix(std::string const& path,
                                        std::string_view prefix)
{
    if (!path.starts_with(prefix))
    {
        return std::nullopt;
    }
    return path.substr(prefix.size());
}

void reply_json(net::http_exchange& exchange, int status,
                nlohmann::json const& body)
{
    // Stored values may contain bytes that are not valid UTF-8.
    auto const text =
        body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    exchange.reply({status, {{"Content-Type", "application/json"}}}, text);
}

void reply_error(net::http_exchange& exchange, error const& problem)
{
    reply_json(exchange, 400,
               {{"code", static_cast<unsigned>(problem.m_code)},
                {"message", problem.m_message}});
}

} // namespace hawthornspur::tools
