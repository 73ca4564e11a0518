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

/// Returns the route with the longest path prefix among those that match the
/// host name and the path, or null. A port in `host` and a query in `uri` are
/// ignored.
route_config const* match_route(configuration const& document,
                                std::string_view host, std::string_view uri);

/// Distributes the requests of each route over its parts by smooth weighted
/// round-robin, which keeps to the weights over short spans too. The state of a
/// route is reset when its parts change.
struct part_selector
{
    struct part_credit
    {
        std::string m_service;
        double m_weight = 0;
        double m_credit = 0;
    };
    /// Key: name of the route.
    std::map<std::string, std::vector<part_credit>> m_routes;
};

/// Returns the service for the route's next request. The route has at least one
/// part. The result refers to the route or the selector.
std::string const& choose_part(part_selector& selector,
                               route_config const& route);

/// Removes the state of routes that the document does not have.
void remove_missing_routes(part_selector& selector,
                           configuration const& document);

} // namespace hawthornspur::core

#endif
