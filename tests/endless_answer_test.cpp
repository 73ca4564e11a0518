#include "raw_target.hpp"
#include "test_cluster.hpp"

#include <doctest/doctest.h>

#include <string>
#include <vector>

namespace hawthornspur::test
{

namespace
{

constexpr auto deadline = std::chrono::milliseconds(1500);
/// The caller may wait for the deadline and for the answer that reports it.
constexpr auto max_answer_time = deadline + std::chrono::milliseconds(1000);

/// Makes the raw target the only target of the cluster.
void use_target(test_cluster& cluster, raw_target const& target)
{
    auto& document = cluster.document();
    auto& service = document.m_services.front();
    core::target_config config;
    config.m_name = "raw";
    config.m_zone = "a";
    config.m_address = "127.0.0.1";
    config.m_port = target.port();
    config.m_slots = 1;
    service.m_targets = {config};
    for (auto& kind : service.m_kinds)
    {
        kind.m_deadline = deadline;
        kind.m_max_attempts = 1;
    }
    document.m_generation = 2;
    document.m_change_id = "change-2";
    cluster.store_configuration(document);
    cluster.wait_for_agreement(2, 2);
}

std::string const ok_head = "HTTP/1.1 200 OK\r\n";

struct endless_case
{
    char const* m_name;
    raw_answer m_answer;
};

std::vector<endless_case> make_cases()
{
    std::string const filler(1000, 'a');
    return {
        {"header lines", {ok_head, "X-Filler: " + filler + "\r\n"}},
        {"one header line", {ok_head + "X-Filler: ", filler}},
        {"a status line", {"HTTP/1.1 200 ", filler}},
        {"bytes that are no answer", {"", filler}},
        {"interim answers", {"", "HTTP/1.1 102 Processing\r\n\r\n"}},
        {"a body without a length", {ok_head + "\r\n", filler}},
        {"chunks",
         {ok_head + "Transfer-Encoding: chunked\r\n\r\n",
          "3e8\r\n" + filler + "\r\n"}},
        {"one chunk",
         {ok_head + "Transfer-Encoding: chunked\r\n\r\n7fffffff\r\n", filler}},
        {"a chunk extension",
         {ok_head + "Transfer-Encoding: chunked\r\n\r\n3e8;x=", filler}},
        {"trailers",
         {ok_head + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n",
          "X-Filler: " + filler + "\r\n"}},
    };
}

} // namespace

// Guards against targets in trouble whose bytes have no end: the caller must
// get a failure in time and never a complete answer, and the host must close
// the connection. Requests that must run at most once are never refused as not
// run.
TEST_CASE("bytes of a target without end are no complete answer")
{
    for (auto const& endless : make_cases())
    {
        for (auto const* method : {"GET", "POST"})
        {
            CAPTURE(endless.m_name);
            CAPTURE(method);
            raw_target target(endless.m_answer);
            test_cluster cluster(2, 0);
            use_target(cluster, target);
            auto const owner = cluster.find_owner(0);
            for (auto const host : {owner, 1 - owner})
            {
                CAPTURE(host == owner);
                auto const requests = target.requests();
                auto const start = net::event_loop::now();
                auto const answer = cluster.send(host, method, "/x");
                cluster.run_until([&] { return answer->m_is_done; });
                CHECK(net::event_loop::now() - start < max_answer_time);
                bool const is_success =
                    answer->m_outcome == net::exchange_outcome::complete &&
                    answer->m_head.m_status == 200;
                CHECK(!is_success);
                if (target.requests() > requests)
                {
                    CHECK(get_outcome(*answer) != "not-run");
                }
                cluster.run_until(
                    [&] {
                        return target.closed_connections() == target.requests();
                    });
            }
        }
    }
}

} // namespace hawthornspur::test
