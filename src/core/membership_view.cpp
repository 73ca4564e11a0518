#include "core/membership_view.hpp"

#include "core/host_record_order.hpp"
#include "core/membership_gossip.hpp"
#include "core/membership_leaders.hpp"
#include "core/membership_state.hpp"

#include <algorithm>

namespace hawthornspur::core
{

namespace
{

bool has_reportable_change(host_record const& a, host_record const& b)
{
    return a.m_state != b.m_state || a.m_incarnation != b.m_incarnation ||
           a.m_generation != b.m_generation ||
           a.m_once_epoch != b.m_once_epoch || a.m_zone != b.m_zone ||
           a.m_address != b.m_address || a.m_peer_port != b.m_peer_port ||
           a.m_caller_port != b.m_caller_port;
}

// Changes that affect ownership or reachability are sent until nearly every
// host has received them. Minor changes reach the remaining hosts with the
// records that fill messages.
update_priority priority_of_change(host_record const& before,
                                   host_record const& after)
{
    return before.m_state != after.m_state ||
                   before.m_incarnation != after.m_incarnation ||
                   before.m_address != after.m_address ||
                   before.m_peer_port != after.m_peer_port
               ? update_priority::urgent
               : update_priority::minor;
}

void refute(membership& members, host_record const& record)
{
    auto& own = members.m_self;
    if (record.m_incarnation != own.m_incarnation)
    {
        // A record of an earlier or a later process with this host name.
        if (record.m_version < own.m_version)
        {
            return;
        }
        if (members.m_is_isolated && members.m_has_received_ack &&
            start_order(record.m_version) > start_order(own.m_version))
        {
            members.m_is_superseded = true;
            return;
        }
        own.m_version = first_version_after(record.m_version);
        return;
    }
    auto const is_wrong =
        record.m_version > own.m_version ||
        (record.m_version == own.m_version && record.m_state != own.m_state);
    if (is_wrong)
    {
        own.m_version = record.m_version + 1;
    }
}

// A host that received a suspicion waits longer than the host that raised it,
// which receives a refutation first. The wait is limited because that host may
// die as well.
constexpr int remote_suspicion_factor = 3;

void apply_state_change(membership& members, peer_state& peer,
                        host_state before, time_point now)
{
    auto const state = peer.m_record.m_state;
    members.m_suspects.erase(peer.m_record.m_name);
    if (state == host_state::suspected)
    {
        members.m_suspects.insert(peer.m_record.m_name);
        peer.m_suspicion_deadline =
            now +
            remote_suspicion_factor * members.m_settings.m_suspicion_timeout;
    }
    if (state == host_state::dead && before != host_state::dead)
    {
        peer.m_dead_since = now;
    }
    if (state != host_state::dead && before == host_state::dead)
    {
        peer.m_appeared_at = now;
    }
    peer.m_is_locally_suspected = false;
}

} // namespace

void merge_record(membership& members, host_record const& record,
                  time_point now, membership_effects& out)
{
    if (record.m_name == members.m_self.m_name)
    {
        refute(members, record);
        return;
    }
    auto const known = members.m_peers.find(record.m_name);
    if (known == members.m_peers.end())
    {
        if (record.m_state == host_state::dead)
        {
            return;
        }
        auto& added = members.m_peers[record.m_name];
        added.m_record = record;
        added.m_appeared_at = now;
        invalidate_leaders(members);
        apply_state_change(members, added, record.m_state, now);
        enqueue_update(members, record.m_name, update_priority::urgent);
        out.emplace_back(host_changed_effect{record});
        return;
    }
    auto& peer = known->second;
    if (!is_newer(record, peer.m_record))
    {
        return;
    }
    auto const before = std::move(peer.m_record);
    peer.m_record = record;
    peer.m_is_self_reported = false;
    if (before.m_state != record.m_state || before.m_zone != record.m_zone ||
        before.m_millicores != record.m_millicores)
    {
        invalidate_leaders(members);
    }
    apply_state_change(members, peer, before.m_state, now);
    enqueue_update(members, record.m_name, priority_of_change(before, record));
    if (has_reportable_change(before, record))
    {
        out.emplace_back(host_changed_effect{record});
    }
}

void merge_sender(membership& members, host_record const& sender,
                  time_point now, membership_effects& out)
{
    merge_record(members, sender, now, out);
    auto const known = members.m_peers.find(sender.m_name);
    if (known != members.m_peers.end())
    {
        auto const& record = known->second.m_record;
        known->second.m_is_self_reported =
            record.m_version == sender.m_version &&
            record.m_incarnation == sender.m_incarnation &&
            record.m_state == sender.m_state;
    }
}

void suspect(membership& members, std::string const& name, time_point missed_at,
             time_point now, membership_effects& out)
{
    auto const known = members.m_peers.find(name);
    if (known == members.m_peers.end() ||
        known->second.m_record.m_state == host_state::dead)
    {
        return;
    }
    auto& peer = known->second;
    if (peer.m_record.m_state != host_state::suspected)
    {
        auto record = peer.m_record;
        record.m_state = host_state::suspected;
        merge_record(members, record, now, out);
    }
    peer.m_suspicion_deadline =
        std::min(peer.m_suspicion_deadline,
                 missed_at + members.m_settings.m_suspicion_timeout);
    peer.m_is_locally_suspected = true;
}

void expire_suspicions(membership& members, time_point now,
                       membership_effects& out)
{
    for (auto entry = members.m_peers.begin(); entry != members.m_peers.end();)
    {
        auto& peer = entry->second;
        if (peer.m_record.m_state == host_state::suspected &&
            now >= peer.m_suspicion_deadline)
        {
            auto record = peer.m_record;
            record.m_state = host_state::dead;
            merge_record(members, record, now, out);
        }
        // Until a host list arrives after the death, the record is the only way
        // to reach the host again after a long partition.
        auto const is_expired =
            peer.m_record.m_state == host_state::dead &&
            now >=
                peer.m_dead_since + members.m_settings.m_dead_record_lifetime &&
            members.m_host_list_at > peer.m_dead_since;
        if (is_expired)
        {
            members.m_pending_updates.erase(entry->first);
            entry = members.m_peers.erase(entry);
        }
        else
        {
            ++entry;
        }
    }
}

} // namespace hawthornspur::core
