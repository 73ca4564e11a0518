#include "serve/accept.hpp"

#include <doctest/doctest.h>

namespace hawthornspur::serve
{

namespace
{

result<accepted_request> accept_with(net::http_headers headers,
                                     std::string uri = "/x")
{
    return accept_request({"GET", std::move(uri), std::move(headers), "body"});
}

} // namespace

// Guards against headers that are ignored or parsed wrongly.
TEST_CASE("accept parses the Hawthornspur headers")
{
    auto const accepted = take(accept_with({{"Host", "map.example:80"},
                                            {"hawthornspur-zone", "mx-a"},
                                            {"Hawthornspur-Deadline-Ms", "250"},
                                            {"Hawthornspur-Key", "k"},
                                            {"Hawthornspur-Attempt", "3"},
                                            {"Hawthornspur-Depth", "4"}}));
    CHECK(accepted.m_service == "map");
    CHECK(accepted.m_zone == "mx-a");
    CHECK(accepted.m_time_left ==
          core::duration(std::chrono::milliseconds(250)));
    CHECK(accepted.m_once_key == "k");
    CHECK(accepted.m_earlier_attempts == 2);
    CHECK(accepted.m_depth == 4);
    auto const with_service = take(
        accept_with({{"Host", "other"}, {"Hawthornspur-Service", "bookings"}}));
    CHECK(with_service.m_service == "bookings");
}

// Guards against malformed values that are taken for valid ones.
TEST_CASE("accept refuses malformed header values with a result code")
{
    struct header_case
    {
        char const* m_name;
        char const* m_value;
        result_code m_code;
    };
    for (auto const& malformed :
         {header_case{"Hawthornspur-Deadline-Ms", "0",
                      result_code::deadline_invalid},
          header_case{"Hawthornspur-Deadline-Ms", "-5",
                      result_code::deadline_invalid},
          header_case{"Hawthornspur-Deadline-Ms", "1.5",
                      result_code::deadline_invalid},
          header_case{"Hawthornspur-Deadline-Ms", "",
                      result_code::deadline_invalid},
          header_case{"Hawthornspur-Deadline-Ms", "99999999999",
                      result_code::deadline_invalid},
          header_case{"Hawthornspur-Attempt", "x",
                      result_code::malformed_request},
          header_case{"Hawthornspur-Depth", "70000",
                      result_code::malformed_request}})
    {
        auto const accepted =
            accept_with({{malformed.m_name, malformed.m_value}});
        REQUIRE_MESSAGE(!has_value(accepted), malformed.m_name);
        CHECK_MESSAGE(failure(accepted).m_code == malformed.m_code,
                      malformed.m_name);
    }
    auto const absolute = accept_with({}, "http://elsewhere/x");
    REQUIRE(!has_value(absolute));
    CHECK(failure(absolute).m_code == result_code::malformed_request);
}

// Guards against hop-by-hop headers that reach a target, where they would
// change how the request is framed or answered.
TEST_CASE("accept removes hop-by-hop headers and those listed in Connection")
{
    auto const accepted = take(accept_with({{"Connection", "close, X-Private"},
                                            {"X-Private", "1"},
                                            {"Transfer-Encoding", "chunked"},
                                            {"Keep-Alive", "5"},
                                            {"Upgrade", "h2c"},
                                            {"Content-Length", "4"},
                                            {"X-Kept", "yes"}}));
    auto const& list = accepted.m_request.m_headers;
    REQUIRE(list.size() == 1);
    CHECK(list[0].first == "X-Kept");
}

} // namespace hawthornspur::serve
