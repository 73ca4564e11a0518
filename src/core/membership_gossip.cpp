#include "core/membership_gossip.hpp"

#include "core/membership_state.hpp"

#include <algorithm>
#include <bit>

namespace hawthornspur::core
{

namespace
{

// Each host sends an urgent change this many times the binary logarithm of the
// number of hosts. The probability that a host does not receive it decreases
// with the number of hosts.
constexpr int urgent_transmissions_factor = 3;

// Three transmissions reach about 95 % of the hosts; the others receive a minor
// change with the records that fill messages. More transmissions would exceed
// the bandwidth budget when all hosts change their generation at the same time.
constexpr int minor_transmissions = 3;

struct message_builder
{
    membership& m_membership;
    membership_message& m_message;
    std::string const& m_recipient;
};

bool is_full(message_builder const& builder)
{
    return builder.m_message.m_updates.size() >=
           builder.m_membership.m_settings.m_max_updates;
}

bool has_record(message_builder const& builder, std::string const& name)
{
    return std::any_of(
        builder.m_message.m_updates.begin(), builder.m_message.m_updates.end(),
        [&](auto const& record) { return record.m_name == name; });
}

void add_record_to_refute(message_builder const& builder)
{
    auto const known = builder.m_membership.m_peers.find(builder.m_recipient);
    if (known != builder.m_membership.m_peers.end() &&
        !known->second.m_is_self_reported)
    {
        builder.m_message.m_updates.push_back(known->second.m_record);
    }
}

void add_pending_updates(message_builder const& builder)
{
    auto& pending = builder.m_membership.m_pending_updates;
    std::vector<std::pair<int, std::string>> order;
    order.reserve(pending.size());
    for (auto const& [name, update] : pending)
    {
        if (name != builder.m_recipient)
        {
            order.emplace_back(update.m_transmissions, name);
        }
    }
    std::sort(order.begin(), order.end());
    for (auto const& [transmissions, name] : order)
    {
        if (is_full(builder))
        {
            return;
        }
        builder.m_message.m_updates.push_back(
            builder.m_membership.m_peers.at(name).m_record);
        auto& update = pending.at(name);
        if (++update.m_transmissions >= update.m_max_transmissions)
        {
            pending.erase(name);
        }
    }
}

void add_next_records(message_builder const& builder, std::size_t count)
{
    auto& members = builder.m_membership;
    for (std::size_t i = 0;
         i < members.m_peers.size() && count > 0 && !is_full(builder); ++i)
    {
        auto next = members.m_peers.upper_bound(members.m_fill_cursor);
        if (next == members.m_peers.end())
        {
            next = members.m_peers.begin();
        }
        members.m_fill_cursor = next->first;
        if (next->first != builder.m_recipient &&
            !has_record(builder, next->first))
        {
            builder.m_message.m_updates.push_back(next->second.m_record);
            --count;
        }
    }
}

} // namespace

void enqueue_update(membership& members, std::string const& name,
                    update_priority priority)
{
    auto const hosts = static_cast<unsigned>(members.m_peers.size() + 1);
    auto const limit = priority == update_priority::urgent
                           ? urgent_transmissions_factor *
                                 static_cast<int>(std::bit_width(hosts))
                           : minor_transmissions;
    auto& pending = members.m_pending_updates[name];
    // A minor change must not cut short the dissemination of an urgent one.
    pending.m_max_transmissions =
        std::max(limit, pending.m_max_transmissions - pending.m_transmissions);
    pending.m_transmissions = 0;
}

membership_message make_message(membership& members,
                                membership_message_kind kind,
                                std::uint64_t sequence,
                                std::string const& recipient, time_point now)
{
    membership_message message;
    message.m_kind = kind;
    message.m_sequence = sequence;
    message.m_sender = members.m_self;
    message_builder const builder{members, message, recipient};
    add_record_to_refute(builder);
    // The records of an isolated host are outdated, and the host itself may be
    // the unreachable one.
    if (members.m_is_isolated)
    {
        return message;
    }
    add_pending_updates(builder);
    auto const known = members.m_peers.find(recipient);
    auto const is_new_host = known == members.m_peers.end() ||
                             now < known->second.m_appeared_at +
                                       members.m_settings.m_new_host_period;
    if (is_new_host)
    {
        add_next_records(builder, members.m_settings.m_max_updates);
    }
    else if (kind == membership_message_kind::ping)
    {
        add_next_records(builder, 1);
    }
    return message;
}

} // namespace hawthornspur::core
