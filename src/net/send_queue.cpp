#include "net/send_queue.hpp"

#include "net/message_fragment.hpp"
#include "net/peer_wire.hpp"

#include <algorithm>
#include <string_view>
#include <utility>
#include <variant>

namespace hawthornspur::net
{

namespace
{

template <class Message>
concept belongs_to_answer =
    std::same_as<Message, answer_head> || std::same_as<Message, answer_chunk> ||
    std::same_as<Message, answer_end> || std::same_as<Message, refusal>;

/// Small messages that free resources at the peer.
bool is_exempt_from_limit(peer_message const& message)
{
    return std::holds_alternative<answer_end>(message) ||
           std::holds_alternative<refusal>(message) ||
           std::holds_alternative<cancel_request>(message) ||
           std::holds_alternative<window_update>(message);
}

} // namespace

std::size_t
send_queue::stream_key_hash::operator()(stream_key const& key) const noexcept
{
    return std::hash<std::uint64_t>{}((key.m_id << 1U) |
                                      (key.m_is_answer ? 1U : 0U));
}

send_queue::send_queue(std::size_t max_bytes)
    : m_max_bytes(max_bytes)
{
}

send_queue::stream_key send_queue::make_stream_key(peer_message const& message)
{
    return std::visit(
        []<class Message>(Message const& m)
        {
            if constexpr (requires { m.m_id; })
            {
                return stream_key{belongs_to_answer<Message>, m.m_id};
            }
            else
            {
                // Messages that do not belong to a request.
                return stream_key{};
            }
        },
        message);
}

send_queue::item send_queue::make_item(peer_message message)
{
    item new_item;
    if (auto* body = std::get_if<body_chunk>(&message))
    {
        new_item.m_kind = item_kind::request_body;
        new_item.m_id = body->m_id;
        new_item.m_bytes = std::move(body->m_data);
    }
    else if (auto* answer = std::get_if<answer_chunk>(&message))
    {
        new_item.m_kind = item_kind::answer_body;
        new_item.m_id = answer->m_id;
        new_item.m_bytes = std::move(answer->m_data);
    }
    else
    {
        new_item.m_begins_request =
            std::holds_alternative<forward_request>(message);
        new_item.m_bytes = encode(message);
        if (new_item.m_bytes.size() > chunk_bytes)
        {
            new_item.m_kind = item_kind::fragmented_message;
            new_item.m_id = m_next_fragmented_id++;
        }
    }
    return new_item;
}

void send_queue::drop_request_bodies(stream& queued_stream)
{
    // The first item may have been sent in part. Its rest is removed too.
    std::erase_if(queued_stream.m_items,
                  [&](item const& i)
                  {
                      if (i.m_kind != item_kind::request_body)
                      {
                          return false;
                      }
                      m_bytes -= i.m_bytes.size() - i.m_sent_bytes;
                      return true;
                  });
}

bool send_queue::drop_unsent_request(stream_key const& key)
{
    auto const found = m_streams.find(key);
    if (found == m_streams.end())
    {
        return false;
    }
    auto& items = found->second->m_items;
    if (!items.front().m_begins_request || items.front().m_sent_bytes > 0)
    {
        return false;
    }
    for (auto const& queued : items)
    {
        m_bytes -= queued.m_bytes.size();
    }
    auto& list = found->second->m_is_held ? m_held_streams : m_ready_streams;
    list.erase(found->second);
    m_streams.erase(found);
    return true;
}

bool send_queue::append_to_last(stream& queued_stream, item const& added)
{
    if (added.m_kind != item_kind::request_body &&
        added.m_kind != item_kind::answer_body)
    {
        return false;
    }
    auto& items = queued_stream.m_items;
    if (items.empty() || items.back().m_kind != added.m_kind ||
        items.back().m_bytes.size() >= chunk_bytes)
    {
        return false;
    }
    items.back().m_bytes += added.m_bytes;
    return true;
}

bool send_queue::push(peer_message message)
{
    auto const key = make_stream_key(message);
    auto const is_cancel = std::holds_alternative<cancel_request>(message);
    if (is_cancel && drop_unsent_request(key))
    {
        return true;
    }
    auto const is_exempt = is_exempt_from_limit(message);
    auto new_item = make_item(std::move(message));
    if (!is_exempt && m_bytes + new_item.m_bytes.size() > m_max_bytes)
    {
        return false;
    }
    auto found = m_streams.find(key);
    if (found == m_streams.end())
    {
        m_ready_streams.push_back({key, {}});
        found = m_streams.emplace(key, std::prev(m_ready_streams.end())).first;
    }
    auto& queued_stream = *found->second;
    if (is_cancel)
    {
        drop_request_bodies(queued_stream);
    }
    m_bytes += new_item.m_bytes.size();
    if (!append_to_last(queued_stream, new_item))
    {
        queued_stream.m_items.push_back(std::move(new_item));
    }
    return true;
}

std::string send_queue::encode_next_piece(item& front_item)
{
    if (front_item.m_kind == item_kind::whole_message)
    {
        front_item.m_sent_bytes = front_item.m_bytes.size();
        return std::move(front_item.m_bytes);
    }
    auto const rest =
        std::string_view(front_item.m_bytes).substr(front_item.m_sent_bytes);
    auto const piece = rest.substr(0, chunk_bytes);
    front_item.m_sent_bytes += piece.size();
    auto const is_last = front_item.m_sent_bytes == front_item.m_bytes.size();
    switch (front_item.m_kind)
    {
    case item_kind::request_body:
        return encode_body_chunk(front_item.m_id, piece);
    case item_kind::answer_body:
        return encode_answer_chunk(front_item.m_id, piece);
    case item_kind::fragmented_message:
    case item_kind::whole_message:
        break;
    }
    return encode_fragment({front_item.m_id, is_last, piece});
}

void send_queue::hold_fragmented_messages()
{
    while (m_is_sending_fragments)
    {
        auto const first = m_ready_streams.begin();
        auto const& front_item = first->m_items.front();
        if (front_item.m_kind != item_kind::fragmented_message ||
            front_item.m_sent_bytes > 0)
        {
            return;
        }
        first->m_is_held = true;
        m_held_streams.splice(m_held_streams.end(), m_ready_streams, first);
    }
}

void send_queue::release_held_streams()
{
    m_is_sending_fragments = false;
    for (auto& held : m_held_streams)
    {
        held.m_is_held = false;
    }
    m_ready_streams.splice(m_ready_streams.begin(), m_held_streams);
}

std::optional<std::string> send_queue::pop()
{
    if (m_ready_streams.empty())
    {
        return std::nullopt;
    }
    hold_fragmented_messages();
    auto const next_stream = m_ready_streams.begin();
    auto& front_item = next_stream->m_items.front();
    auto const unsent = front_item.m_bytes.size() - front_item.m_sent_bytes;
    bool const is_fragment = front_item.m_kind == item_kind::fragmented_message;
    auto piece = encode_next_piece(front_item);
    bool const is_last = front_item.m_sent_bytes == front_item.m_bytes.size();
    if (front_item.m_kind == item_kind::whole_message)
    {
        m_bytes -= unsent;
        next_stream->m_items.pop_front();
    }
    else
    {
        m_bytes -= std::min(unsent, chunk_bytes);
        if (is_last)
        {
            next_stream->m_items.pop_front();
        }
    }
    if (next_stream->m_items.empty())
    {
        m_streams.erase(next_stream->m_key);
        m_ready_streams.erase(next_stream);
    }
    else
    {
        m_ready_streams.splice(m_ready_streams.end(), m_ready_streams,
                               next_stream);
    }
    if (is_fragment)
    {
        m_is_sending_fragments = true;
        if (is_last)
        {
            release_held_streams();
        }
    }
    return piece;
}

} // namespace hawthornspur::net
