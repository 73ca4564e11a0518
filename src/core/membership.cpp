#include "core/membership.hpp"

#include "core/membership_leaders.hpp"
#include "core/membership_pause.hpp"
#include "core/membership_probing.hpp"
#include "core/membership_state.hpp"
#include "core/membership_view.hpp"

#include <algorithm>
#include <cassert>
#include <utility>

namespace hawthornspur::core
{

namespace
{

constexpr std::size_t pings_after_state_change = 3;

// A new generation is announced immediately rather than with the regular pings,
// because most hosts do not watch the store themselves.
constexpr std::size_t pings_after_new_generation = 3;

// Reports the newest generation announced in a message. On a tie it names the
// sender, which is known to be reachable.
void report_generation(membership const& members,
                       membership_message const& message,
                       membership_effects& out)
{
    auto const* newest = &message.m_sender;
    for (auto const& record : message.m_updates)
    {
        if (record.m_name != members.m_self.m_name &&
            record.m_state != host_state::dead &&
            record.m_generation > newest->m_generation)
        {
            newest = &record;
        }
    }
    if (newest->m_generation > members.m_self.m_generation)
    {
        out.emplace_back(
            newer_generation_effect{newest->m_name, newest->m_generation});
    }
}

} // namespace

void membership_deleter::operator()(membership* members) const noexcept
{
    delete members;
}

membership_ptr make_membership(membership_settings settings, host_record self,
                               std::uint64_t random_seed, time_point now)
{
    assert(!self.m_name.empty());
    assert(settings.m_ping_interval > duration::zero());
    membership_ptr members{new membership};
    members->m_settings = settings;
    members->m_self = std::move(self);
    members->m_self.m_version =
        std::max<std::uint64_t>(members->m_self.m_version, 1);
    members->m_random.seed(random_seed);
    // A late ack for the previous process must not match a ping of this one.
    members->m_next_sequence = (members->m_random() >> 32U) + 1;
    members->m_started_at = now;
    members->m_host_list_at = now;
    members->m_last_run = now;
    // A random offset keeps hosts that start together from pinging in step.
    members->m_next_ping_at =
        now + duration(static_cast<duration::rep>(
                  members->m_random() %
                  static_cast<std::uint64_t>(
                      members->m_settings.m_ping_interval.count())));
    members->m_next_reconnect_at = members->m_next_ping_at;
    return members;
}

void on_host_list(membership& members, std::span<listed_host const> hosts,
                  time_point now, membership_effects& out)
{
    detect_pause(members, now, out);
    members.m_host_list.clear();
    members.m_host_list_at = now;
    for (auto const& host : hosts)
    {
        members.m_host_list[host.m_name] = host;
    }
    if (members.m_peers.empty())
    {
        ping_reconnect_candidate(members, now, out);
    }
}

void set_seeds(membership& members, std::vector<seed_address> seeds,
               time_point now, membership_effects& out)
{
    detect_pause(members, now, out);
    std::erase_if(seeds,
                  [&](seed_address const& seed)
                  {
                      return seed.m_address == members.m_self.m_address &&
                             seed.m_peer_port == members.m_self.m_peer_port;
                  });
    members.m_seeds = std::move(seeds);
    ping_seeds(members, now, out);
}

bool has_living_peer(membership const& members) noexcept
{
    return std::any_of(
        members.m_peers.begin(), members.m_peers.end(),
        [](auto const& entry)
        { return entry.second.m_record.m_state != host_state::dead; });
}

void on_message(membership& members, membership_message const& message,
                time_point now, membership_effects& out)
{
    detect_pause(members, now, out);
    merge_sender(members, message.m_sender, now, out);
    for (auto const& record : message.m_updates)
    {
        merge_record(members, record, now, out);
    }
    if (members.m_is_superseded ||
        message.m_sender.m_name == members.m_self.m_name)
    {
        return;
    }
    answer_message(members, message, now, out);
    report_generation(members, message, out);
}

void on_timer(membership& members, time_point now, membership_effects& out)
{
    detect_pause(members, now, out);
    if (members.m_is_superseded)
    {
        members.m_next_ping_at = now + members.m_settings.m_ping_interval;
        return;
    }
    check_probes(members, now, out);
    expire_suspicions(members, now, out);
    check_isolation_timeout(members, now, out);
    if (now < members.m_next_ping_at)
    {
        return;
    }
    // Intervals missed while the event loop was blocked are skipped.
    members.m_next_ping_at += members.m_settings.m_ping_interval;
    if (members.m_next_ping_at <= now)
    {
        members.m_next_ping_at = now + members.m_settings.m_ping_interval;
    }
    send_periodic_pings(members, now, out);
    auto const is_new_host =
        now < members.m_started_at + members.m_settings.m_new_host_period;
    if (is_new_host)
    {
        ping_seeds(members, now, out);
    }
    if (is_new_host || now >= members.m_next_reconnect_at)
    {
        members.m_next_reconnect_at =
            now + members.m_settings.m_reconnect_interval;
        ping_reconnect_candidate(members, now, out);
    }
}

std::optional<time_point> next_timer(membership const& members)
{
    auto next = members.m_next_ping_at;
    if (members.m_is_superseded)
    {
        return next;
    }
    for (auto const& probe : members.m_probes)
    {
        auto const timeout = members.m_settings.m_ack_timeout;
        next = std::min(next, probe.m_sent_at +
                                  (probe.m_is_indirect ? 2 : 1) * timeout);
    }
    for (auto const& name : members.m_suspects)
    {
        next = std::min(next, members.m_peers.at(name).m_suspicion_deadline);
    }
    return next;
}

void on_loop_iteration(membership& members, time_point now,
                       membership_effects& out)
{
    detect_pause(members, now, out);
}

void on_link_lost(membership& members, std::string const& host, time_point now,
                  membership_effects& out)
{
    detect_pause(members, now, out);
    if (!members.m_is_superseded)
    {
        start_probe(members, host, now, out);
    }
}

void announce_to(membership& members, std::span<std::string const> hosts,
                 time_point now, membership_effects& out)
{
    detect_pause(members, now, out);
    if (!members.m_is_superseded)
    {
        ping_hosts(members, hosts, now, out);
    }
}

void set_self(membership& members, host_state state, std::uint64_t generation,
              std::uint64_t once_epoch, time_point now, membership_effects& out)
{
    detect_pause(members, now, out);
    auto& own = members.m_self;
    auto const has_new_state = own.m_state != state;
    if (!has_new_state && own.m_generation == generation &&
        own.m_once_epoch == once_epoch)
    {
        return;
    }
    bool const has_new_generation = own.m_generation != generation;
    if (has_new_state)
    {
        invalidate_leaders(members);
    }
    own.m_state = state;
    own.m_generation = generation;
    own.m_once_epoch = once_epoch;
    ++own.m_version;
    if (members.m_is_superseded)
    {
        return;
    }
    if (has_new_state)
    {
        ping_some(members, pings_after_state_change, now, out);
    }
    else if (has_new_generation)
    {
        ping_some(members, pings_after_new_generation, now, out);
    }
}

bool is_isolated(membership const& members) noexcept
{
    return members.m_is_isolated;
}

bool is_superseded(membership const& members) noexcept
{
    return members.m_is_superseded;
}

host_record const& self(membership const& members) noexcept
{
    return members.m_self;
}

std::vector<host_record> hosts(membership const& members)
{
    std::vector<host_record> records;
    records.reserve(members.m_peers.size());
    for (auto const& [name, peer] : members.m_peers)
    {
        records.push_back(peer.m_record);
    }
    return records;
}

} // namespace hawthornspur::core
