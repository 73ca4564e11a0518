#include "net/http_message.hpp"

#include "base/text.hpp"

#include <algorithm>
#include <array>

namespace hawthornspur::net
{

namespace
{

bool has_name(http_header const& header, std::string_view name)
{
    return equals_ignore_case(header.first, name);
}

} // namespace

std::optional<std::string_view> find_header(http_headers const& headers,
                                            std::string_view name)
{
    auto const found = std::find_if(headers.begin(), headers.end(),
                                    [&](http_header const& header)
                                    { return has_name(header, name); });
    if (found == headers.end())
    {
        return std::nullopt;
    }
    return found->second;
}

void remove_header(http_headers& headers, std::string_view name)
{
    std::erase_if(headers, [&](http_header const& header)
                  { return has_name(header, name); });
}

void set_header(http_headers& headers, std::string_view name, std::string value)
{
    remove_header(headers, name);
    headers.emplace_back(std::string(name), std::move(value));
}

std::string_view take_list_item(std::string_view& list) noexcept
{
    auto const comma = std::min(list.find(','), list.size());
    auto const item = trim(list.substr(0, comma));
    list.remove_prefix(std::min(comma + 1, list.size()));
    return item;
}

void remove_hop_by_hop_headers(http_headers& headers)
{
    std::vector<std::string> connection_options;
    for (auto const& header : headers)
    {
        if (has_name(header, "Connection"))
        {
            std::string_view remaining = header.second;
            while (!remaining.empty())
            {
                connection_options.emplace_back(take_list_item(remaining));
            }
        }
    }
    for (auto const& name : connection_options)
    {
        remove_header(headers, name);
    }
    static constexpr auto names = std::to_array<std::string_view>(
        {"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate",
         "Proxy-Authorization", "TE", "Trailer", "Transfer-Encoding",
         "Upgrade"});
    for (auto const name : names)
    {
        remove_header(headers, name);
    }
}

} // namespace hawthornspur::net
