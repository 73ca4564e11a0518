#include "core/membership.hpp"

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

// A new generation spreads at once instead of with the regular pings: most
// hosts do not follow the store themselves.
constexpr std::size_t pings_after_new_generation = 3;

// Reports the newest generation in a message, preferably that of the sender,
// which is known to be reachable.
void report_generation(membership const& m, membership_message const& message,
                       membership_effects& out)
{
    auto const* newest = &message.m_sender;
    for (auto const& record : message.m_updates)
    {
        if (record.m_name != m.m_self.m_name &&
            record.m_state != host_state::dead &&
            record.m_generation > newest->m_generation)
        {
            newest = &record;
        }
    }
    if (newest->m_generation > m.m_self.m_generation)
    {
        out.emplace_back(
            newer_generation_effect{newest->m_name, newest->m_generation});
    }
}

} // namespace

void membership_deleter::operator()(membership* m) const noexcept
{
    delete m;
}

membership_ptr make_membership(membership_settings settings, host_record self,
                               std::uint64_t random_seed, time_point now)
{
    assert(!self.m_name.empty());
    assert(settings.m_ping_interval > duration::zero());
    membership_ptr m{new membership};
    m->m_settings = settings;
    m->m_self = std::move(self);
    m->m_self.m_version = std::max<std::uint64_t>(m->m_self.m_version, 1);
    m->m_random.seed(random_seed);
    // A late ack to the process before must not match a ping of this one.
    m->m_next_sequence = (m->m_random() >> 32U) + 1;
    m->m_started_at = now;
    m->m_listed_at = now;
    m->m_last_run = now;
    // Hosts that start together must not ping together.
    m->m_next_round =
        now + duration(static_cast<duration::rep>(
                  m->m_random() % static_cast<std::uint64_t>(
                                      m->m_settings.m_ping_interval.count())));
    m->m_next_reconnect = m->m_next_round;
    return m;
}

void on_host_list(membership& m, std::span<listed_host const> hosts,
                  time_point now, membership_effects& out)
{
    note_run(m, now, out);
    m.m_listed.clear();
    m.m_listed_at = now;
    for (auto const& host : hosts)
    {
        m.m_listed[host.m_name] = host;
    }
    if (m.m_peers.empty())
    {
        ping_unheard(m, now, out);
    }
}

void on_message(membership& m, membership_message const& message,
                time_point now, membership_effects& out)
{
    note_run(m, now, out);
    merge_sender(m, message.m_sender, now, out);
    for (auto const& record : message.m_updates)
    {
        merge_record(m, record, now, out);
    }
    if (m.m_is_superseded || message.m_sender.m_name == m.m_self.m_name)
    {
        return;
    }
    answer_message(m, message, now, out);
    report_generation(m, message, out);
}

void on_timer(membership& m, time_point now, membership_effects& out)
{
    note_run(m, now, out);
    if (m.m_is_superseded)
    {
        m.m_next_round = now + m.m_settings.m_ping_interval;
        return;
    }
    check_probes(m, now, out);
    end_suspicions(m, now, out);
    check_alone(m, now, out);
    if (now < m.m_next_round)
    {
        return;
    }
    // Intervals missed while the loop stood still are not made up for.
    m.m_next_round += m.m_settings.m_ping_interval;
    if (m.m_next_round <= now)
    {
        m.m_next_round = now + m.m_settings.m_ping_interval;
    }
    run_round(m, now, out);
    auto const is_new = now < m.m_started_at + m.m_settings.m_newcomer_time;
    if (is_new || now >= m.m_next_reconnect)
    {
        m.m_next_reconnect = now + m.m_settings.m_reconnect_interval;
        ping_unheard(m, now, out);
    }
}

std::optional<time_point> next_timer(membership const& m)
{
    auto next = m.m_next_round;
    if (m.m_is_superseded)
    {
        return next;
    }
    for (auto const& p : m.m_probes)
    {
        auto const timeout = m.m_settings.m_ack_timeout;
        next =
            std::min(next, p.m_sent_at + (p.m_is_indirect ? 2 : 1) * timeout);
    }
    for (auto const& [name, p] : m.m_peers)
    {
        if (p.m_record.m_state == host_state::suspected)
        {
            next = std::min(next, p.m_death_at);
        }
    }
    return next;
}

void on_loop_iteration(membership& m, time_point now, membership_effects& out)
{
    note_run(m, now, out);
}

void on_link_lost(membership& m, std::string const& host, time_point now,
                  membership_effects& out)
{
    note_run(m, now, out);
    if (!m.m_is_superseded)
    {
        start_probe(m, host, now, out);
    }
}

void set_self(membership& m, host_state state, std::uint64_t generation,
              std::uint64_t once_epoch, time_point now, membership_effects& out)
{
    note_run(m, now, out);
    auto& own = m.m_self;
    auto const has_new_state = own.m_state != state;
    if (!has_new_state && own.m_generation == generation &&
        own.m_once_epoch == once_epoch)
    {
        return;
    }
    bool const has_new_generation = own.m_generation != generation;
    own.m_state = state;
    own.m_generation = generation;
    own.m_once_epoch = once_epoch;
    ++own.m_version;
    if (m.m_is_superseded)
    {
        return;
    }
    if (has_new_state)
    {
        ping_some(m, pings_after_state_change, now, out);
    }
    else if (has_new_generation)
    {
        ping_some(m, pings_after_new_generation, now, out);
    }
}

bool is_isolated(membership const& m) noexcept
{
    return m.m_is_isolated;
}

bool is_superseded(membership const& m) noexcept
{
    return m.m_is_superseded;
}

host_record const& self(membership const& m) noexcept
{
    return m.m_self;
}

std::vector<host_record> hosts(membership const& m)
{
    std::vector<host_record> records;
    records.reserve(m.m_peers.size());
    for (auto const& [name, p] : m.m_peers)
    {
        records.push_back(p.m_record);
    }
    return records;
}

} // namespace hawthornspur::core
