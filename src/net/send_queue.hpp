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

/// Messages that wait to be sent on a link. Messages of one forwarded request
/// keep their order; requests are served round-robin, one chunk at a time. Of
/// messages that are sent in fragments, one is sent after the other: the peer
/// keeps unfinished ones in memory, and limits them.
class send_queue
{
public:
    /// `max_bytes` limits the queued bytes.
    explicit send_queue(std::size_t max_bytes);

    /// Queues a message. Returns false, without queueing it, if it exceeds the
    /// limit. Messages that release resources at the peer are exempt from the
    /// limit. A cancellation removes its request if that was not sent yet.
    bool push(peer_message message);

    /// Returns the next encoded message, of at most one chunk and its header.
    std::optional<std::string> pop();

    bool is_empty() const noexcept
    {
        return m_ready_streams.empty();
    }
    std::size_t bytes() const noexcept
    {
        return m_bytes;
    }

private:
    /// How the bytes of an item are encoded.
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
        /// The request of a body, or the id of a fragmented message.
        std::uint64_t m_id = 0;
        std::string m_bytes;
        std::size_t m_sent_bytes = 0;
        /// The head of a forwarded request.
        bool m_begins_request = false;
    };
    /// Both hosts number the requests they forward, so the direction is part of
    /// the key.
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
        /// In m_held_streams.
        bool m_is_held = false;
    };
    using stream_list = std::list<stream>;

    static stream_key make_stream_key(peer_message const& message);
    item make_item(peer_message message);
    /// Joins small parts of a body, each of which would take the memory of an
    /// item. False if the part needs an item of its own.
    static bool append_to_last(stream& queued_stream, item const& added);
    void drop_request_bodies(stream& queued_stream);
    /// Removes a request of which nothing was sent. False if there is none.
    bool drop_unsent_request(stream_key const& key);
    static std::string encode_next_piece(item& front_item);
    /// Holds back the streams at the front that would begin a second fragmented
    /// message.
    void hold_fragmented_messages();
    /// Lets the streams that were held back go on, before all others.
    void release_held_streams();

    std::size_t m_max_bytes;
    std::size_t m_bytes = 0;
    std::uint64_t m_next_fragmented_id = 1;
    /// Streams with queued items, in round-robin order.
    stream_list m_ready_streams;
    /// Streams that wait for the end of the fragmented message under way, whose
    /// stream is ready.
    stream_list m_held_streams;
    bool m_is_sending_fragments = false;
    std::unordered_map<stream_key, stream_list::iterator, stream_key_hash>
        m_streams;
};

} // namespace hawthornspur::net

#endif
