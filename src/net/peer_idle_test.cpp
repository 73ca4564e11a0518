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
               .m_in_use_silence_timeout = std::chrono::seconds(1),
               .m_idle_threshold = std::chrono::milliseconds(400),
               .m_idle_heartbeat_interval = std::chrono::minutes(10),
               .m_idle_silence_timeout = std::chrono::hours(1)},
              {.m_on_message = nullptr,
               .m_on_link_up = nullptr,
               .m_on_link_down = nullptr,
               .m_is_link_in_use = [this](auto const&) { return m_is_in_use; },
               .m_on_datagram = nullptr})))
    {
    }
    bool m_is_in_use = false;
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

// Guards against losing the answers of a peer that is busy for a while, against
// new requests to it, and against waiting for a dead peer without end.
TEST_CASE("a silent link stays open while it is in use, but not for long")
{
    host a("a");
    host b("b");
    a.m_is_in_use = true;
    b.m_is_in_use = true;
    a.m_network->set_peers({{"b", "127.0.0.1", b.m_network->port()}});
    REQUIRE(run_until({&a, &b},
                      [&] {
                          return a.m_network->is_linked("b") &&
                                 b.m_network->is_linked("a");
                      }));
    REQUIRE(has_value(a.m_network->send("b", window_update{1, 1})));
    // The peer is paused until it counts as silent.
    REQUIRE(run_until({&a}, [&] { return !a.m_network->is_reachable("b"); }));
    CHECK(a.m_network->is_linked("b"));
    CHECK(run_until({&a, &b}, [&] { return a.m_network->is_reachable("b"); }));
    CHECK(a.m_network->counters().m_links_opened == 1);
    // The peer is paused from here on.
    REQUIRE(has_value(a.m_network->send("b", window_update{1, 1})));
    CHECK(run_until({&a}, [&] { return !a.m_network->is_linked("b"); }));
}

} // namespace hawthornspur::net
