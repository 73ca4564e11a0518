#include "net/event_loop.hpp"
#include "net/peer_network.hpp"

#include <doctest/doctest.h>

#include <functional>
#include <memory>
#include <string>

namespace hawthornspur::net
{

namespace
{

/// A host with its own event loop, so that a test can pause it.
struct host
{
    explicit host(std::string const& name)
        : m_loop(take(event_loop::create()))
        , m_network(take(peer_network::create(
              *m_loop,
              {.m_host = name,
               .m_incarnation = 1,
               .m_address = "127.0.0.1",
               .m_key = "key",
               .m_heartbeat_interval = std::chrono::milliseconds(20),
               .m_silence_timeout = std::chrono::milliseconds(200),
               .m_idle_threshold = std::chrono::milliseconds(400),
               .m_idle_heartbeat_interval = std::chrono::minutes(10),
               .m_idle_silence_timeout = std::chrono::hours(1)},
              {})))
    {
    }
    std::unique_ptr<event_loop> m_loop;
    std::unique_ptr<peer_network> m_network;
};

/// Runs the loops alternately until the condition holds. False if the test
/// hangs.
bool run_until(std::initializer_list<host*> hosts,
               std::function<bool()> const& condition)
{
    auto const start = event_loop::now();
    while (!condition())
    {
        if (event_loop::now() - start > std::chrono::seconds(30))
        {
            return false;
        }
        for (auto* instance : hosts)
        {
            instance->m_loop->run_pending();
        }
    }
    return true;
}

bool has_elapsed(core::time_point start, core::duration time)
{
    return event_loop::now() - start > time;
}

} // namespace

// Guards against closing an idle link between its slow heartbeats, and against
// keeping a dead link open once it is used again.
TEST_CASE("an idle link has a longer silence timeout until it is used")
{
    host a("a");
    host b("b");
    a.m_network->set_peers({{"b", "127.0.0.1", b.m_network->port()}});
    REQUIRE(run_until({&a, &b}, [&] { return a.m_network->is_linked("b"); }));
    auto const link_time = event_loop::now();
    run_until(
        {&a, &b},
        [&] { return has_elapsed(link_time, std::chrono::milliseconds(600)); });
    // The peer is paused from here on.
    auto const pause_time = event_loop::now();
    auto const frames = a.m_network->counters().m_frames_sent;
    run_until(
        {&a}, [&]
        { return has_elapsed(pause_time, std::chrono::milliseconds(500)); });
    CHECK(a.m_network->is_linked("b"));
    CHECK(a.m_network->counters().m_frames_sent <= frames + 1);
    CHECK(has_value(a.m_network->send("b", window_update{1, 1})));
    CHECK(run_until({&a}, [&] { return !a.m_network->is_linked("b"); }));
    CHECK(a.m_network->counters().m_silent_links == 1);
}

} // namespace hawthornspur::net
