#include "serve/target_signals.hpp"

#include <doctest/doctest.h>

#include <string>

namespace hawthornspur::serve
{

// Guards against errors that are taken for "not run": a target may fail after
// it has run the request.
TEST_CASE("only a declared status or a 503 with the header counts as not run")
{
    core::kind_config kind;
    kind.m_not_run_statuses = {429};
    struct response_case
    {
        int m_status;
        net::http_headers m_headers;
        bool m_is_not_run;
    };
    for (auto const& example :
         {response_case{503, {}, false},
          response_case{503, {{"Hawthornspur-Not-Run", "1"}}, true},
          response_case{503, {{"Hawthornspur-Not-Run", "0"}}, false},
          response_case{500, {{"Hawthornspur-Not-Run", "1"}}, false},
          response_case{429, {}, true}, response_case{200, {}, false}})
    {
        CHECK_MESSAGE(is_not_run({example.m_status, example.m_headers}, kind) ==
                          example.m_is_not_run,
                      example.m_status);
    }
}

// Guards against malformed load headers that would affect the target limits.
TEST_CASE("a malformed load header is ignored")
{
    auto const load = [](std::string text)
    {
        return read_load({200, {{"Hawthornspur-Load", std::move(text)}}});
    };
    REQUIRE(load("2/3").has_value());
    CHECK(load("2/3")->m_in_flight == 2);
    CHECK(load("2/3")->m_slots == 3);
    for (auto const* text :
         {"", "2", "2/", "/3", "-1/3", "2/0", "a/b", "2/3/4"})
    {
        CAPTURE(text);
        CHECK(!load(text).has_value());
    }
    CHECK(!read_load({200, {}}).has_value());
}

// Guards against a malformed rate limit that would stop or unleash requests.
TEST_CASE("a malformed rate limit is ignored")
{
    auto const read = [](std::string text)
    {
        return read_rate_limit({{"Limit", std::move(text)}}, "Limit");
    };
    CHECK(read("1.5") == 1.5);
    CHECK(read(" 0 ") == 0.0);
    for (auto const* text : {"", "-1", "nan", "inf", "1e999", "1.5 a second"})
    {
        CAPTURE(text);
        CHECK(!read(text));
    }
    CHECK(!read_rate_limit({}, "Limit"));
}

} // namespace hawthornspur::serve
