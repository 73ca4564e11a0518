#include "core/route_match.hpp"

#include <algorithm>
#include <cassert>

namespace hawthornspur::core
{

namespace
{

std::string_view remove_port(std::string_view host)
{
    return host.substr(0, host.find(':'));
}

bool has_same_parts(std::vector<part_selector::part_credit> const& credits,
                    route_config const& route)
{
    return std::equal(
        credits.begin(), credits.end(), route.m_parts.begin(),
        route.m_parts.end(),
        [](part_selector::part_credit const& credit, route_part const& part)
        {
            return credit.m_service == part.m_service &&
                   credit.m_weight == part.m_weight;
        });
}

} // namespace

route_config const* match_route(configuration const& document,
                                std::string_view host, std::string_view uri)
{
    auto const name = remove_port(host);
    auto const path = uri.substr(0, uri.find('?'));
    route_config const* best = nullptr;
    for (auto const& route : document.m_routes)
    {
        bool const is_match = (route.m_host.empty() || route.m_host == name) &&
                              path.starts_with(route.m_path_prefix);
        if (is_match && (best == nullptr || route.m_path_prefix.size() >
                                                best->m_path_prefix.size()))
        {
            best = &route;
        }
    }
    return best;
}

std::string const& choose_part(part_selector& selector,
                               route_config const& route)
{
    assert(!route.m_parts.empty());
    if (route.m_parts.size() == 1)
    {
        return route.m_parts.front().m_service;
    }
    auto& credits = selector.m_routes[route.m_name];
    if (!has_same_parts(credits, route))
    {
        credits.clear();
        for (auto const& part : route.m_parts)
        {
            credits.push_back({part.m_service, part.m_weight, 0});
        }
    }
    double total = 0;
    for (auto& part : credits)
    {
        part.m_credit += part.m_weight;
        total += part.m_weight;
    }
    auto const chosen = std::max_element(credits.begin(), credits.end(),
                                         [](part_selector::part_credit const& a,
                                            part_selector::part_credit const& b)
                                         { return a.m_credit < b.m_credit; });
    chosen->m_credit -= total;
    return chosen->m_service;
}

void remove_missing_routes(part_selector& selector,
                           configuration const& document)
{
    std::erase_if(selector.m_routes,
                  [&](auto const& entry)
                  {
                      return std::none_of(
                          document.m_routes.begin(), document.m_routes.end(),
                          [&](route_config const& route)
                          { return route.m_name == entry.first; });
                  });
}

} // namespace hawthornspur::core
