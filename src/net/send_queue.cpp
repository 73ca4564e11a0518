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
bool is_always_accepted(peer_message const& message)
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

send_queue::stream_key send_queue::key_of(peer_message const& message)
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
                // Messages between hosts that belong to no request.
                return stream_key{};
            }
        },
        message);
}

send_queue::item send_queue::make_item(peer_message message)
{
    item made;
    if (auto* body = std::get_if<body_chunk>(&message))
    {
        made.m_kind = item_kind::request_body;
        made.m_id = body->m_id;
        made.m_bytes = std::move(body->m_data);
    }
    else if (auto* answer = std::get_if<answer_chunk>(&message))
    {
        made.m_kind = item_kind::answer_body;
        made.m_id = answer->m_id;
        made.m_bytes = std::move(answer->m_data);
    }
    else
    {
        made.m_bytes = encode(message);
        if (made.m_bytes.size() > chunk_bytes)
        {
            made.m_kind = item_kind::fragmented_message;
            made.m_id = m_next_fragmented++;
        }
    }
    return made;
}

void send_queue::drop_bodies(stream& s)
{
    // The front item may be sent in part; the rest of it is of no use either.
    std::erase_if(s.m_items,
                  [&](item const& i)
                  {
                      if (i.m_kind != item_kind::request_body)
                      {
                          return false;
                      }
                      m_bytes -= i.m_bytes.size() - i.m_sent;
                      return true;
                  });
}

bool send_queue::push(peer_message message)
{
    auto const key = key_of(message);
    auto const is_cancel = std::holds_alternative<cancel_request>(message);
    auto const is_free_of_bound = is_always_accepted(message);
    auto made = make_item(std::move(message));
    if (!is_free_of_bound && m_bytes + made.m_bytes.size() > m_max_bytes)
    {
        return false;
    }
    auto found = m_streams.find(key);
    if (found == m_streams.end())
    {
        m_turns.push_back({key, {}});
        found = m_streams.emplace(key, std::prev(m_turns.end())).first;
    }
    auto& target = *found->second;
    if (is_cancel)
    {
        drop_bodies(target);
    }
    m_bytes += made.m_bytes.size();
    target.m_items.push_back(std::move(made));
    return true;
}

std::string send_queue::take_piece(item& front)
{
    if (front.m_kind == item_kind::whole_message)
    {
        front.m_sent = front.m_bytes.size();
        return std::move(front.m_bytes);
    }
    auto const rest = std::string_view(front.m_bytes).substr(front.m_sent);
    auto const piece = rest.substr(0, chunk_bytes);
    front.m_sent += piece.size();
    auto const is_last = front.m_sent == front.m_bytes.size();
    switch (front.m_kind)
    {
    case item_kind::request_body:
        return encode_body_chunk(front.m_id, piece);
    case item_kind::answer_body:
        return encode_answer_chunk(front.m_id, piece);
    case item_kind::fragmented_message:
    case item_kind::whole_message:
        break;
    }
    return encode_fragment({front.m_id, is_last, piece});
}

std::optional<std::string> send_queue::pop()
{
    if (m_turns.empty())
    {
        return std::nullopt;
    }
    auto const turn = m_turns.begin();
    auto& front = turn->m_items.front();
    auto const unsent = front.m_bytes.size() - front.m_sent;
    auto piece = take_piece(front);
    if (front.m_kind == item_kind::whole_message)
    {
        m_bytes -= unsent;
        turn->m_items.pop_front();
    }
    else
    {
        m_bytes -= std::min(unsent, chunk_bytes);
        if (front.m_sent == front.m_bytes.size())
        {
            turn->m_items.pop_front();
        }
    }
    if (turn->m_items.empty())
    {
        m_streams.erase(turn->m_key);
        m_turns.erase(turn);
    }
    else
    {
        m_turns.splice(m_turns.end(), m_turns, turn);
    }
    return piece;
}

} // namespace hawthornspur::net
