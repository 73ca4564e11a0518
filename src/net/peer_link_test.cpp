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
struct subject
{
    explicit subject(event_loop& loop)
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
             { m_log += "+" + host; },
             .m_on_link_down = [this](std::string const& host)
             { m_log += "-" + host; },
             .m_on_datagram = nullptr}));
    }
    std::unique_ptr<peer_network> m_network;
    std::vector<std::string> m_messages;
    /// "+host" and "-host" for each link.
    std::string m_log;
};

/// Takes the next frame; empty when the link was closed instead.
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

/// A host written by hand that opens a connection.
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

    /// Does the whole handshake. False when the other host refused it.
    bool shake_hands(std::string const& key = "key",
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

peer_hello hello_of_b()
{
    return {"b", 2, "", "a", 0};
}

} // namespace

// Guards against a connection that gets past the handshake, or that is
// refused without being counted under its reason.
TEST_CASE("faults before and in the handshake are refused and counted")
{
    struct row
    {
        char const* m_case;
        std::string m_bytes;
        bool m_end_after;
        counter m_counter;
    };
    auto const hello = [](peer_hello h)
    {
        h.m_nonce = std::string(nonce_bytes, 'n');
        return encode_hello(h);
    };
    auto other_version = hello(hello_of_b());
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
        {"hello twice", plain(hello(hello_of_b())) + plain(hello(hello_of_b())),
         false, &peer_counters::m_unexpected},
        {"message in place of a proof",
         plain(hello(hello_of_b())) + plain(encode(answer_end{1})), false,
         &peer_counters::m_unexpected},
        {"proof of the right length but wrong",
         plain(hello(hello_of_b())) + plain(encode_proof(std::string(32, 'p'))),
         false, &peer_counters::m_authentication_failures},
        {"empty proof", plain(hello(hello_of_b())) + plain(encode_proof("")),
         false, &peer_counters::m_authentication_failures},
        {"end within a frame", plain(hello(hello_of_b())).substr(0, 20), true,
         &peer_counters::m_malformed},
    };
    for (auto const& row : rows)
    {
        CAPTURE(row.m_case);
        auto loop = take(event_loop::create());
        subject a(*loop);
        raw_connection connection(*loop, a.m_network->port());
        connection.send(row.m_bytes);
        if (row.m_end_after)
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
        CHECK(a.m_log.empty());
    }
}

// Guards against a host with another key, on either side of a connection.
TEST_CASE("a wrong key is refused and counted")
{
    auto loop = take(event_loop::create());
    subject a(*loop);
    scripted_peer b(*loop, a.m_network->port(), hello_of_b());
    CHECK(!b.shake_hands("other key"));
    CHECK(a.m_network->counters().m_authentication_failures == 1);
    CHECK(a.m_log.empty());
}

// Guards against an upgrade in which newer hosts append fields to the hello.
TEST_CASE("unknown trailing fields of a hello are ignored")
{
    auto loop = take(event_loop::create());
    subject a(*loop);
    scripted_peer b(*loop, a.m_network->port(), hello_of_b());
    CHECK(b.shake_hands("key", "\xA5later"));
    CHECK(a.m_log == "+b");
}

// Guards against frames on an open link that are accepted in spite of a
// fault, and against faults that are not counted under their reason.
TEST_CASE("faults on an open link end it and are counted")
{
    struct row
    {
        char const* m_case;
        std::function<std::string(scripted_peer&)> m_bytes;
        bool m_end_after;
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
        subject a(*loop);
        scripted_peer b(*loop, a.m_network->port(), hello_of_b());
        REQUIRE(b.shake_hands());
        b.m_connection.send(row.m_bytes(b));
        if (row.m_end_after)
        {
            REQUIRE(
                run_until(*loop, [&] { return b.m_connection.unsent() == 0; }));
            b.m_connection.shut_down();
        }
        CHECK(run_until(*loop, [&] { return b.m_connection.m_closed; }));
        CHECK(a.m_network->counters().*row.m_counter == 1);
        CHECK(a.m_messages.size() == row.m_messages);
        CHECK(a.m_log == "+b-b");
    }
}

// Guards against an upgrade in which newer hosts send new messages: refusing
// the whole link would cut off the older hosts.
TEST_CASE("a message of unknown type is counted and the link stays")
{
    auto loop = take(event_loop::create());
    subject a(*loop);
    scripted_peer b(*loop, a.m_network->port(), hello_of_b());
    REQUIRE(b.shake_hands());
    b.m_connection.send(b.sealed("\x93\x1f\x01\x01"));
    b.m_connection.send(b.sealed(encode(window_update{1, 1})));
    CHECK(run_until(*loop, [&] { return a.m_messages.size() == 1; }));
    CHECK(a.m_network->counters().m_unexpected == 1);
    CHECK(a.m_network->is_linked("b"));
}

// Guards against links that stay up although the peer is gone or stopped.
TEST_CASE("a peer that goes silent loses its link")
{
    auto loop = take(event_loop::create());
    subject a(*loop);
    scripted_peer b(*loop, a.m_network->port(), hello_of_b());
    REQUIRE(b.shake_hands());
    CHECK(run_until(*loop, [&] { return b.m_connection.m_closed; }));
    CHECK(a.m_network->counters().m_silent_links == 1);
    CHECK(a.m_log == "+b-b");
}

// Guards against connections that hold resources without a handshake.
TEST_CASE("a connection that says nothing is closed")
{
    auto loop = take(event_loop::create());
    subject a(*loop);
    raw_connection connection(*loop, a.m_network->port());
    CHECK(run_until(*loop, [&] { return connection.m_closed; }));
    CHECK(a.m_network->counters().m_handshake_timeouts == 1);
}

// Guards against a host that cannot come back because its old link still
// counts as up, and against messages that are credited to the wrong link.
TEST_CASE("a peer that connects again replaces its link")
{
    struct row
    {
        char const* m_case;
        peer_hello m_second;
    };
    auto const rows = std::vector<row>{
        {"after a loss that this host has not noticed", {"b", 2, "", "a", 1}},
        {"before the peer saw the first link", {"b", 2, "", "a", 0}},
        {"after a restart", {"b", 3, "", "a", 0}},
    };
    for (auto const& row : rows)
    {
        CAPTURE(row.m_case);
        auto loop = take(event_loop::create());
        subject a(*loop);
        scripted_peer first(*loop, a.m_network->port(), hello_of_b());
        REQUIRE(first.shake_hands());
        scripted_peer second(*loop, a.m_network->port(), row.m_second);
        REQUIRE(second.shake_hands());
        CHECK(run_until(*loop, [&] { return first.m_connection.m_closed; }));
        CHECK(a.m_log == "+b-b+b");
        second.m_connection.send(second.sealed(encode(window_update{1, 1})));
        CHECK(run_until(*loop, [&] { return a.m_messages.size() == 1; }));
    }
}

// Guards against a good link that is replaced by a connection that the peer
// opened before it and has given up since.
TEST_CASE("a crossed connection that is verified late is refused")
{
    auto loop = take(event_loop::create());
    subject a(*loop);
    // The peer opens a connection and gets as far as the hellos.
    scripted_peer late(*loop, a.m_network->port(), hello_of_b());
    auto const late_hello = encode_hello(late.m_hello);
    late.m_connection.send(plain(late_hello));
    auto const late_answer = late.next_frame();
    REQUIRE(late_answer);
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
    REQUIRE(run_until(*loop, [&] { return a.m_log == "+b"; }));
    auto const late_secrets = derive_secrets("key", late_hello, *late_answer);
    late.m_connection.send(plain(encode_proof(late_secrets.m_initiator_proof)));
    CHECK(run_until(*loop, [&] { return late.m_connection.m_closed; }));
    CHECK(a.m_network->counters().m_duplicate_links == 1);
    CHECK(a.m_log == "+b");
}

// Guards against frames recorded on one link that are played back on another.
TEST_CASE("a recorded link cannot be replayed")
{
    auto loop = take(event_loop::create());
    subject a(*loop);
    std::string recorded;
    {
        scripted_peer b(*loop, a.m_network->port(), hello_of_b());
        REQUIRE(b.shake_hands());
        recorded = b.sealed(encode(window_update{1, 1}));
    }
    scripted_peer again(*loop, a.m_network->port(), hello_of_b());
    REQUIRE(again.shake_hands());
    again.m_connection.send(recorded);
    CHECK(run_until(*loop, [&] { return again.m_connection.m_closed; }));
    CHECK(a.m_messages.empty());
    CHECK(a.m_network->counters().m_authentication_failures == 1);
}

} // namespace hawthornspur::net
