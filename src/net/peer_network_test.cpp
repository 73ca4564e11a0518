#include "net/event_loop.hpp"
#include "net/net_test_support.hpp"
#include "net/peer_network.hpp"
#include "net/peer_wire.hpp"

#include <doctest/doctest.h>

#include <map>
#include <string>
#include <vector>

namespace hawthornspur::net
{

namespace
{

/// A host with its network. Records the events of its links.
struct test_host
{
    test_host(event_loop& loop, std::string name, std::string key = "key",
              std::size_t max_queued_bytes = std::size_t{128} << 20U)
        : m_name(std::move(name))
    {
        m_network = take(peer_network::create(
            loop,
            {.m_host = m_name,
             .m_incarnation = 1,
             .m_address = "127.0.0.1",
             .m_key = std::move(key),
             .m_max_queued_bytes = max_queued_bytes},
            {.m_on_message =
                 [this](std::string const& host, peer_message message)
             {
                 if (m_on_message)
                 {
                     m_on_message(host, std::move(message));
                 }
             },
             .m_on_link_up = [this](std::string const& host)
             { m_link_events += "+" + host; },
             .m_on_link_down = [this](std::string const& host, auto const&)
             { m_link_events += "-" + host; },
             .m_on_datagram = nullptr}));
    }

    peer_address address() const
    {
        return {m_name, "127.0.0.1", m_network->port()};
    }

    std::string m_name;
    std::function<void(std::string const&, peer_message)> m_on_message;
    std::string m_link_events;
    std::unique_ptr<peer_network> m_network;
};

} // namespace

// Guards against links that do not open, or that lose or change messages.
TEST_CASE("two hosts that dial each other exchange messages over one link")
{
    auto loop = take(event_loop::create());
    std::unique_ptr<peer_network> a;
    std::unique_ptr<peer_network> b;
    std::string received;
    a = take(peer_network::create(
        *loop,
        {.m_host = "a",
         .m_incarnation = 1,
         .m_address = "127.0.0.1",
         .m_key = "key"},
        {.m_on_message = [](auto const&, auto) {},
         .m_on_link_up =
             [&](std::string const& host)
         {
             CHECK(host == "b");
             CHECK(has_value(a->send(host, body_chunk{1, "hello"})));
         },
         .m_on_link_down = nullptr,
         .m_on_datagram = nullptr}));
    b = take(peer_network::create(
        *loop,
        {.m_host = "b",
         .m_incarnation = 2,
         .m_address = "127.0.0.1",
         .m_key = "key"},
        {.m_on_message =
             [&](std::string const& host, peer_message message)
         {
             CHECK(host == "a");
             received = std::get<body_chunk>(message).m_data;
             loop->stop();
         },
         .m_on_link_up = nullptr,
         .m_on_link_down = nullptr,
         .m_on_datagram = nullptr}));
    a->set_peers({{"b", "127.0.0.1", b->port()}});
    b->set_peers({{"a", "127.0.0.1", a->port()}});
    loop->run();
    CHECK(received == "hello");
    CHECK(a->is_linked("b"));
    CHECK(b->is_linked("a"));
    CHECK(a->counters().m_links_opened == 1);
}

// Guards against datagrams that are lost between codec and socket.
TEST_CASE("a datagram reaches the other host")
{
    auto loop = take(event_loop::create());
    std::uint64_t sequence = 0;
    auto a = take(peer_network::create(
        *loop, {.m_host = "a", .m_address = "127.0.0.1", .m_key = ""}, {}));
    auto b = take(peer_network::create(
        *loop, {.m_host = "b", .m_address = "127.0.0.1", .m_key = ""},
        {.m_on_message = nullptr,
         .m_on_link_up = nullptr,
         .m_on_link_down = nullptr,
         .m_on_datagram = [&](core::membership_message message)
         {
             sequence = message.m_sequence;
             loop->stop();
         }}));
    core::membership_message ping;
    ping.m_sequence = 5;
    a->send_datagram("127.0.0.1", b->port(), ping);
    loop->run();
    CHECK(sequence == 5);
}

// Guards against a host that accepts unauthenticated remote peers.
TEST_CASE("without a key only a loopback address is accepted")
{
    auto loop = take(event_loop::create());
    auto const network = peer_network::create(
        *loop, {.m_host = "a", .m_address = "0.0.0.0", .m_key = ""}, {});
    REQUIRE(!has_value(network));
    CHECK(failure(network).m_code == result_code::settings_invalid);
}

// Guards against a third host that disturbs the link of two others, and against
// messages that are attributed to another host.
TEST_CASE("three hosts have one link for each pair")
{
    auto loop = take(event_loop::create());
    std::vector<std::unique_ptr<test_host>> hosts;
    std::vector<peer_address> addresses;
    for (auto const* name : {"a", "b", "c"})
    {
        hosts.push_back(std::make_unique<test_host>(*loop, name));
        addresses.push_back(hosts.back()->address());
    }
    for (auto& instance : hosts)
    {
        instance->m_network->set_peers(addresses);
    }
    REQUIRE(run_until(*loop,
                      [&]
                      {
                          return std::all_of(
                              hosts.begin(), hosts.end(),
                              [](auto const& instance)
                              { return instance->m_link_events.size() >= 4; });
                      }));
    std::map<std::string, std::string> received_by_pair;
    for (auto& instance : hosts)
    {
        CHECK(instance->m_network->counters().m_links_opened == 2);
        instance->m_on_message =
            [&received_by_pair, self = instance->m_name](
                std::string const& host, peer_message message)
        {
            received_by_pair[self + host] +=
                std::get<body_chunk>(message).m_data;
        };
    }
    for (auto& from : hosts)
    {
        for (auto const& to : addresses)
        {
            if (to.m_host != from->m_name)
            {
                CHECK(has_value(from->m_network->send(
                    to.m_host, body_chunk{1, from->m_name + to.m_host})));
            }
        }
    }
    REQUIRE(run_until(*loop, [&] { return received_by_pair.size() == 6; }));
    for (auto const& [pair, text] : received_by_pair)
    {
        CHECK(text == std::string{pair[1], pair[0]});
    }
}

// Guards against two links, no link or an unstable link when both hosts open a
// connection at the same time.
TEST_CASE("simultaneous connections result in one link")
{
    for (int round = 0; round < 50; ++round)
    {
        CAPTURE(round);
        auto loop = take(event_loop::create());
        test_host a(*loop, "a");
        test_host b(*loop, "b");
        // Both orders, since the order determines which handshake is ahead.
        auto& first = round % 2 == 0 ? a : b;
        auto& second = round % 2 == 0 ? b : a;
        first.m_network->set_peers({second.address()});
        for (int steps = 0; steps < round / 2; ++steps)
        {
            event_base_loop(loop->base(), EVLOOP_NONBLOCK);
        }
        second.m_network->set_peers({first.address()});
        int received_count = 0;
        auto const count = [&](auto const&, auto const&)
        {
            ++received_count;
        };
        a.m_on_message = count;
        b.m_on_message = count;
        REQUIRE(run_until(
            *loop, [&]
            { return !a.m_link_events.empty() && !b.m_link_events.empty(); }));
        CHECK(has_value(a.m_network->send("b", answer_end{1})));
        CHECK(has_value(b.m_network->send("a", answer_end{1})));
        REQUIRE(run_until(*loop, [&] { return received_count == 2; }));
        CHECK(a.m_link_events == "+b");
        CHECK(b.m_link_events == "+a");
    }
}

// Guards against a link that is not reopened after a host has restarted.
TEST_CASE("a lost link is reopened")
{
    auto loop = take(event_loop::create());
    test_host a(*loop, "a");
    auto b = std::make_unique<test_host>(*loop, "b");
    a.m_network->set_peers({b->address()});
    REQUIRE(run_until(*loop, [&] { return a.m_link_events == "+b"; }));
    b.reset();
    REQUIRE(run_until(*loop, [&] { return a.m_link_events == "+b-b"; }));
    CHECK(!has_value(a.m_network->send("b", answer_end{1})));
    b = std::make_unique<test_host>(*loop, "b");
    a.m_network->set_peers({b->address()});
    CHECK(run_until(*loop, [&] { return a.m_link_events == "+b-b+b"; }));
}

// Guards against accepting a host that does not hold the key.
TEST_CASE("hosts with different keys get no link and count the failures")
{
    auto loop = take(event_loop::create());
    test_host a(*loop, "a", "key");
    test_host b(*loop, "b", "another key");
    a.m_network->set_peers({b.address()});
    b.m_network->set_peers({a.address()});
    CHECK(run_until(
        *loop,
        [&]
        {
            return a.m_network->counters().m_authentication_failures > 1 &&
                   b.m_network->counters().m_authentication_failures > 1;
        }));
    CHECK(a.m_link_events.empty());
    CHECK(b.m_link_events.empty());
}

// Guards against a large body that delays other requests on the link: a small
// request may wait only for the bytes in the output buffer.
TEST_CASE("a small request overtakes a large body")
{
    auto loop = take(event_loop::create());
    test_host a(*loop, "a");
    test_host b(*loop, "b");
    a.m_network->set_peers({b.address()});
    REQUIRE(run_until(*loop, [&] { return a.m_network->is_linked("b"); }));
    std::size_t const body_size = std::size_t{64} << 20U;
    std::size_t received = 0;
    std::vector<std::size_t> received_before;
    bool is_in_order = true;
    b.m_on_message = [&](std::string const&, peer_message message)
    {
        if (auto const* chunk = std::get_if<body_chunk>(&message))
        {
            CHECK(chunk->m_data.size() <= chunk_bytes);
            is_in_order = is_in_order && chunk->m_data[0] ==
                                             static_cast<char>(received >> 20U);
            received += chunk->m_data.size();
            return;
        }
        received_before.push_back(received);
    };
    std::string body(body_size, '\0');
    for (std::size_t i = 0; i < body.size(); ++i)
    {
        body[i] = static_cast<char>(i >> 20U);
    }
    CHECK(has_value(a.m_network->send("b", body_chunk{1, std::move(body)})));
    for (forward_id id = 2; id < 12; ++id)
    {
        CHECK(has_value(a.m_network->send("b", cancel_request{id})));
    }
    REQUIRE(run_until(*loop, [&] { return received == body_size; }));
    CHECK(is_in_order);
    REQUIRE(received_before.size() == 10);
    // The output buffer holds up to four chunks; one more may be scheduled.
    CHECK(received_before.back() <= 5 * chunk_bytes);
}

// Guards against mixing up requests of both hosts that have the same id.
TEST_CASE("requests with the same id in both directions are independent")
{
    auto loop = take(event_loop::create());
    test_host a(*loop, "a");
    test_host b(*loop, "b");
    a.m_network->set_peers({b.address()});
    REQUIRE(run_until(*loop,
                      [&] {
                          return a.m_network->is_linked("b") &&
                                 b.m_network->is_linked("a");
                      }));
    std::vector<std::size_t> received_by_a;
    std::vector<std::size_t> received_by_b;
    a.m_on_message = [&](auto const&, peer_message message)
    {
        received_by_a.push_back(message.index());
    };
    b.m_on_message = [&](auto const&, peer_message message)
    {
        received_by_b.push_back(message.index());
    };
    for (auto* from : {&a, &b})
    {
        auto const& to = from == &a ? "b" : "a";
        // A request, and the answer to the peer's request of the same id,
        // with its end sent twice.
        for (peer_message const& message : std::vector<peer_message>{
                 body_chunk{7, "x"}, answer_head{7, {200, {}}, 1},
                 answer_chunk{7, "y"}, answer_end{7}, answer_end{7}})
        {
            CHECK(has_value(from->m_network->send(to, message)));
        }
    }
    REQUIRE(run_until(
        *loop, [&]
        { return received_by_a.size() == 5 && received_by_b.size() == 5; }));
    // The request and its answer are two streams and may overtake each other.
    // A duplicate is delivered; refusing it is left to the receiver.
    for (auto* received : {&received_by_a, &received_by_b})
    {
        std::erase(*received, std::size_t{1});
        CHECK(*received == std::vector<std::size_t>{2, 3, 4, 4});
    }
}

// Guards against unbounded memory when a peer does not read.
TEST_CASE("messages above the queue limit are refused and counted")
{
    auto loop = take(event_loop::create());
    test_host a(*loop, "a", "key", 1U << 20U);
    test_host b(*loop, "b");
    a.m_network->set_peers({b.address()});
    REQUIRE(run_until(*loop, [&] { return a.m_network->is_linked("b"); }));
    int accepted_count = 0;
    status last = success();
    while (has_value(last) && accepted_count < 100)
    {
        last = a.m_network->send("b", body_chunk{1, std::string(100'000, 'x')});
        accepted_count += has_value(last) ? 1 : 0;
    }
    REQUIRE(!has_value(last));
    CHECK(failure(last).m_code == result_code::queue_full);
    CHECK(a.m_network->counters().m_queue_refusals == 1);
    CHECK(a.m_network->queued_bytes("b") > 900'000);
    // Only queued bytes count; the link stays usable.
    REQUIRE(
        run_until(*loop, [&] { return a.m_network->queued_bytes("b") == 0; }));
    CHECK(has_value(a.m_network->send("b", body_chunk{1, "x"})));
}

// Guards against links to removed hosts that are never closed.
TEST_CASE("an unused link to a host that is not in set_peers() is closed")
{
    auto loop = take(event_loop::create());
    test_host b(*loop, "b");
    std::string link_events;
    auto a = take(peer_network::create(
        *loop,
        {.m_host = "a",
         .m_address = "127.0.0.1",
         .m_key = "key",
         .m_unlisted_link_timeout = std::chrono::milliseconds(1)},
        {.m_on_message = nullptr,
         .m_on_link_up = [&](auto const&) { link_events += "+"; },
         .m_on_link_down = [&](auto const&, auto const&)
         { link_events += "-"; },
         .m_on_datagram = nullptr}));
    a->set_peers({b.address()});
    REQUIRE(run_until(*loop, [&] { return link_events == "+"; }));
    a->set_peers({});
    CHECK(a->is_linked("b"));
    CHECK(run_until(*loop, [&] { return link_events == "+-"; }));
    CHECK(!a->is_linked("b"));
}

} // namespace hawthornspur::net
