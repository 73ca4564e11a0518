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

/// A host with its network, which records what it hears.
struct node
{
    node(event_loop& loop, std::string name, std::string key = "key",
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
             { m_log += "+" + host; },
             .m_on_link_down = [this](std::string const& host)
             { m_log += "-" + host; },
             .m_on_datagram = nullptr}));
    }

    peer_address address() const
    {
        return {m_name, "127.0.0.1", m_network->port()};
    }

    std::string m_name;
    std::function<void(std::string const&, peer_message)> m_on_message;
    std::string m_log;
    std::unique_ptr<peer_network> m_network;
};

} // namespace

// Guards against links that do not come up, lose messages or change them.
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

// Guards against a host that accepts unauthenticated peers from outside.
TEST_CASE("without a key only a loopback address is accepted")
{
    auto loop = take(event_loop::create());
    auto const made = peer_network::create(
        *loop, {.m_host = "a", .m_address = "0.0.0.0", .m_key = ""}, {});
    REQUIRE(!has_value(made));
    CHECK(failure(made).m_code == result_code::settings_invalid);
}

// Guards against a fleet in which a third host disturbs the links of two
// others, and against messages that arrive under another host's name.
TEST_CASE("three hosts have one link for each pair")
{
    auto loop = take(event_loop::create());
    std::vector<std::unique_ptr<node>> nodes;
    std::vector<peer_address> addresses;
    for (auto const* name : {"a", "b", "c"})
    {
        nodes.push_back(std::make_unique<node>(*loop, name));
        addresses.push_back(nodes.back()->address());
    }
    for (auto& n : nodes)
    {
        n->m_network->set_peers(addresses);
    }
    REQUIRE(run_until(*loop,
                      [&]
                      {
                          return std::all_of(nodes.begin(), nodes.end(),
                                             [](auto const& n)
                                             { return n->m_log.size() >= 4; });
                      }));
    std::map<std::string, std::string> heard;
    for (auto& n : nodes)
    {
        CHECK(n->m_network->counters().m_links_opened == 2);
        n->m_on_message = [&heard, self = n->m_name](std::string const& host,
                                                     peer_message message)
        {
            heard[self + host] += std::get<body_chunk>(message).m_data;
        };
    }
    for (auto& from : nodes)
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
    REQUIRE(run_until(*loop, [&] { return heard.size() == 6; }));
    for (auto const& [pair, text] : heard)
    {
        CHECK(text == std::string{pair[1], pair[0]});
    }
}

// Guards against two links, no link or a link that comes and goes when both
// hosts open a connection at the same time.
TEST_CASE("crossed connections end with one link on both sides")
{
    for (int round = 0; round < 50; ++round)
    {
        CAPTURE(round);
        auto loop = take(event_loop::create());
        node a(*loop, "a");
        node b(*loop, "b");
        // Both orders, since the order decides who is ahead.
        auto& first = round % 2 == 0 ? a : b;
        auto& second = round % 2 == 0 ? b : a;
        first.m_network->set_peers({second.address()});
        for (int steps = 0; steps < round / 2; ++steps)
        {
            event_base_loop(loop->base(), EVLOOP_NONBLOCK);
        }
        second.m_network->set_peers({first.address()});
        int answers = 0;
        auto const count = [&](auto const&, auto const&)
        {
            ++answers;
        };
        a.m_on_message = count;
        b.m_on_message = count;
        REQUIRE(run_until(*loop, [&]
                          { return !a.m_log.empty() && !b.m_log.empty(); }));
        CHECK(has_value(a.m_network->send("b", answer_end{1})));
        CHECK(has_value(b.m_network->send("a", answer_end{1})));
        REQUIRE(run_until(*loop, [&] { return answers == 2; }));
        CHECK(a.m_log == "+b");
        CHECK(b.m_log == "+a");
    }
}

// Guards against a link that does not come back after a host restarted.
TEST_CASE("a lost link is opened again")
{
    auto loop = take(event_loop::create());
    node a(*loop, "a");
    auto b = std::make_unique<node>(*loop, "b");
    a.m_network->set_peers({b->address()});
    REQUIRE(run_until(*loop, [&] { return a.m_log == "+b"; }));
    b.reset();
    REQUIRE(run_until(*loop, [&] { return a.m_log == "+b-b"; }));
    CHECK(!has_value(a.m_network->send("b", answer_end{1})));
    b = std::make_unique<node>(*loop, "b");
    a.m_network->set_peers({b->address()});
    CHECK(run_until(*loop, [&] { return a.m_log == "+b-b+b"; }));
}

// Guards against a host without the key that becomes a peer.
TEST_CASE("hosts with different keys get no link and count it")
{
    auto loop = take(event_loop::create());
    node a(*loop, "a", "key");
    node b(*loop, "b", "another key");
    a.m_network->set_peers({b.address()});
    b.m_network->set_peers({a.address()});
    CHECK(run_until(
        *loop,
        [&]
        {
            return a.m_network->counters().m_authentication_failures > 1 &&
                   b.m_network->counters().m_authentication_failures > 1;
        }));
    CHECK(a.m_log.empty());
    CHECK(b.m_log.empty());
}

// Guards against a large body that stalls other requests on the link: the
// small request may wait only for what was handed to the transport before.
TEST_CASE("a small request overtakes a large body")
{
    auto loop = take(event_loop::create());
    node a(*loop, "a");
    node b(*loop, "b");
    a.m_network->set_peers({b.address()});
    REQUIRE(run_until(*loop, [&] { return a.m_network->is_linked("b"); }));
    std::size_t const body_size = std::size_t{64} << 20U;
    std::size_t received = 0;
    std::vector<std::size_t> received_before;
    bool in_order = true;
    b.m_on_message = [&](std::string const&, peer_message message)
    {
        if (auto const* chunk = std::get_if<body_chunk>(&message))
        {
            CHECK(chunk->m_data.size() <= chunk_bytes);
            in_order = in_order &&
                       chunk->m_data[0] == static_cast<char>(received >> 20U);
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
    CHECK(in_order);
    REQUIRE(received_before.size() == 10);
    // Up to four chunks are with the transport, one more takes its turn.
    CHECK(received_before.back() <= 5 * chunk_bytes);
}

// Guards against requests of both hosts that carry the same number: neither
// their answers nor their order may mix.
TEST_CASE("crossed answers keep their order and their direction")
{
    auto loop = take(event_loop::create());
    node a(*loop, "a");
    node b(*loop, "b");
    a.m_network->set_peers({b.address()});
    REQUIRE(run_until(*loop,
                      [&] {
                          return a.m_network->is_linked("b") &&
                                 b.m_network->is_linked("a");
                      }));
    std::vector<std::size_t> at_a;
    std::vector<std::size_t> at_b;
    a.m_on_message = [&](auto const&, peer_message m)
    {
        at_a.push_back(m.index());
    };
    b.m_on_message = [&](auto const&, peer_message m)
    {
        at_b.push_back(m.index());
    };
    for (auto* from : {&a, &b})
    {
        auto const& to = from == &a ? "b" : "a";
        // A request, and the answer to the peer's request of the same id,
        // with its end sent twice.
        for (peer_message const& m : std::vector<peer_message>{
                 body_chunk{7, "x"}, answer_head{7, {200, {}}, 1},
                 answer_chunk{7, "y"}, answer_end{7}, answer_end{7}})
        {
            CHECK(has_value(from->m_network->send(to, m)));
        }
    }
    REQUIRE(
        run_until(*loop, [&] { return at_a.size() == 5 && at_b.size() == 5; }));
    // The request and its answer are two streams and may overtake each
    // other; a duplicate is passed on for the receiver to refuse.
    for (auto* seen : {&at_a, &at_b})
    {
        std::erase(*seen, std::size_t{1});
        CHECK(*seen == std::vector<std::size_t>{2, 3, 4, 4});
    }
}

// Guards against unbounded memory when a peer does not read.
TEST_CASE("a link above its bound refuses messages and counts them")
{
    auto loop = take(event_loop::create());
    node a(*loop, "a", "key", 1U << 20U);
    node b(*loop, "b");
    a.m_network->set_peers({b.address()});
    REQUIRE(run_until(*loop, [&] { return a.m_network->is_linked("b"); }));
    int taken = 0;
    status last = success();
    while (has_value(last) && taken < 100)
    {
        last = a.m_network->send("b", body_chunk{1, std::string(100'000, 'x')});
        taken += has_value(last) ? 1 : 0;
    }
    REQUIRE(!has_value(last));
    CHECK(failure(last).m_code == result_code::queue_full);
    CHECK(a.m_network->counters().m_queue_refusals == 1);
    CHECK(a.m_network->queued_bytes("b") > 900'000);
    // The bound counts what waits; the link goes on afterwards.
    REQUIRE(
        run_until(*loop, [&] { return a.m_network->queued_bytes("b") == 0; }));
    CHECK(has_value(a.m_network->send("b", body_chunk{1, "x"})));
}

// Guards against links to hosts that left, which would be kept for ever.
TEST_CASE("an idle link to a host outside the peers is closed")
{
    auto loop = take(event_loop::create());
    node b(*loop, "b");
    std::string log;
    auto a = take(peer_network::create(
        *loop,
        {.m_host = "a",
         .m_address = "127.0.0.1",
         .m_key = "key",
         .m_idle_limit = std::chrono::milliseconds(1)},
        {.m_on_message = nullptr,
         .m_on_link_up = [&](auto const&) { log += "+"; },
         .m_on_link_down = [&](auto const&) { log += "-"; },
         .m_on_datagram = nullptr}));
    a->set_peers({b.address()});
    REQUIRE(run_until(*loop, [&] { return log == "+"; }));
    a->set_peers({});
    CHECK(a->is_linked("b"));
    CHECK(run_until(*loop, [&] { return log == "+-"; }));
    CHECK(!a->is_linked("b"));
}

} // namespace hawthornspur::net
