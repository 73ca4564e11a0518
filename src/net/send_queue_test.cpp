#include "net/message_fragment.hpp"
#include "net/peer_wire.hpp"
#include "net/send_queue.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <map>
#include <string>
#include <vector>

namespace hawthornspur::net
{

namespace
{

constexpr std::size_t unlimited_bytes = std::size_t{1} << 30U;

forward_id get_id(peer_message const& message)
{
    return std::visit(
        [](auto const& m) -> forward_id
        {
            if constexpr (requires { m.m_id; })
            {
                return m.m_id;
            }
            else
            {
                return 0;
            }
        },
        message);
}

} // namespace

namespace
{

answer_head make_large_head(forward_id id, std::size_t bytes)
{
    answer_head head{id, {200, {{"X-Large", std::string(bytes, 'h')}}}, {}};
    return head;
}

} // namespace

// Guards against a link that is closed because many answers with long heads are
// under way at once, as in review/9: the peer limits unfinished messages.
TEST_CASE("one fragmented message is sent at a time, the others in their turn")
{
    constexpr std::size_t largest_head = std::size_t{64} << 10U;
    CHECK(rc::check(
        [&]
        {
            send_queue queue(unlimited_bytes);
            fragment_assembler assembler(largest_head + 1024);
            std::map<forward_id, std::size_t> queued;
            std::map<forward_id, std::size_t> received;
            auto const receive = [&]
            {
                auto const piece = queue.pop();
                if (!piece)
                {
                    return;
                }
                auto message = decode(*piece);
                if (has_value(message))
                {
                    ++received[get_id(value(message))];
                    return;
                }
                auto const whole = assembler.add(take(decode_fragment(*piece)));
                RC_ASSERT(has_value(whole));
                if (value(whole))
                {
                    ++received[get_id(take(decode(*value(whole))))];
                }
            };
            auto const steps = *rc::gen::inRange(1, 200);
            for (int i = 0; i < steps; ++i)
            {
                auto const id = *rc::gen::inRange<forward_id>(1, 60);
                switch (*rc::gen::inRange(0, 4))
                {
                case 0:
                    queue.push(make_large_head(
                        id, *rc::gen::inRange<std::size_t>(1, largest_head)));
                    ++queued[id];
                    break;
                case 1:
                    queue.push(window_update{id, 1});
                    ++queued[id];
                    break;
                default:
                    receive();
                }
            }
            while (!queue.is_empty())
            {
                receive();
            }
            RC_ASSERT(received == queued);
            RC_ASSERT(queue.bytes() == 0U);
        }));
}

// Guards against a body in tiny parts that takes the memory of an item for each
// byte, and against joined parts that lose their order or their request.
TEST_CASE("small parts of a body are sent together")
{
    send_queue queue(unlimited_bytes);
    std::string expected;
    for (int i = 0; i < 1000; ++i)
    {
        expected += static_cast<char>('a' + i % 26);
        queue.push(answer_chunk{1, expected.substr(expected.size() - 1)});
        queue.push(body_chunk{1, "b"});
    }
    queue.push(answer_end{1});
    std::map<bool, std::string> received;
    std::size_t pieces = 0;
    while (auto const piece = queue.pop())
    {
        ++pieces;
        auto const message = take(decode(*piece));
        if (auto const* answer = std::get_if<answer_chunk>(&message))
        {
            received[true] += answer->m_data;
        }
        else if (auto const* body = std::get_if<body_chunk>(&message))
        {
            received[false] += body->m_data;
        }
    }
    CHECK(pieces == 3);
    CHECK(received[true] == expected);
    CHECK(received[false] == std::string(1000, 'b'));
    CHECK(queue.bytes() == 0);
}

// Guards against a request that is sent although it was cancelled while another
// message was under way in fragments.
TEST_CASE("a held request that is cancelled is not sent")
{
    send_queue queue(unlimited_bytes);
    queue.push(make_large_head(1, 3 * chunk_bytes));
    forward_request large;
    large.m_id = 2;
    large.m_uri = "/" + std::string(2 * chunk_bytes, 'u');
    queue.push(large);
    REQUIRE(queue.pop());
    REQUIRE(queue.pop());
    queue.push(cancel_request{2});
    std::size_t fragments = 2;
    while (auto const piece = queue.pop())
    {
        CHECK(take(decode_fragment(*piece)).m_message_id == 1);
        ++fragments;
    }
    CHECK(fragments == 4);
    CHECK(queue.bytes() == 0);
}

// Guards against a large body that delays other requests: between two of its
// chunks, one chunk of every other request is sent.
TEST_CASE("requests are served round-robin by chunks")
{
    send_queue queue(unlimited_bytes);
    queue.push(body_chunk{1, std::string(4 * chunk_bytes, 'x')});
    queue.push(body_chunk{2, std::string(2 * chunk_bytes, 'y')});
    queue.push(window_update{3, 1});
    std::vector<forward_id> order;
    while (auto const piece = queue.pop())
    {
        CHECK(piece->size() < chunk_bytes + 32);
        order.push_back(get_id(take(decode(*piece))));
    }
    CHECK(order == std::vector<forward_id>{1, 2, 3, 1, 2, 1, 1});
    CHECK(queue.bytes() == 0);
}

// Guards against lost, duplicated or reordered chunks, and against a wrong
// count of queued bytes, which would block a link permanently.
TEST_CASE("bodies are complete and in order for any sequence of operations")
{
    CHECK(rc::check(
        []
        {
            send_queue queue(unlimited_bytes);
            std::map<forward_id, std::string> sent;
            std::map<forward_id, std::string> received;
            auto const receive = [&]
            {
                if (auto const piece = queue.pop())
                {
                    auto const message = take(decode(*piece));
                    received[get_id(message)] +=
                        std::get<body_chunk>(message).m_data;
                }
            };
            auto const steps = *rc::gen::inRange(1, 40);
            for (int step = 0; step < steps; ++step)
            {
                auto const id = *rc::gen::inRange<forward_id>(1, 4);
                auto const size =
                    *rc::gen::inRange<std::size_t>(0, 3 * chunk_bytes);
                auto const letter = static_cast<char>('a' + step % 26);
                std::string const data(size, letter);
                sent[id] += data;
                RC_ASSERT(queue.push(body_chunk{id, data}));
                auto const pops = *rc::gen::inRange(0, 4);
                for (int i = 0; i < pops; ++i)
                {
                    receive();
                }
            }
            while (!queue.is_empty())
            {
                receive();
            }
            RC_ASSERT(queue.bytes() == 0U);
            for (auto const& [id, data] : sent)
            {
                RC_ASSERT(received[id] == data);
            }
        }));
}

// Guards against a configuration document that delays requests or arrives
// corrupted.
TEST_CASE("a large message is split into fragments and reassembled")
{
    std::string document(10 * chunk_bytes + 1, 'd');
    document[5 * chunk_bytes] = 'e';
    send_queue queue(unlimited_bytes);
    queue.push(configuration_reply{3, document});
    queue.push(window_update{3, 1});
    fragment_assembler assembler(unlimited_bytes);
    std::optional<std::string> whole;
    int others = 0;
    while (auto const piece = queue.pop())
    {
        auto const fragment = decode_fragment(*piece);
        if (!has_value(fragment))
        {
            CHECK(!whole);
            ++others;
            continue;
        }
        whole = take(assembler.add(value(fragment)));
    }
    CHECK(others == 1);
    REQUIRE(whole);
    auto const message = take(decode(*whole));
    CHECK(std::get<configuration_reply>(message).m_document == document);
}

// Guards against a peer that exhausts memory with unfinished messages.
TEST_CASE("unfinished messages are limited, including empty ones")
{
    fragment_assembler assembler(1000);
    CHECK(has_value(assembler.add({1, false, std::string(500, 'x')})));
    CHECK(!has_value(assembler.add({2, false, std::string(500, 'x')})));
    fragment_assembler other(1000);
    std::uint64_t accepted_count = 0;
    while (accepted_count < 1000 &&
           has_value(other.add({accepted_count, false, ""})))
    {
        ++accepted_count;
    }
    CHECK(accepted_count < 1000);
}

// Guards against a request that waits behind others, reaches the other host
// after its deadline and runs although nobody waits for it.
TEST_CASE("a request that is cancelled before it is sent is never sent")
{
    for (std::size_t const head_bytes : {std::size_t{10}, 3 * chunk_bytes})
    {
        CAPTURE(head_bytes);
        send_queue queue(unlimited_bytes);
        forward_request head;
        head.m_id = 1;
        head.m_uri = "/" + std::string(head_bytes, 'u');
        queue.push(head);
        queue.push(body_chunk{1, std::string(2 * chunk_bytes, 'x')});
        queue.push(body_chunk{2, "y"});
        queue.push(cancel_request{1});
        auto const only = queue.pop();
        REQUIRE(only);
        CHECK(get_id(take(decode(*only))) == 2);
        CHECK(!queue.pop());
        CHECK(queue.bytes() == 0);
        // One that is sent in part is cancelled at the other host.
        queue.push(head);
        queue.push(body_chunk{1, std::string(2 * chunk_bytes, 'x')});
        REQUIRE(queue.pop());
        queue.push(cancel_request{1});
        std::optional<std::string> last;
        while (auto piece = queue.pop())
        {
            last = std::move(piece);
        }
        REQUIRE(last);
        CHECK(std::holds_alternative<cancel_request>(take(decode(*last))));
        CHECK(queue.bytes() == 0);
    }
}

// Guards against a link that queues bytes without limit, and against refusing
// the messages that release resources at the peer.
TEST_CASE("messages that release resources are exempt from the queue limit")
{
    send_queue queue(1000);
    CHECK(queue.push(body_chunk{1, std::string(1000, 'x')}));
    CHECK(!queue.push(body_chunk{1, "x"}));
    CHECK(!queue.push(configuration_request{1}));
    CHECK(queue.push(cancel_request{2}));
    CHECK(queue.push(refusal{3, result_code::queue_full}));
    CHECK(queue.push(answer_end{3}));
    CHECK(queue.push(window_update{4, 1}));
}

// Guards against sending the rest of the body of a cancelled request.
TEST_CASE("a cancellation removes the queued rest of the request body")
{
    send_queue queue(unlimited_bytes);
    queue.push(forward_request{.m_id = 1,
                               .m_service = "",
                               .m_zone = "",
                               .m_kind = "",
                               .m_once_key = "",
                               .m_method = "",
                               .m_uri = "",
                               .m_headers = {}});
    queue.push(body_chunk{1, std::string(10 * chunk_bytes, 'x')});
    queue.push(answer_chunk{1, "of the peer's request with this id"});
    std::vector<std::size_t> message_types;
    auto const send_one = [&]
    {
        auto const piece = queue.pop();
        if (piece)
        {
            message_types.push_back(take(decode(*piece)).index());
        }
        return piece.has_value();
    };
    // The other host may have the head, so the cancellation has to follow it.
    REQUIRE(send_one());
    queue.push(cancel_request{1});
    while (send_one())
    {
    }
    CHECK(message_types == std::vector<std::size_t>{0, 3, 6});
    CHECK(queue.bytes() == 0);
}

} // namespace hawthornspur::net
