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

std::string matched(std::string_view host, std::string_view uri)
{
    auto const document = make_document();
    auto const* route = match_route(document, host, uri);
    return route == nullptr ? "" : route->m_name;
}

} // namespace

// Guards against a request that reaches the service of a shorter prefix.
TEST_CASE("the longest prefix of the host name applies")
{
    CHECK(matched("map.example", "/tiles/7?z=1") == "tiles");
    CHECK(matched("map.example:8080", "/tiles/7") == "tiles");
    CHECK(matched("map.example", "/tiles") == "all");
    CHECK(matched("map.example", "/?next=/tiles/") == "all");
    CHECK(matched("shop.example", "/tiles/7") == "other");
    CHECK(matched("shop.example", "/").empty());
    CHECK(matched("", "/tiles/7").empty());
}

// Guards against parts that get their share only over long spans.
TEST_CASE("parts get their weight in every span of ten requests")
{
    auto const document = make_document();
    part_selector choice;
    for (int span = 0; span < 20; ++span)
    {
        std::map<std::string, int> counts;
        for (int i = 0; i < 10; ++i)
        {
            ++counts[choose_part(choice, document.m_routes[1])];
        }
        CHECK(counts["tiles-a"] == 9);
        CHECK(counts["tiles-b"] == 1);
    }
}

// Guards against credit that outlives the weights it was earned under.
TEST_CASE("a route with other weights starts afresh")
{
    auto document = make_document();
    part_selector choice;
    choose_part(choice, document.m_routes[1]);
    document.m_routes[1].m_parts = {{"tiles-a", 1}, {"tiles-c", 1}};
    std::map<std::string, int> counts;
    for (int i = 0; i < 10; ++i)
    {
        ++counts[choose_part(choice, document.m_routes[1])];
    }
    CHECK(counts["tiles-a"] == 5);
    CHECK(counts["tiles-c"] == 5);
    document.m_routes.pop_back();
    document.m_routes.pop_back();
    remove_missing_routes(choice, document);
    CHECK(choice.m_routes.empty());
}

} // namespace hawthornspur::core
