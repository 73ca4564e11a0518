#include "net/event_loop.hpp"
#include "net/peer_network.hpp"

#include <doctest/doctest.h>

#include <string>

namespace hawthornspur::net
{

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

} // namespace hawthornspur::net
