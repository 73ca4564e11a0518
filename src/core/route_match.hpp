#ifndef HAWTHORNSPUR_CORE_ROUTE_MATCH_HPP
#define HAWTHORNSPUR_CORE_ROUTE_MATCH_HPP

#include "core/configuration.hpp"

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace hawthornspur::core
{

/// The route of this host name with the longest prefix that begins the path,
/// or null. A port in the host name and a query in the path are ignored.
route_config const* match_route(configuration const& document,
                                std::string_view host, std::string_view uri);

/// Distributes the requests of each route over its parts by smooth weighted
/// round-robin, so that the shares hold over short spans too. It lives as long
/// as the host; a route with other parts starts afresh.
struct part_selector
{
    struct part_credit
    {
        std::string m_service;
        double m_weight = 0;
        double m_credit = 0;
    };
    /// By the name of the route.
    std::map<std::string, std::vector<part_credit>> m_routes;
};

/// The service that takes the route's next request. The route has at least one
/// part.
std::string const& choose_part(part_selector& choice,
                               route_config const& route);

/// Forgets routes that the document does not have.
void remove_missing_routes(part_selector& choice,
                           configuration const& document);

} // namespace hawthornspur::core

#endif
