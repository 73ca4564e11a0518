#include "net/event_loop.hpp"
#include "net/http_server.hpp"
#include "platform/http_platform.hpp"

#include <doctest/doctest.h>

#include <memory>
#include <optional>
#include <utility>

namespace hawthornspur::platform
{

namespace
{

/// A platform that gives one prepared answer, or none.
struct stand_in
{
    std::unique_ptr<net::event_loop> m_loop = take(net::event_loop::create());
    std::optional<std::pair<int, std::string>> m_answer;
    net::http_request m_seen;
    std::shared_ptr<net::http_exchange> m_held;
    std::unique_ptr<net::http_server> m_server = take(net::http_server::create(
        *m_loop, {.m_address = "127.0.0.1"},
        [this](net::http_request request,
               std::shared_ptr<net::http_exchange> exchange)
        {
            m_seen = std::move(request);
            if (m_answer)
            {
                exchange->reply({m_answer->first, {}}, m_answer->second);
                return;
            }
            m_held = std::move(exchange);
        }));
    std::unique_ptr<net::http_client> m_client =
        take(net::http_client::create(*m_loop));
    platform_calls m_calls =
        make_http_platform(*m_client, {{"127.0.0.1", m_server->port()},
                                       std::chrono::milliseconds(200)});

    /// Runs one call to its end.
    template <class T, class Start>
    result<T> run(int status, std::string body, Start start)
    {
        m_answer.emplace(status, std::move(body));
        return run_prepared<T>(start);
    }

    template <class T, class Start>
    result<T> run_prepared(Start start)
    {
        std::optional<result<T>> seen;
        start(m_calls,
              [&](result<T> r)
              {
                  CHECK_FALSE(seen.has_value());
                  seen = std::move(r);
                  m_loop->stop();
              });
        CHECK_FALSE(seen.has_value());
        m_loop->run();
        REQUIRE(seen.has_value());
        return *seen;
    }
};

auto const get = [](platform_calls& calls, callback<stored_value> done)
{
    calls.m_get("a/key?", std::move(done));
};
auto const swap = [](platform_calls& calls, callback<std::uint64_t> done)
{
    calls.m_compare_and_swap("head", "line\n\"x\"", 7, std::move(done));
};
auto const watch = [](platform_calls& calls, callback<stored_value> done)
{
    calls.m_watch("head", 4, std::chrono::milliseconds(50), std::move(done));
};
auto const list =
    [](platform_calls& calls, callback<std::vector<listed_host>> done)
{
    calls.m_list_hosts(std::move(done));
};

template <class T>
result_code code_of(result<T> const& r)
{
    return has_value(r) ? result_code::ok : failure(r).m_code;
}

} // namespace

// Guards against requests that the platform would not understand.
TEST_CASE("calls use the paths and bodies of the published protocol")
{
    stand_in platform;
    auto const read =
        platform.run<stored_value>(200, R"({"value":"v","revision":3})", get);
    CHECK(platform.m_seen.m_uri == "/v1/kv/a/key%3F");
    REQUIRE(has_value(read));
    CHECK(value(read).m_value == "v");
    CHECK(value(read).m_revision == 3);
    auto const written =
        platform.run<std::uint64_t>(200, R"({"revision":8})", swap);
    CHECK(platform.m_seen.m_method == "PUT");
    CHECK(platform.m_seen.m_uri == "/v1/kv/head?revision=7");
    CHECK(platform.m_seen.m_body == "{\"value\":\"line\\n\\\"x\\\"\"}");
    REQUIRE(has_value(written));
    CHECK(value(written) == 8);
    CHECK(code_of(platform.run<stored_value>(204, "", watch)) ==
          result_code::not_found);
    CHECK(platform.m_seen.m_uri == "/v1/watch/head?after=4&wait_ms=50");
    auto const lease = platform.run<std::string>(
        200, R"({"lease":"l1"})",
        [](platform_calls& calls, callback<std::string> done)
        { calls.m_create_lease(std::chrono::seconds(5), std::move(done)); });
    CHECK(platform.m_seen.m_method == "POST");
    CHECK(platform.m_seen.m_body == "{\"lifetime_ms\":5000}");
    REQUIRE(has_value(lease));
    CHECK(value(lease) == "l1");
    CHECK(code_of(platform.run<std::monostate>(
              404, "",
              [](platform_calls& calls, callback<std::monostate> done) {
                  calls.m_renew_lease("l1", std::move(done));
              })) == result_code::not_found);
    CHECK(platform.m_seen.m_uri == "/v1/leases/l1");
    auto const hosts = platform.run<std::vector<listed_host>>(
        200,
        R"({"hosts":[{"name":"e1","role":"entry","zone":"a",)"
        R"("address":"127.0.0.1","port":1,"peer_port":2,"state":"leaving"}]})",
        list);
    REQUIRE(has_value(hosts));
    REQUIRE(value(hosts).size() == 1);
    CHECK(value(hosts)[0].m_role == listed_role::entry);
    CHECK(value(hosts)[0].m_peer_port == 2);
    CHECK(value(hosts)[0].m_leaving);
}

// Guards against answers of a damaged or overloaded store that are taken for
// values, and against outages that are taken for permanent errors.
TEST_CASE("every other answer has the code of its cause")
{
    using enum result_code;
    stand_in platform;
    CHECK(code_of(platform.run<stored_value>(404, "", get)) == not_found);
    CHECK(code_of(platform.run<stored_value>(500, "", get)) ==
          store_unavailable);
    CHECK(code_of(platform.run<stored_value>(429, "", get)) ==
          store_unavailable);
    CHECK(code_of(platform.run<stored_value>(400, "", get)) ==
          store_answer_malformed);
    for (auto const* body :
         {"", "{", "[]", "7", R"({"value":1,"revision":1})", R"({"value":"v"})",
          R"({"value":"v","revision":0})", R"({"value":"v","revision":-1})",
          R"({"value":"v","revision":1.5})"})
    {
        CAPTURE(body);
        CHECK(code_of(platform.run<stored_value>(200, body, get)) ==
              store_answer_malformed);
    }
    CHECK(code_of(platform.run<std::uint64_t>(409, "", swap)) ==
          version_conflict);
    CHECK(code_of(platform.run<std::vector<listed_host>>(
              200, R"({"hosts":[{"name":"e1"}]})", list)) ==
          store_answer_malformed);
}

// Guards against a call that never answers when the platform is silent or
// gone.
TEST_CASE("a silent or absent platform is reported as unavailable")
{
    stand_in platform;
    CHECK(code_of(platform.run_prepared<stored_value>(get)) ==
          result_code::store_unavailable);
    CHECK(code_of(platform.run_prepared<stored_value>(watch)) ==
          result_code::store_unavailable);
    platform.m_held.reset();
    platform.m_server.reset();
    CHECK(code_of(platform.run_prepared<stored_value>(get)) ==
          result_code::store_unavailable);
}

} // namespace hawthornspur::platform
