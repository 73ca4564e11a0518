#include "core/membership_view.hpp"

#include "core/host_record_order.hpp"
#include "core/membership_gossip.hpp"
#include "core/membership_state.hpp"

#include <algorithm>

namespace hawthornspur::core
{

namespace
{

bool differs_beyond_version(host_record const& a, host_record const& b)
{
    return a.m_state != b.m_state || a.m_incarnation != b.m_incarnation ||
           a.m_generation != b.m_generation ||
           a.m_once_epoch != b.m_once_epoch || a.m_zone != b.m_zone ||
           a.m_address != b.m_address || a.m_peer_port != b.m_peer_port ||
           a.m_caller_port != b.m_caller_port;
}

// Changes that decide about owners or reachability are passed on until nearly
// every host has them; others reach the rest with the records that fill
// messages.
change_weight weight_of(host_record const& before, host_record const& after)
{
    return before.m_state != after.m_state ||
                   before.m_incarnation != after.m_incarnation ||
                   before.m_address != after.m_address ||
                   before.m_peer_port != after.m_peer_port
               ? change_weight::urgent
               : change_weight::minor;
}

void refute(membership& m, host_record const& record)
{
    auto& own = m.m_self;
    if (record.m_incarnation != own.m_incarnation)
    {
        // A record of an earlier process with this name, or of a later one.
        if (record.m_version < own.m_version)
        {
            return;
        }
        if (m.m_is_isolated && m.m_is_established &&
            start_order(record.m_version) > start_order(own.m_version))
        {
            m.m_is_superseded = true;
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

// Who only heard of a suspicion waits longer than who found it, since the
// refutation reaches the finder first. The wait still ends when the finder
// dies too.
constexpr int heard_suspicion_factor = 3;

void follow_state(membership const& m, peer& p, host_state before,
                  time_point now)
{
    auto const state = p.m_record.m_state;
    if (state == host_state::suspected)
    {
        p.m_death_at =
            now + heard_suspicion_factor * m.m_settings.m_suspicion_timeout;
    }
    if (state == host_state::dead && before != host_state::dead)
    {
        p.m_dead_since = now;
    }
    if (state != host_state::dead && before == host_state::dead)
    {
        p.m_appeared_at = now;
    }
    p.m_found_here = false;
}

} // namespace

void merge_record(membership& m, host_record const& record, time_point now,
                  membership_effects& out)
{
    if (record.m_name == m.m_self.m_name)
    {
        refute(m, record);
        return;
    }
    auto const known = m.m_peers.find(record.m_name);
    if (known == m.m_peers.end())
    {
        if (record.m_state == host_state::dead)
        {
            return;
        }
        auto& added = m.m_peers[record.m_name];
        added.m_record = record;
        added.m_appeared_at = now;
        follow_state(m, added, record.m_state, now);
        enqueue_update(m, record.m_name, change_weight::urgent);
        out.emplace_back(host_changed_effect{record});
        return;
    }
    auto& p = known->second;
    if (!is_newer(record, p.m_record))
    {
        return;
    }
    auto const before = std::move(p.m_record);
    p.m_record = record;
    p.m_confirmed = false;
    follow_state(m, p, before.m_state, now);
    enqueue_update(m, record.m_name, weight_of(before, record));
    if (differs_beyond_version(before, record))
    {
        out.emplace_back(host_changed_effect{record});
    }
}

void merge_sender(membership& m, host_record const& sender, time_point now,
                  membership_effects& out)
{
    merge_record(m, sender, now, out);
    auto const known = m.m_peers.find(sender.m_name);
    if (known != m.m_peers.end())
    {
        auto const& record = known->second.m_record;
        known->second.m_confirmed =
            record.m_version == sender.m_version &&
            record.m_incarnation == sender.m_incarnation &&
            record.m_state == sender.m_state;
    }
}

void suspect(membership& m, std::string const& name, time_point missed_at,
             time_point now, membership_effects& out)
{
    auto const known = m.m_peers.find(name);
    if (known == m.m_peers.end() ||
        known->second.m_record.m_state == host_state::dead)
    {
        return;
    }
    auto& p = known->second;
    if (p.m_record.m_state != host_state::suspected)
    {
        auto record = p.m_record;
        record.m_state = host_state::suspected;
        merge_record(m, record, now, out);
    }
    p.m_death_at =
        std::min(p.m_death_at, missed_at + m.m_settings.m_suspicion_timeout);
    p.m_found_here = true;
}

void end_suspicions(membership& m, time_point now, membership_effects& out)
{
    for (auto where = m.m_peers.begin(); where != m.m_peers.end();)
    {
        auto& p = where->second;
        if (p.m_record.m_state == host_state::suspected && now >= p.m_death_at)
        {
            auto record = p.m_record;
            record.m_state = host_state::dead;
            merge_record(m, record, now, out);
        }
        // While no host list has arrived since the death, the record is the
        // only way to find the host again after a long partition.
        auto const is_forgotten =
            p.m_record.m_state == host_state::dead &&
            now >= p.m_dead_since + m.m_settings.m_dead_record_lifetime &&
            m.m_listed_at > p.m_dead_since;
        if (is_forgotten)
        {
            m.m_pending.erase(where->first);
            where = m.m_peers.erase(where);
        }
        else
        {
            ++where;
        }
    }
}

} // namespace hawthornspur::core
