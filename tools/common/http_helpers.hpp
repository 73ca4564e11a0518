#ifndef HAWTHORNSPUR_TOOLS_COMMON_HTTP_HELPERS_HPP
#define HAWTHORNSPUR_TOOLS_COMMON_HTTP_HELPERS_HPP

#include "base/result.hpp"
#include "base/text.hpp"
#include "net/http_server.hpp"

#include <nlohmann/json_fwd.hpp>

#include <map>
#include <string>
#include <string_view>

namespace hawthornspur::tools
{

/// Percent-decoded path and query parameters of a request.
struct request_target
{
    std::string m_path;
    std::map<std::string, std::string> m_query;
};

request_target parse_target(std::string const& uri);

/// Returns a numeric query parameter, or the fallback if it is absent or not a
/// number.
template <class T>
T query_number(request_target const& target, std::string const& name,
               T fallback)
{
    auto const found = target.m_query.find(name);
    return found == target.m_query.end()
               ? fallback
               : parse_number<T>(found->second).value_or(fallback);
}

/// Returns the path without the prefix, or nullopt if it does not start with
/// it.
std::optional<std::string> strip_prefix(std::string const& path,
                                        std::string_view prefix);

void reply_json(net::http_exchange& exchange, int status,
                nlohmann::json const& body);

/// Replies with status 400 and the code and message of the error as JSON.
void reply_error(net::http_exchange& exchange, error const& problem);

} // namespace hawthornspur::tools

#endif
