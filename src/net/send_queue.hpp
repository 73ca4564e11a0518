#ifndef HAWTHORNSPUR_NET_SEND_QUEUE_HPP
#define HAWTHORNSPUR_NET_SEND_QUEUE_HPP

#include "net/peer_messages.hpp"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <list>
#include <optional>
#include <string>
#include <unordered_map>

namespace hawthornspur::net
{

/// Messages that wait for a link. Messages of one forwarded request keep
/// their order; requests take turns, and one turn is one chunk.
class send_queue
{
public:
    /// The bound counts the encoded bytes that wait.
    explicit send_queue(std::size_t max_bytes);

    /// False when the bound does not allow the message; then nothing is
    /// queued. Messages that end a request are always taken, since refusing
    /// them would leave its resources in use at the peer.
    bool push(peer_message message);

    /// The encoded message of the next turn, at most a chunk and its head.
    std::optional<std::string> pop();

    bool is_empty() const noexcept
    {
        return m_turns.empty();
    }
    std::size_t bytes() const noexcept
    {
        return m_bytes;
    }

private:
    /// How the bytes of an item are sent.
    enum class item_kind : std::uint8_t
    {
        whole_message,
        fragmented_message,
        request_body,
        answer_body,
    };
    struct item
    {
        item_kind m_kind = item_kind::whole_message;
        /// The request of a body, the number of a fragmented message.
        std::uint64_t m_id = 0;
        std::string m_bytes;
        std::size_t m_sent = 0;
    };
    /// Both hosts number their requests, so the direction is part of the
    /// name of a stream.
    struct stream_key
    {
        bool m_is_answer = false;
        forward_id m_id = 0;
        friend bool operator==(stream_key const&, stream_key const&) = default;
    };
    struct stream_key_hash
    {
        std::size_t operator()(stream_key const& key) const noexcept;
    };
    struct stream
    {
        stream_key m_key;
        std::deque<item> m_items;
    };
    using turn_list = std::list<stream>;

    static stream_key key_of(peer_message const& message);
    item make_item(peer_message message);
    void drop_bodies(stream& s);
    static std::string take_piece(item& front);

    std::size_t m_max_bytes;
    std::size_t m_bytes = 0;
    std::uint64_t m_next_fragmented = 1;
    /// Streams with something to send, in the order of their turns.
    turn_list m_turns;
    std::unordered_map<stream_key, turn_list::iterator, stream_key_hash>
        m_streams;
};

} // namespace hawthornspur::net

#endif
