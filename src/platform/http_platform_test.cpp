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

/// A platform that sends a prepared answer, or none.
struct stub_platform
{
    std::unique_ptr<net::event_loop> m_loop = take(net::event_loop::create());
    std::optional<std::pair<int, std::string>> m_answer;
    net::http_request m_last_request;
    std::shared_ptr<net::http_exchange> m_unanswered;
    std::unique_ptr<net::http_server> m_server = take(net::http_server::create(
        *m_loop, {.m_address = "127.0.0.1"},
        [this](net::http_request request,
               std::shared_ptr<net::http_exchange> exchange)
        {
            m_last_request = std::move(request);
            if (m_answer)
            {
                exchange->reply({m_answer->first, {}}, m_answer->second);
                return;
            }
            m_unanswered = std::move(exchange);
        }));
    std::unique_ptr<net::http_client> m_client =
        take(net::http_client::create(*m_loop));
    platform_calls m_calls =
        make_http_platform(*m_client, {{"127.0.0.1", m_server->port()},
                                       std::chrono::milliseconds(200)});

    /// Runs a call until it is answered.
    template <class T, class Start>
    result<T> run(int status, std::string body, Start start)
    {
        m_answer.emplace(status, std::move(body));
        return run_call<T>(start);
    }

    template <class T, class Start>
    result<T> run_call(Start start)
    {
        std::optional<result<T>> received;
        start(m_calls,
              [&](result<T> answer)
              {
                  CHECK_FALSE(received.has_value());
                  received = std::move(answer);
                  m_loop->stop();
              });
        CHECK_FALSE(received.has_value());
        m_loop->run();
        REQUIRE(received.has_value());
        return *received;
    }
};

auto const get = [](platform_calls& calls, callback<stored_value> done)
{
    calls.m_get("a/key?", std::move(done));
};
auto const swap = [](platform_calls& calls, callback<std::uint64_t> done)
{
    calls.m_compare_and_swap("head", "line\n\"x\"", {7, 2}, std::move(done));
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
result_code code_of(result<T> const& answer)
{
    return has_value(answer) ? result_code::ok : failure(answer).m_code;
}

} // namespace

// Guards against requests that do not match the platform's protocol.
TEST_CASE("calls use the paths and bodies of the platform's protocol")
{
    stub_platform platform;
    auto const read = platform.run<stored_value>(
        200, R"({"value":"v","revision":3,"epoch":2})", get);
    CHECK(platform.m_last_request.m_uri == "/v1/kv/a/key%3F");
    REQUIRE(has_value(read));
    CHECK(value(read).m_value == "v");
    CHECK(value(read).m_version == key_version{3, 2});
    auto const written =
        platform.run<std::uint64_t>(200, R"({"revision":8})", swap);
    CHECK(platform.m_last_request.m_method == "PUT");
    CHECK(platform.m_last_request.m_uri == "/v1/kv/head?revision=7&epoch=2");
    CHECK(platform.m_last_request.m_body == "{\"value\":\"line\\n\\\"x\\\"\"}");
    REQUIRE(has_value(written));
    CHECK(value(written) == 8);
    CHECK(code_of(platform.run<stored_value>(204, "", watch)) ==
          result_code::not_found);
    CHECK(platform.m_last_request.m_uri == "/v1/watch/head?after=4&wait_ms=50");
    auto const lease = platform.run<std::string>(
        200, R"({"lease":"l1"})",
        [](platform_calls& calls, callback<std::string> done)
        { calls.m_create_lease(std::chrono::seconds(5), std::move(done)); });
    CHECK(platform.m_last_request.m_method == "POST");
    CHECK(platform.m_last_request.m_body == "{\"lifetime_ms\":5000}");
    REQUIRE(has_value(lease));
    CHECK(value(lease) == "l1");
    CHECK(code_of(platform.run<std::monostate>(
              404, "",
              [](platform_calls& calls, callback<std::monostate> done) {
                  calls.m_renew_lease("l1", std::move(done));
              })) == result_code::not_found);
    CHECK(platform.m_last_request.m_uri == "/v1/leases/l1");
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

// Guards against answers of a damaged or overloaded store that are accepted as
// values, and against outages that are reported as permanent errors.
TEST_CASE("other answers are reported with the matching result code")
{
    using enum result_code;
    stub_platform platform;
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

// Guards against a call that never ends if the platform does not answer or
// cannot be reached.
TEST_CASE("a silent or unreachable platform is reported as unavailable")
{
    stub_platform platform;
    CHECK(code_of(platform.run_call<stored_value>(get)) ==
          result_code::store_unavailable);
    CHECK(code_of(platform.run_call<stored_value>(watch)) ==
          result_code::store_unavailable);
    platform.m_unanswered.reset();
    platform.m_server.reset();
    CHECK(code_of(platform.run_call<stored_value>(get)) ==
          result_code::store_unavailable);
}

} // namespace hawthornspur::platform
