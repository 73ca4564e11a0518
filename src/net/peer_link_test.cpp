#include "net/event_loop.hpp"
#include "net/frame_codec.hpp"
#include "net/message_fragment.hpp"
#include "net/net_test_support.hpp"
#include "net/peer_handshake.hpp"
#include "net/peer_network.hpp"

#include <doctest/doctest.h>

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace hawthornspur::net
{

namespace
{

using counter = std::uint64_t peer_counters::*;

std::string plain(std::string_view payload)
{
    std::string frame;
    append_plain_frame(frame, payload);
    return frame;
}

/// The network under test, named "a".
struct network_fixture
{
    explicit network_fixture(event_loop& loop)
    {
        m_network = take(peer_network::create(
            loop,
            {.m_host = "a",
             .m_incarnation = 1,
             .m_address = "127.0.0.1",
             .m_key = "key",
             .m_max_frame_bytes = std::size_t{256} << 10U},
            {.m_on_message = [this](std::string const& host, peer_message)
             { m_messages.push_back(host); },
             .m_on_link_up = [this](std::string const& host)
             { m_link_events += "+" + host; },
             .m_on_link_down = [this](std::string const& host, auto const&)
             { m_link_events += "-" + host; },
             .m_on_datagram = nullptr}));
    }
    std::unique_ptr<peer_network> m_network;
    std::vector<std::string> m_messages;
    /// "+host" and "-host" for each link.
    std::string m_link_events;
};

/// Receives the next frame. Empty if the link is closed instead.
std::optional<std::string> next_frame(event_loop& loop,
                                      raw_connection& connection)
{
    std::optional<std::string> frame;
    run_until(loop,
              [&]
              {
                  auto& bytes = connection.m_received;
                  if (bytes.size() >= frame_length_bytes)
                  {
                      auto const length = read_frame_length(bytes);
                      if (bytes.size() >= frame_length_bytes + length)
                      {
                          frame = bytes.substr(frame_length_bytes, length);
                          bytes.erase(0, frame_length_bytes + length);
                      }
                  }
                  return frame || connection.m_closed;
              });
    return frame;
}

/// A peer that opens a connection and sends what the test specifies.
struct scripted_peer
{
    scripted_peer(event_loop& loop, std::uint16_t port, peer_hello hello)
        : m_loop(loop)
        , m_connection(loop, port)
        , m_hello(std::move(hello))
    {
        m_hello.m_nonce = std::string(nonce_bytes, 'n');
    }

    std::optional<std::string> next_frame()
    {
        return net::next_frame(m_loop, m_connection);
    }

    /// Performs the handshake. False if the other host refuses it.
    bool perform_handshake(std::string const& key = "key",
                           std::string const& hello_tail = "")
    {
        auto hello = encode_hello(m_hello);
        if (!hello_tail.empty())
        {
            // One more element in the array.
            ++hello[0];
            hello += hello_tail;
        }
        m_connection.send(plain(hello));
        auto const answer = next_frame();
        if (!answer)
        {
            return false;
        }
        auto const secrets = derive_secrets(key, hello, *answer);
        m_connection.send(plain(encode_proof(secrets.m_initiator_proof)));
        auto const proof = next_frame();
        if (!proof || take(decode_proof(*proof)) != secrets.m_responder_proof)
        {
            return false;
        }
        m_sealer.emplace(secrets.m_initiator_frame_key);
        return true;
    }

    std::string sealed(std::string_view message)
    {
        std::string frame;
        m_sealer->append(frame, message);
        return frame;
    }

    event_loop& m_loop;
    raw_connection m_connection;
    peer_hello m_hello;
    std::optional<frame_sealer> m_sealer;
};

peer_hello make_hello_from_b()
{
    return {"b", 2, "", "a", 0};
}

} // namespace

// Guards against an invalid handshake that is accepted, or that is refused
// without being counted under its reason.
TEST_CASE("invalid handshakes are refused and counted")
{
    struct row
    {
        char const* m_case;
        std::string m_bytes;
        bool m_closes_connection;
        counter m_counter;
    };
    auto const hello = [](peer_hello h)
    {
        h.m_nonce = std::string(nonce_bytes, 'n');
        return encode_hello(h);
    };
    auto other_version = hello(make_hello_from_b());
    other_version[2] = '\x02';
    auto const rows = std::vector<row>{
        {"HTTP instead of frames", "GET / HTTP/1.1\r\nHost: a\r\n\r\n", false,
         &peer_counters::m_oversized},
        {"frame above the limit of a handshake", plain(std::string(4097, 'x')),
         false, &peer_counters::m_oversized},
        {"garbage in a frame", plain("garbage"), false,
         &peer_counters::m_malformed},
        {"empty frame", plain(""), false, &peer_counters::m_malformed},
        {"other protocol version", plain(other_version), false,
         &peer_counters::m_version_mismatches},
        {"hello for another host", plain(hello({"b", 2, "", "c", 0})), false,
         &peer_counters::m_unexpected},
        {"hello of the host itself", plain(hello({"a", 2, "", "a", 0})), false,
         &peer_counters::m_unexpected},
        {"hello without a name", plain(hello({"", 2, "", "a", 0})), false,
         &peer_counters::m_malformed},
        {"hello without a nonce",
         plain(encode_hello({"b", 2, "short", "a", 0})), false,
         &peer_counters::m_malformed},
        {"proof in place of a hello", plain(encode_proof("proof")), false,
         &peer_counters::m_unexpected},
        {"hello twice",
         plain(hello(make_hello_from_b())) + plain(hello(make_hello_from_b())),
         false, &peer_counters::m_unexpected},
        {"message in place of a proof",
         plain(hello(make_hello_from_b())) + plain(encode(answer_end{1})),
         false, &peer_counters::m_unexpected},
        {"proof of the right length but wrong",
         plain(hello(make_hello_from_b())) +
             plain(encode_proof(std::string(32, 'p'))),
         false, &peer_counters::m_authentication_failures},
        {"empty proof",
         plain(hello(make_hello_from_b())) + plain(encode_proof("")), false,
         &peer_counters::m_authentication_failures},
        {"end within a frame", plain(hello(make_hello_from_b())).substr(0, 20),
         true, &peer_counters::m_malformed},
    };
    for (auto const& row : rows)
    {
        CAPTURE(row.m_case);
        auto loop = take(event_loop::create());
        network_fixture a(*loop);
        raw_connection connection(*loop, a.m_network->port());
        connection.send(row.m_bytes);
        if (row.m_closes_connection)
        {
            REQUIRE(run_until(
                *loop,
                [&]
                {
                    return a.m_network->counters().m_bytes_received == 0 &&
                           connection.unsent() == 0;
                }));
            connection.shut_down();
        }
        CHECK(run_until(*loop, [&] { return connection.m_closed; }));
        CHECK(a.m_network->counters().*row.m_counter == 1);
        CHECK(a.m_link_events.empty());
    }
}

// Guards against accepting a host with another key.
TEST_CASE("a peer with a wrong key is refused and counted")
{
    auto loop = take(event_loop::create());
    network_fixture a(*loop);
    scripted_peer b(*loop, a.m_network->port(), make_hello_from_b());
    CHECK(!b.perform_handshake("other key"));
    CHECK(a.m_network->counters().m_authentication_failures == 1);
    CHECK(a.m_link_events.empty());
}

// Guards against failing upgrades in which newer hosts append fields to the
// hello.
TEST_CASE("unknown trailing fields of a hello are ignored")
{
    auto loop = take(event_loop::create());
    network_fixture a(*loop);
    scripted_peer b(*loop, a.m_network->port(), make_hello_from_b());
    CHECK(b.perform_handshake("key", "\xA5later"));
    CHECK(a.m_link_events == "+b");
}

// Guards against invalid frames that are accepted on an open link, and against
// errors that are not counted under their reason.
TEST_CASE("an invalid frame closes an open link and is counted")
{
    struct row
    {
        char const* m_case;
        std::function<std::string(scripted_peer&)> m_bytes;
        bool m_closes_connection;
        counter m_counter;
        std::size_t m_messages;
    };
    auto const message = encode(window_update{1, 1});
    auto const rows = std::vector<row>{
        {"changed byte",
         [&](scripted_peer& b)
         {
             auto frame = b.sealed(message);
             frame.back() = static_cast<char>(frame.back() ^ 1);
             return frame;
         },
         false, &peer_counters::m_authentication_failures, 0},
        {"repeated frame",
         [&](scripted_peer& b)
         {
             auto const frame = b.sealed(message);
             return frame + frame;
         },
         false, &peer_counters::m_authentication_failures, 1},
        {"missing frame",
         [&](scripted_peer& b)
         {
             b.sealed(message);
             return b.sealed(message);
         },
         false, &peer_counters::m_authentication_failures, 0},
        {"frame without tag", [&](scripted_peer&) { return plain(message); },
         false, &peer_counters::m_malformed, 0},
        {"frame above the limit",
         [](scripted_peer&)
         { return plain(std::string((std::size_t{256} << 10U) + 1, 'x')); },
         false, &peer_counters::m_oversized, 0},
        {"end within a frame",
         [&](scripted_peer& b) { return b.sealed(message).substr(0, 30); },
         true, &peer_counters::m_malformed, 0},
        {"end within the length",
         [&](scripted_peer& b) { return b.sealed(message).substr(0, 2); }, true,
         &peer_counters::m_malformed, 0},
        {"garbage in a sealed frame",
         [](scripted_peer& b) { return b.sealed("garbage"); }, false,
         &peer_counters::m_malformed, 0},
        {"truncated message in a sealed frame",
         [&](scripted_peer& b)
         { return b.sealed(message.substr(0, message.size() - 1)); },
         false, &peer_counters::m_malformed, 0},
        {"message of another version",
         [](scripted_peer& b) { return b.sealed("\x93\x07\x02\x01"); }, false,
         &peer_counters::m_version_mismatches, 0},
        {"fragments of more than a message",
         [](scripted_peer& b)
         {
             std::string frames;
             for (int i = 0; i < 9; ++i)
             {
                 frames += b.sealed(encode_fragment(
                     {1, false, std::string(std::size_t{32} << 10U, 'x')}));
             }
             return frames;
         },
         false, &peer_counters::m_oversized, 0},
    };
    for (auto const& row : rows)
    {
        CAPTURE(row.m_case);
        auto loop = take(event_loop::create());
        network_fixture a(*loop);
        scripted_peer b(*loop, a.m_network->port(), make_hello_from_b());
        REQUIRE(b.perform_handshake());
        b.m_connection.send(row.m_bytes(b));
        if (row.m_closes_connection)
        {
            REQUIRE(
                run_until(*loop, [&] { return b.m_connection.unsent() == 0; }));
            b.m_connection.shut_down();
        }
        CHECK(run_until(*loop, [&] { return b.m_connection.m_closed; }));
        CHECK(a.m_network->counters().*row.m_counter == 1);
        CHECK(a.m_messages.size() == row.m_messages);
        CHECK(a.m_link_events == "+b-b");
    }
}

// Guards against failing upgrades in which newer hosts send new messages:
// closing the link would disconnect the older hosts.
TEST_CASE("a message of unknown type is counted and the link stays open")
{
    auto loop = take(event_loop::create());
    network_fixture a(*loop);
    scripted_peer b(*loop, a.m_network->port(), make_hello_from_b());
    REQUIRE(b.perform_handshake());
    b.m_connection.send(b.sealed("\x93\x1f\x01\x01"));
    b.m_connection.send(b.sealed(encode(window_update{1, 1})));
    CHECK(run_until(*loop, [&] { return a.m_messages.size() == 1; }));
    CHECK(a.m_network->counters().m_unexpected == 1);
    CHECK(a.m_network->is_linked("b"));
}

// Guards against links that stay open although the peer has crashed or hangs.
TEST_CASE("a link is closed when the peer sends nothing")
{
    auto loop = take(event_loop::create());
    network_fixture a(*loop);
    scripted_peer b(*loop, a.m_network->port(), make_hello_from_b());
    REQUIRE(b.perform_handshake());
    CHECK(run_until(*loop, [&] { return b.m_connection.m_closed; }));
    CHECK(a.m_network->counters().m_silent_links == 1);
    CHECK(a.m_link_events == "+b-b");
}

// Guards against connections that occupy resources without a handshake.
TEST_CASE("a connection without a handshake is closed")
{
    auto loop = take(event_loop::create());
    network_fixture a(*loop);
    raw_connection connection(*loop, a.m_network->port());
    CHECK(run_until(*loop, [&] { return connection.m_closed; }));
    CHECK(a.m_network->counters().m_handshake_timeouts == 1);
}

// Guards against a host that cannot reconnect because its old link still counts
// as open, and against messages that are attributed to the wrong link.
TEST_CASE("a peer that connects again replaces its link")
{
    struct row
    {
        char const* m_case;
        peer_hello m_second;
    };
    auto const rows = std::vector<row>{
        {"after a loss that this host has not detected", {"b", 2, "", "a", 1}},
        {"before the peer opened the first link", {"b", 2, "", "a", 0}},
        {"after a restart", {"b", 3, "", "a", 0}},
    };
    for (auto const& row : rows)
    {
        CAPTURE(row.m_case);
        auto loop = take(event_loop::create());
        network_fixture a(*loop);
        scripted_peer first(*loop, a.m_network->port(), make_hello_from_b());
        REQUIRE(first.perform_handshake());
        scripted_peer second(*loop, a.m_network->port(), row.m_second);
        REQUIRE(second.perform_handshake());
        CHECK(run_until(*loop, [&] { return first.m_connection.m_closed; }));
        CHECK(a.m_link_events == "+b-b+b");
        second.m_connection.send(second.sealed(encode(window_update{1, 1})));
        CHECK(run_until(*loop, [&] { return a.m_messages.size() == 1; }));
    }
}

// Guards against replacing an open link by a connection that the peer opened
// earlier and has abandoned since.
TEST_CASE("a simultaneous connection that is verified late is refused")
{
    auto loop = take(event_loop::create());
    network_fixture a(*loop);
    // The peer opens a connection and exchanges the hellos.
    scripted_peer delayed(*loop, a.m_network->port(), make_hello_from_b());
    auto const delayed_hello = encode_hello(delayed.m_hello);
    delayed.m_connection.send(plain(delayed_hello));
    auto const delayed_answer = delayed.next_frame();
    REQUIRE(delayed_answer);
    // Meanwhile the other connection becomes the link.
    raw_listener b(*loop);
    a.m_network->set_peers({{"b", "127.0.0.1", b.m_port}});
    REQUIRE(run_until(*loop, [&] { return b.m_connections.size() == 1; }));
    auto& link = *b.m_connections[0];
    auto const hello = next_frame(*loop, link);
    REQUIRE(hello);
    auto const answer =
        encode_hello({"b", 2, std::string(nonce_bytes, 'm'), "a", 0});
    link.send(plain(answer));
    REQUIRE(next_frame(*loop, link));
    auto const secrets = derive_secrets("key", *hello, answer);
    link.send(plain(encode_proof(secrets.m_responder_proof)));
    REQUIRE(run_until(*loop, [&] { return a.m_link_events == "+b"; }));
    auto const delayed_secrets =
        derive_secrets("key", delayed_hello, *delayed_answer);
    delayed.m_connection.send(
        plain(encode_proof(delayed_secrets.m_initiator_proof)));
    CHECK(run_until(*loop, [&] { return delayed.m_connection.m_closed; }));
    CHECK(a.m_network->counters().m_duplicate_links == 1);
    CHECK(a.m_link_events == "+b");
}

// Guards against frames recorded on one link that are replayed on another.
TEST_CASE("a recorded frame is refused on another link")
{
    auto loop = take(event_loop::create());
    network_fixture a(*loop);
    std::string recorded;
    {
        scripted_peer b(*loop, a.m_network->port(), make_hello_from_b());
        REQUIRE(b.perform_handshake());
        recorded = b.sealed(encode(window_update{1, 1}));
    }
    scripted_peer again(*loop, a.m_network->port(), make_hello_from_b());
    REQUIRE(again.perform_handshake());
    again.m_connection.send(recorded);
    CHECK(run_until(*loop, [&] { return again.m_connection.m_closed; }));
    CHECK(a.m_messages.empty());
    CHECK(a.m_network->counters().m_authentication_failures == 1);
}

} // namespace hawthornspur::net
