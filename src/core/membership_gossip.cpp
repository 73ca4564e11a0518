#include "core/membership_gossip.hpp"

#include "core/membership_leaders.hpp"
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

// All leaders that a host of one of a few zones needs; more of them leave no
// room for other records.
constexpr std::size_t max_leaders = 8;

struct message_builder
{
    membership& m_membership;
    membership_message& m_message;
    std::string const& m_recipient;
    std::size_t m_max_updates;
};

bool is_full(message_builder const& builder)
{
    return builder.m_message.m_updates.size() >= builder.m_max_updates;
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
    std::vector<std::map<std::string, pending_update>::iterator> order;
    order.reserve(pending.size());
    for (auto update = pending.begin(); update != pending.end(); ++update)
    {
        if (update->first != builder.m_recipient &&
            !has_record(builder, update->first))
        {
            order.push_back(update);
        }
    }
    // After the start of many hosts, far more changes are pending than fit.
    auto const count =
        std::min(order.size(),
                 builder.m_max_updates - builder.m_message.m_updates.size());
    std::partial_sort(
        order.begin(), order.begin() + static_cast<std::ptrdiff_t>(count),
        order.end(),
        [](auto const& a, auto const& b)
        {
            return a->second.m_transmissions != b->second.m_transmissions
                       ? a->second.m_transmissions < b->second.m_transmissions
                       : a->first < b->first;
        });
    for (std::size_t i = 0; i < count; ++i)
    {
        builder.m_message.m_updates.push_back(
            builder.m_membership.m_peers.at(order[i]->first).m_record);
        auto& update = order[i]->second;
        if (++update.m_transmissions >= update.m_max_transmissions)
        {
            pending.erase(order[i]);
        }
    }
}

/// Adds up to `count` leaders, in turn.
void add_leaders(message_builder const& builder, std::string const& zone,
                 std::size_t count)
{
    auto& members = builder.m_membership;
    auto const leaders = zone_leaders(members, zone);
    for (std::size_t i = 0;
         i < std::min(count, leaders.size()) && !is_full(builder); ++i)
    {
        auto const& name = leaders[members.m_leader_cursor++ % leaders.size()];
        if (name != builder.m_recipient && !has_record(builder, name))
        {
            builder.m_message.m_updates.push_back(
                members.m_peers.at(name).m_record);
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
    auto const known = members.m_peers.find(recipient);
    auto const is_new_host = known == members.m_peers.end() ||
                             now < known->second.m_appeared_at +
                                       members.m_settings.m_new_host_period;
    message_builder const builder{
        members, message, recipient,
        is_new_host ? members.m_settings.m_max_updates_to_new_host
                    : members.m_settings.m_max_updates};
    add_record_to_refute(builder);
    // The records of an isolated host are outdated, and the host itself may be
    // the unreachable one.
    if (members.m_is_isolated)
    {
        return message;
    }
    // The zone of an unknown recipient is most likely the same one.
    auto const& zone = known == members.m_peers.end()
                           ? members.m_self.m_zone
                           : known->second.m_record.m_zone;
    if (is_new_host)
    {
        add_leaders(builder, zone, max_leaders);
        add_pending_updates(builder);
        add_next_records(builder, members.m_settings.m_max_updates_to_new_host);
        return message;
    }
    add_pending_updates(builder);
    if (kind == membership_message_kind::ping)
    {
        // A host that missed a change of its leaders receives it within a
        // second, whatever the number of hosts.
        add_leaders(builder, zone, 1);
        add_next_records(builder, 1);
    }
    return message;
}

} // namespace hawthornspur::core
