#include "core/membership_pause.hpp"

#include "core/membership_probing.hpp"
#include "core/membership_state.hpp"

#include <algorithm>

namespace hawthornspur::core
{

namespace
{

// Below this, lateness is the normal spread of timers.
constexpr duration tolerated_lateness = std::chrono::milliseconds(20);

constexpr std::size_t pings_after_pause = 3;

bool has_peer(membership const& m)
{
    return std::any_of(
        m.m_peers.begin(), m.m_peers.end(),
        [](auto const& entry)
        { return entry.second.m_record.m_state != host_state::dead; });
}

void postpone_deadlines(membership& m, duration lateness)
{
    for (auto& each : m.m_probes)
    {
        each.m_sent_at += lateness;
    }
    for (auto& [name, p] : m.m_peers)
    {
        p.m_death_at += lateness;
    }
}

void isolate(membership& m, time_point now, membership_effects& out)
{
    // The others may have suspected this host or taken over its pools: it
    // rejoins as if it were new, and what it was about to pass on is old.
    ++m.m_self.m_version;
    m.m_probes.clear();
    m.m_relayed.clear();
    m.m_pending.clear();
    for (auto& [name, p] : m.m_peers)
    {
        p.m_death_at = now + m.m_settings.m_suspicion_timeout;
    }
    // Acks that wait in the socket since before the pause prove nothing.
    m.m_first_fresh_sequence = m.m_next_sequence;
    m.m_isolated_since = now;
    if (!m.m_is_isolated)
    {
        m.m_is_isolated = true;
        out.emplace_back(isolation_effect{true});
    }
    ping_some(m, pings_after_pause, now, out);
}

void end_isolation(membership& m, membership_effects& out)
{
    m.m_is_isolated = false;
    out.emplace_back(isolation_effect{false});
}

} // namespace

void note_run(membership& m, time_point now, membership_effects& out)
{
    auto const due = next_timer(m);
    auto const last_run = m.m_last_run;
    auto const stood_still = now - last_run;
    m.m_last_run = std::max(m.m_last_run, now);
    if (m.m_is_superseded)
    {
        return;
    }
    if (stood_still > m.m_settings.m_pause_limit && has_peer(m))
    {
        isolate(m, now, out);
    }
    else if (due && now > std::max(*due, last_run) + tolerated_lateness)
    {
        postpone_deadlines(m, now - std::max(*due, last_run));
    }
}

void note_ack(membership& m, std::uint64_t sequence, membership_effects& out)
{
    if (sequence >= m.m_next_sequence)
    {
        return;
    }
    m.m_is_established = true;
    if (m.m_is_isolated && !m.m_is_superseded &&
        sequence >= m.m_first_fresh_sequence)
    {
        end_isolation(m, out);
    }
}

void check_alone(membership& m, time_point now, membership_effects& out)
{
    if (!m.m_is_isolated || m.m_is_superseded ||
        now < m.m_isolated_since + m.m_settings.m_alone_timeout)
    {
        return;
    }
    auto const has_neighbour =
        std::any_of(m.m_peers.begin(), m.m_peers.end(),
                    [&](auto const& entry)
                    {
                        auto const& record = entry.second.m_record;
                        return record.m_zone == m.m_self.m_zone &&
                               record.m_state != host_state::dead;
                    });
    if (!has_neighbour)
    {
        end_isolation(m, out);
    }
}

} // namespace hawthornspur::core
