#include "core/membership_gossip.hpp"

#include "core/membership_state.hpp"

#include <algorithm>
#include <bit>

namespace hawthornspur::core
{

namespace
{

// Each host passes an urgent change on this many times the binary logarithm of
// the number of hosts, which leaves out a host with a probability that falls
// with the number of hosts.
constexpr int urgent_factor = 3;

// A minor change goes to about nineteen of twenty hosts at this number; the
// others get it with the records that fill messages. More would use up the
// bytes a second when all hosts change the generation at the same time.
constexpr int minor_limit = 3;

struct builder
{
    membership& m_membership;
    membership_message& m_message;
    std::string const& m_recipient;
};

bool is_full(builder const& b)
{
    return b.m_message.m_updates.size() >=
           b.m_membership.m_settings.m_max_updates;
}

bool has_record(builder const& b, std::string const& name)
{
    return std::any_of(
        b.m_message.m_updates.begin(), b.m_message.m_updates.end(),
        [&](auto const& record) { return record.m_name == name; });
}

void add_belief(builder const& b)
{
    auto const known = b.m_membership.m_peers.find(b.m_recipient);
    if (known != b.m_membership.m_peers.end() && !known->second.m_confirmed)
    {
        b.m_message.m_updates.push_back(known->second.m_record);
    }
}

void add_pending(builder const& b)
{
    auto& pending = b.m_membership.m_pending;
    std::vector<std::pair<int, std::string>> order;
    order.reserve(pending.size());
    for (auto const& [name, update] : pending)
    {
        if (name != b.m_recipient)
        {
            order.emplace_back(update.m_transmissions, name);
        }
    }
    std::sort(order.begin(), order.end());
    for (auto const& [transmissions, name] : order)
    {
        if (is_full(b))
        {
            return;
        }
        b.m_message.m_updates.push_back(
            b.m_membership.m_peers.at(name).m_record);
        auto& update = pending.at(name);
        if (++update.m_transmissions >= update.m_limit)
        {
            pending.erase(name);
        }
    }
}

void add_in_turn(builder const& b, std::size_t count)
{
    auto& m = b.m_membership;
    for (std::size_t i = 0; i < m.m_peers.size() && count > 0 && !is_full(b);
         ++i)
    {
        auto next = m.m_peers.upper_bound(m.m_fill_cursor);
        if (next == m.m_peers.end())
        {
            next = m.m_peers.begin();
        }
        m.m_fill_cursor = next->first;
        if (next->first != b.m_recipient && !has_record(b, next->first))
        {
            b.m_message.m_updates.push_back(next->second.m_record);
            --count;
        }
    }
}

} // namespace

void enqueue_update(membership& m, std::string const& name,
                    change_weight weight)
{
    auto const hosts = static_cast<unsigned>(m.m_peers.size() + 1);
    auto const limit =
        weight == change_weight::urgent
            ? urgent_factor * static_cast<int>(std::bit_width(hosts))
            : minor_limit;
    auto& pending = m.m_pending[name];
    // A minor change must not end the passing on of an urgent one before it.
    pending.m_limit =
        std::max(limit, pending.m_limit - pending.m_transmissions);
    pending.m_transmissions = 0;
}

membership_message make_message(membership& m, membership_message_kind kind,
                                std::uint64_t sequence,
                                std::string const& recipient, time_point now)
{
    membership_message message;
    message.m_kind = kind;
    message.m_sequence = sequence;
    message.m_sender = m.m_self;
    builder const b{m, message, recipient};
    add_belief(b);
    // What an isolated host knows is old, and it may be the one that is cut
    // off.
    if (m.m_is_isolated)
    {
        return message;
    }
    add_pending(b);
    auto const known = m.m_peers.find(recipient);
    auto const is_newcomer =
        known == m.m_peers.end() ||
        now < known->second.m_appeared_at + m.m_settings.m_newcomer_time;
    if (is_newcomer)
    {
        add_in_turn(b, m.m_settings.m_max_updates);
    }
    else if (kind == membership_message_kind::ping)
    {
        add_in_turn(b, 1);
    }
    return message;
}

} // namespace hawthornspur::core
