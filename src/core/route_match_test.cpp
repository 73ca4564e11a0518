#include "core/route_match.hpp"

#include <doctest/doctest.h>

#include <map>
#include <string>

namespace hawthornspur::core
{

namespace
{

configuration make_document()
{
    configuration document;
    document.m_routes = {
        {"all", "map.example", "/", {{"map", 1}}},
        {"tiles", "map.example", "/tiles/", {{"tiles-a", 9}, {"tiles-b", 1}}},
        {"other", "shop.example", "/tiles/", {{"shop", 1}}}};
    return document;
}

std::string matched_route(std::string_view host, std::string_view uri)
{
    auto const document = make_document();
    auto const* route = match_route(document, host, uri);
    return route == nullptr ? "" : route->m_name;
}

} // namespace

// Guards against requests that are sent to the service of a shorter prefix.
TEST_CASE("the longest matching path prefix of the host name applies")
{
    CHECK(matched_route("map.example", "/tiles/7?z=1") == "tiles");
    CHECK(matched_route("map.example:8080", "/tiles/7") == "tiles");
    CHECK(matched_route("map.example", "/tiles") == "all");
    CHECK(matched_route("map.example", "/?next=/tiles/") == "all");
    CHECK(matched_route("shop.example", "/tiles/7") == "other");
    CHECK(matched_route("shop.example", "/").empty());
    CHECK(matched_route("", "/tiles/7").empty());
}

// Guards against parts that get their share only over long spans.
TEST_CASE("each span of ten requests is divided by the weights of the parts")
{
    auto const document = make_document();
    part_selector selector;
    for (int span = 0; span < 20; ++span)
    {
        std::map<std::string, int> counts;
        for (int i = 0; i < 10; ++i)
        {
            ++counts[choose_part(selector, document.m_routes[1])];
        }
        CHECK(counts["tiles-a"] == 9);
        CHECK(counts["tiles-b"] == 1);
    }
}

// Guards against credit that was accumulated with former weights.
TEST_CASE("changed parts reset the state of a route")
{
    auto document = make_document();
    part_selector selector;
    choose_part(selector, document.m_routes[1]);
    document.m_routes[1].m_parts = {{"tiles-a", 1}, {"tiles-c", 1}};
    std::map<std::string, int> counts;
    for (int i = 0; i < 10; ++i)
    {
        ++counts[choose_part(selector, document.m_routes[1])];
    }
    CHECK(counts["tiles-a"] == 5);
    CHECK(counts["tiles-c"] == 5);
    document.m_routes.pop_back();
    document.m_routes.pop_back();
    remove_missing_routes(selector, document);
    CHECK(selector.m_routes.empty());
}

} // namespace hawthornspur::core
