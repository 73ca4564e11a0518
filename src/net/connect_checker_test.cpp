#include "net/connect_checker.hpp"
#include "net/event_loop.hpp"
#include "net/http_server.hpp"
#include "net/net_test_support.hpp"

#include <doctest/doctest.h>

#include <optional>

namespace hawthornspur::net
{

namespace
{

std::optional<connect_result> check_port(event_loop& loop, std::uint16_t port)
{
    connect_checker checker(loop);
    std::optional<connect_result> result;
    checker.check({"127.0.0.1", port}, std::chrono::seconds(5),
                  [&](connect_result r) { result = r; });
    CHECK_FALSE(result.has_value());
    run_until(loop, [&] { return result.has_value(); });
    return result;
}

} // namespace

// Guards against a server that has ended but is taken for a busy one, and
// against the reverse.
TEST_CASE("a check tells a server that has ended from one that accepts")
{
    auto loop = take(event_loop::create());
    http_server_settings settings;
    settings.m_address = "127.0.0.1";
    auto server =
        take(http_server::create(*loop, settings, [](auto const&...) {}));
    auto const port = server->port();
    CHECK(check_port(*loop, port) == connect_result::accepted);
    server.reset();
    CHECK(check_port(*loop, port) == connect_result::refused);
}

TEST_CASE("a check of an address that cannot be parsed has no result")
{
    auto loop = take(event_loop::create());
    connect_checker checker(*loop);
    std::optional<connect_result> result;
    checker.check({"no address", 80}, std::chrono::seconds(5),
                  [&](connect_result r) { result = r; });
    run_until(*loop, [&] { return result.has_value(); });
    CHECK(result == connect_result::unknown);
}

// Guards against a check that never ends on a host without descriptors.
TEST_CASE("a check without a descriptor has no result")
{
    auto loop = take(event_loop::create());
    connect_checker checker(*loop);
    std::optional<connect_result> result;
    descriptor_limit const limit(0);
    checker.check({"127.0.0.1", 9}, std::chrono::seconds(1),
                  [&](connect_result found) { result = found; });
    CHECK(!result);
    REQUIRE(run_until(*loop, [&] { return result.has_value(); }));
    CHECK(*result == connect_result::unknown);
}

// Guards against a callback into an object that has ended.
TEST_CASE("a checker can be destroyed while it checks")
{
    auto loop = take(event_loop::create());
    bool is_called = false;
    {
        connect_checker checker(*loop);
        checker.check({"127.0.0.1", 1}, std::chrono::seconds(5),
                      [&](connect_result) { is_called = true; });
    }
    bool is_done = false;
    loop->post([&] { is_done = true; });
    run_until(*loop, [&] { return is_done; });
    CHECK_FALSE(is_called);
}

} // namespace hawthornspur::net
