#include "net/event_loop.hpp"
#include "net/http_server.hpp"
#include <hawthornspur/caller.hpp>

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <array>
#include <deque>
#include <optional>

namespace hawthornspur
{

namespace
{

using namespace std::chrono_literals;
using exchange_ptr = std::shared_ptr<net::http_exchange>;

/// An entry host that answers each request with the next scripted step.
struct scripted_host
{
    std::unique_ptr<net::http_server> m_server;
    std::deque<std::string> m_steps;
    std::vector<std::string> m_keys;
    std::vector<std::string> m_attempts;
};

std::string header(net::http_request const& request, char const* name)
{
    return std::string(net::find_header(request.m_headers, name).value_or(""));
}

/// Two entry hosts, of which the first is the home of all sessions, and a
/// caller that makes one call.
struct fixture
{
    std::unique_ptr<net::event_loop> m_loop = take(net::event_loop::create());
    std::array<scripted_host, 2> m_hosts;
    int m_sessions = 0;

    fixture()
    {
        for (auto& host : m_hosts)
        {
            host.m_server = take(net::http_server::create(
                *m_loop, {.m_address = "127.0.0.1"},
                [this, &host](net::http_request request, exchange_ptr exchange)
                { answer(host, request, exchange); }));
        }
    }

    std::string addresses()
    {
        auto rows = nlohmann::json::array();
        for (std::size_t i = 0; i < m_hosts.size(); ++i)
        {
            rows.push_back({{"host", "entry-" + std::to_string(i + 1)},
                            {"address", "127.0.0.1"},
                            {"port", m_hosts.at(i).m_server->port()}});
        }
        return nlohmann::json{
            {"lifetime_ms", 10000},
            {"addresses", rows},
            {"session", "entry-1.00000000000000aa.1.000000000000000" +
                            std::to_string(++m_sessions)}}
            .dump();
    }

    void answer(scripted_host& host, net::http_request const& request,
                exchange_ptr const& exchange)
    {
        if (request.m_uri.starts_with("/.well-known/"))
        {
            exchange->reply({200, {}}, addresses());
            return;
        }
        host.m_keys.push_back(header(request, "Hawthornspur-Key"));
        host.m_attempts.push_back(header(request, "Hawthornspur-Attempt"));
        auto const step = host.m_steps.front();
        host.m_steps.pop_front();
        if (step == "close")
        {
            exchange->abort();
            return;
        }
        if (step == "answer")
        {
            exchange->reply({200, {}}, "done");
            return;
        }
        auto const code = std::stoi(step);
        auto const outcome = info(static_cast<result_code>(code)).m_execution;
        exchange->reply(
            {503,
             {{"Hawthornspur-Code", step},
              {"Hawthornspur-Outcome", std::string(to_string(outcome))}}},
            "{}");
    }

    call_result call(call_rule rule, bool copies = false)
    {
        auto client = take(caller::create(
            *m_loop,
            {.m_zone = "a",
             .m_entry_hosts = {{"127.0.0.1", m_hosts[0].m_server->port()},
                               {"127.0.0.1", m_hosts[1].m_server->port()}},
             .m_send_copies = copies}));
        std::optional<call_result> result;
        call_request request;
        request.m_service = "map";
        request.m_rule = rule;
        request.m_deadline = 20s;
        client->call(request,
                     [&](call_result ended)
                     {
                         result = std::move(ended);
                         m_loop->stop();
                     });
        m_loop->run();
        return *result;
    }

    std::size_t requests() const
    {
        return m_hosts[0].m_keys.size() + m_hosts[1].m_keys.size();
    }
};

} // namespace

// Guards against a wrong order of the addresses and against a second attempt,
// with a new key, of a request that may have run.
TEST_CASE("an at-most-once call is retried only if it did not run")
{
    fixture f;
    f.m_hosts[0].m_steps = {"2006"};
    f.m_hosts[1].m_steps = {"answer"};
    auto const result = f.call(call_rule::at_most_once);
    CHECK(result.m_code == result_code::ok);
    CHECK(result.m_body == "done");
    CHECK(result.m_entry_host == "entry-2");
    CHECK(f.m_hosts[1].m_attempts == std::vector<std::string>{"2"});
    // The session was discarded because its home is leaving.
    CHECK(f.m_hosts[0].m_keys.at(0) ==
          "entry-1.00000000000000aa.1.0000000000000001.0");
    CHECK(f.m_hosts[1].m_keys.at(0) ==
          "entry-1.00000000000000aa.1.0000000000000002.0");

    fixture g;
    g.m_hosts[0].m_steps = {"close"};
    auto const unknown_result = g.call(call_rule::at_most_once);
    CHECK(unknown_result.m_code == result_code::target_closed);
    CHECK(unknown_result.m_execution == execution::unknown);
    CHECK(g.requests() == 1);
}

// Guards against retries that exceed the retry budget. A new caller has an
// empty budget.
TEST_CASE("an idempotent call is not retried without retry budget")
{
    fixture f;
    f.m_hosts[0].m_steps = {"close"};
    auto const unknown_result = f.call(call_rule::idempotent);
    CHECK(unknown_result.m_code == result_code::target_closed);
    CHECK(f.requests() == 1);
    CHECK(f.m_hosts[0].m_keys.at(0).empty());
}

// Guards against retries that add load to an overloaded pool.
TEST_CASE("refusals that another host would repeat are final")
{
    for (auto const* code : {"2001", "2002", "2011", "1003"})
    {
        CAPTURE(code);
        fixture f;
        f.m_hosts[0].m_steps = {code};
        auto const result = f.call(call_rule::idempotent);
        CHECK(static_cast<int>(result.m_code) == std::stoi(code));
        CHECK(result.m_execution == execution::not_run);
        CHECK(f.requests() == 1);
    }
}

// Guards against calls that fail because the first entry host is down.
TEST_CASE("a call goes to the next address when no connection can be opened")
{
    fixture f;
    f.m_hosts[1].m_steps = {"answer"};
    auto const closed_port = f.m_hosts[0].m_server->port();
    // The address answer of the second host still contains the first one.
    f.m_hosts[0].m_server->close_listener();
    REQUIRE(closed_port != 0);
    auto const result = f.call(call_rule::at_most_once);
    CHECK(result.m_code == result_code::ok);
    CHECK(result.m_attempts == 2);
    // The first attempt discarded its session, so the key of the second one is
    // from a new session.
    CHECK(result.m_key == "entry-1.00000000000000aa.1.0000000000000002.0");
}

} // namespace hawthornspur
