#include "core/membership_pause.hpp"

#include "core/membership_probing.hpp"
#include "core/membership_state.hpp"

#include <algorithm>

namespace hawthornspur::core
{

namespace
{

// Timers that fire within this time of their deadline are not late.
constexpr duration tolerated_lateness = std::chrono::milliseconds(20);

constexpr std::size_t pings_after_pause = 3;

void postpone_deadlines(membership& members, duration lateness)
{
    for (auto& probe : members.m_probes)
    {
        probe.m_sent_at += lateness;
    }
    for (auto& [name, peer] : members.m_peers)
    {
        peer.m_suspicion_deadline += lateness;
    }
}

void begin_isolation(membership& members, time_point now,
                     membership_effects& out)
{
    // Other hosts may have suspected this host or taken over its pools. It
    // rejoins with a new version and discards probes and updates, which are
    // outdated.
    ++members.m_self.m_version;
    members.m_probes.clear();
    members.m_relayed_pings.clear();
    members.m_pending_updates.clear();
    for (auto& [name, peer] : members.m_peers)
    {
        peer.m_suspicion_deadline =
            now + members.m_settings.m_suspicion_timeout;
    }
    // Acks buffered by the socket since before the pause do not show that a
    // peer is reachable now.
    members.m_first_sequence_after_pause = members.m_next_sequence;
    members.m_isolated_since = now;
    if (!members.m_is_isolated)
    {
        members.m_is_isolated = true;
        out.emplace_back(isolation_effect{true});
    }
    ping_some(members, pings_after_pause, now, out);
}

void end_isolation(membership& members, membership_effects& out)
{
    members.m_is_isolated = false;
    out.emplace_back(isolation_effect{false});
}

} // namespace

void detect_pause(membership& members, time_point now, membership_effects& out)
{
    auto const next_deadline = next_timer(members);
    auto const last_run = members.m_last_run;
    auto const time_since_last_run = now - last_run;
    members.m_last_run = std::max(members.m_last_run, now);
    if (members.m_is_superseded)
    {
        return;
    }
    if (time_since_last_run > members.m_settings.m_pause_limit &&
        has_living_peer(members))
    {
        begin_isolation(members, now, out);
    }
    else if (next_deadline &&
             now > std::max(*next_deadline, last_run) + tolerated_lateness)
    {
        postpone_deadlines(members, now - std::max(*next_deadline, last_run));
    }
}

void record_ack(membership& members, std::uint64_t sequence,
                membership_effects& out)
{
    if (sequence >= members.m_next_sequence)
    {
        return;
    }
    members.m_has_received_ack = true;
    if (members.m_is_isolated && !members.m_is_superseded &&
        sequence >= members.m_first_sequence_after_pause)
    {
        end_isolation(members, out);
    }
}

void check_isolation_timeout(membership& members, time_point now,
                             membership_effects& out)
{
    if (!members.m_is_isolated || members.m_is_superseded ||
        now < members.m_isolated_since + members.m_settings.m_isolation_timeout)
    {
        return;
    }
    auto const has_peer_in_zone =
        std::any_of(members.m_peers.begin(), members.m_peers.end(),
                    [&](auto const& entry)
                    {
                        auto const& record = entry.second.m_record;
                        return record.m_zone == members.m_self.m_zone &&
                               record.m_state != host_state::dead;
                    });
    if (!has_peer_in_zone)
    {
        end_isolation(members, out);
    }
}

} // namespace hawthornspur::core
