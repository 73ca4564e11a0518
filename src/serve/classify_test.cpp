#include "serve/classify.hpp"

#include <doctest/doctest.h>

namespace hawthornspur::serve
{

namespace
{

using std::chrono::milliseconds;

std::shared_ptr<core::configuration const> make_configuration()
{
    core::configuration document;
    core::service_config service;
    service.m_name = "bookings";
    service.m_max_body_bytes = 10;
    core::kind_config read;
    read.m_name = "read";
    read.m_method = "GET";
    read.m_path_prefix = "/squares";
    read.m_execution = core::execution_rule::idempotent;
    read.m_deadline = milliseconds(500);
    core::kind_config claim;
    claim.m_name = "claim";
    claim.m_method = "POST";
    claim.m_path_prefix = "/squares";
    service.m_kinds = {read, claim};
    document.m_services = {service};
    return std::make_shared<core::configuration const>(std::move(document));
}

accepted_request make_request(std::string method, std::string uri,
                              std::string body = {})
{
    accepted_request accepted;
    accepted.m_service = "bookings";
    accepted.m_request = {
        std::move(method), std::move(uri), {}, std::move(body)};
    return accepted;
}

} // namespace

// Guards against an at-most-once request that is classified as idempotent,
// which would allow it to run twice.
TEST_CASE("classify finds the kind by method and path")
{
    auto const configuration = make_configuration();
    core::part_selector parts;
    core::time_point const now(milliseconds(1000));
    auto const claim = take(classify_request(make_request("POST", "/squares/7"),
                                             configuration, parts, "a", now));
    CHECK(claim.m_kind->m_name == "claim");
    CHECK(claim.m_kind == &claim.m_service->m_kinds[1]);
    auto const read = take(classify_request(make_request("GET", "/squares"),
                                            configuration, parts, "a", now));
    CHECK(read.m_kind->m_name == "read");
    CHECK(read.m_deadline == now + milliseconds(500));
}

// Guards against callers that extend the configured deadline.
TEST_CASE("a caller can shorten the deadline but not extend it")
{
    auto const configuration = make_configuration();
    core::part_selector parts;
    core::time_point const now(milliseconds(1000));
    for (auto const& [requested, expected] :
         {std::pair{milliseconds(100), milliseconds(100)},
          std::pair{milliseconds(9000), milliseconds(500)}})
    {
        auto accepted = make_request("GET", "/squares");
        accepted.m_time_left = requested;
        auto const classified =
            take(classify_request(accepted, configuration, parts, "a", now));
        CHECK(classified.m_deadline == now + expected);
    }
}

// Guards against invalid requests that are accepted.
TEST_CASE("classify refuses invalid requests with a result code")
{
    auto const configuration = make_configuration();
    core::part_selector parts;
    auto unknown = make_request("GET", "/squares");
    unknown.m_service = "nothing";
    auto deep = make_request("GET", "/squares");
    deep.m_depth = 18;
    struct request_case
    {
        accepted_request m_request;
        result_code m_code;
    };
    for (auto const& [refused, code] :
         {request_case{unknown, result_code::unknown_service},
          request_case{make_request("DELETE", "/squares"),
                       result_code::unknown_kind},
          request_case{make_request("GET", "/other"),
                       result_code::unknown_kind},
          request_case{make_request("POST", "/squares", "12345678901"),
                       result_code::body_too_large},
          request_case{deep, result_code::depth_limit_reached}})
    {
        auto const classified =
            classify_request(refused, configuration, parts, "a", {});
        REQUIRE(!has_value(classified));
        CHECK(failure(classified).m_code == code);
    }
}

// Guards against a final 404, or another service, for a request of a route
// whose entry could not be read.
TEST_CASE("requests of a route that was left out are told to return")
{
    auto document = *make_configuration();
    document.m_services.front().m_kinds.front().m_name = "wide";
    document.m_routes = {{"wide", "", "/", {{"bookings", 1}}},
                         {"left-out", "", "/squares/", {}}};
    auto const classify = [&](std::string const& uri)
    {
        accepted_request accepted;
        accepted.m_request = {"GET", uri, {}, {}};
        core::part_selector parts;
        auto const classified = classify_request(
            accepted, std::make_shared<core::configuration const>(document),
            parts, "a", {});
        return has_value(classified) ? result_code::ok
                                     : failure(classified).m_code;
    };
    CHECK(classify("/other") == result_code::ok);
    CHECK(classify("/squares/7") == result_code::entry_left_out);
    document.m_routes.erase(document.m_routes.begin());
    CHECK(classify("/other") == result_code::unknown_kind);
    document.m_has_unknown_routes = true;
    CHECK(classify("/other") == result_code::entry_left_out);
    document.m_routes.clear();
    CHECK(classify("/other") == result_code::entry_left_out);
}

} // namespace hawthornspur::serve
