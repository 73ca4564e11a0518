#include "core/membership_probing.hpp"

#include "core/membership_delegates.hpp"
#include "core/membership_gossip.hpp"
#include "core/membership_pause.hpp"
#include "core/membership_state.hpp"
#include "core/membership_view.hpp"

#include <algorithm>
#include <utility>

namespace hawthornspur::core
{

namespace
{

// Bounds memory and messages when many hosts ask for indirect probes at once.
constexpr std::size_t max_relayed = 64;

constexpr std::size_t extra_pings_when_isolated = 2;

// A zone is often lost as a whole, but only its delegates are pinged from
// other zones. With a few more probes after each miss the loss is found in
// steps that grow, instead of two hosts at a time.
constexpr std::size_t probes_after_miss_in_other_zone = 3;

void send_ping(membership& m, host_record const& to, std::uint64_t sequence,
               time_point now, membership_effects& out)
{
    out.emplace_back(send_effect{to.m_address, to.m_peer_port,
                                 make_message(m, membership_message_kind::ping,
                                              sequence, to.m_name, now)});
}

template <class Predicate>
std::vector<std::string> names_where(membership const& m, Predicate predicate)
{
    std::vector<std::string> names;
    for (auto const& [name, p] : m.m_peers)
    {
        if (predicate(p))
        {
            names.push_back(name);
        }
    }
    return names;
}

bool is_dead(peer const& p)
{
    return p.m_record.m_state == host_state::dead;
}

// The next name of a round; at its end a new round is shuffled.
template <class Refill>
std::optional<std::string> next_in_round(membership& m, ping_round& round,
                                         Refill refill)
{
    // A second turn, since all names left in the round may have died.
    for (int turn = 0; turn < 2; ++turn)
    {
        while (round.m_next < round.m_names.size())
        {
            auto const& name = round.m_names[round.m_next++];
            auto const known = m.m_peers.find(name);
            if (known != m.m_peers.end() && !is_dead(known->second))
            {
                return name;
            }
        }
        round.m_names = refill();
        round.m_next = 0;
        std::shuffle(round.m_names.begin(), round.m_names.end(), m.m_random);
    }
    return std::nullopt;
}

void ask_helpers(membership& m, probe const& p, time_point now,
                 membership_effects& out)
{
    auto const subject = m.m_peers.find(p.m_subject);
    if (subject == m.m_peers.end())
    {
        return;
    }
    auto const zone = subject->second.m_record.m_zone;
    auto helpers = names_where(
        m,
        [&](peer const& each)
        {
            auto const& record = each.m_record;
            return record.m_name != p.m_subject &&
                   (record.m_state == host_state::live ||
                    record.m_state == host_state::joining) &&
                   (record.m_zone == zone || record.m_zone == m.m_self.m_zone);
        });
    std::shuffle(helpers.begin(), helpers.end(), m.m_random);
    auto const count = std::min(
        helpers.size(),
        static_cast<std::size_t>(std::max(m.m_settings.m_indirect_probes, 0)));
    for (std::size_t i = 0; i < count; ++i)
    {
        auto const& to = m.m_peers.at(helpers[i]).m_record;
        auto request = make_message(m, membership_message_kind::ping_request,
                                    p.m_sequence, to.m_name, now);
        request.m_subject = p.m_subject;
        out.emplace_back(
            send_effect{to.m_address, to.m_peer_port, std::move(request)});
    }
}

void relay_request(membership& m, membership_message const& message,
                   time_point now, membership_effects& out)
{
    std::erase_if(m.m_relayed, [&](relayed_ping const& each)
                  { return now >= each.m_expires_at; });
    auto const subject = m.m_peers.find(message.m_subject);
    if (subject == m.m_peers.end() || m.m_relayed.size() >= max_relayed)
    {
        return;
    }
    auto const sequence = m.m_next_sequence++;
    m.m_relayed.push_back({sequence, message.m_subject, message.m_sender.m_name,
                           message.m_sender.m_address,
                           message.m_sender.m_peer_port, message.m_sequence,
                           now + 2 * m.m_settings.m_ack_timeout});
    send_ping(m, subject->second.m_record, sequence, now, out);
}

void relay_ack(membership& m, membership_message const& message, time_point now,
               membership_effects& out)
{
    auto const found =
        std::find_if(m.m_relayed.begin(), m.m_relayed.end(),
                     [&](relayed_ping const& each)
                     {
                         return each.m_sequence == message.m_sequence &&
                                each.m_subject == message.m_sender.m_name;
                     });
    if (found == m.m_relayed.end())
    {
        return;
    }
    auto const relayed = std::move(*found);
    m.m_relayed.erase(found);
    auto ack = make_message(m, membership_message_kind::ack,
                            relayed.m_origin_sequence, relayed.m_origin, now);
    ack.m_subject = relayed.m_subject;
    out.emplace_back(send_effect{relayed.m_origin_address,
                                 relayed.m_origin_port, std::move(ack)});
}

void take_ack(membership& m, membership_message const& message, time_point now,
              membership_effects& out)
{
    auto const& subject =
        message.m_subject.empty() ? message.m_sender.m_name : message.m_subject;
    std::erase_if(m.m_probes,
                  [&](probe const& p) {
                      return p.m_sequence == message.m_sequence &&
                             p.m_subject == subject;
                  });
    relay_ack(m, message, now, out);
    note_ack(m, message.m_sequence, out);
}

void probe_rest_of_zone(membership& m, std::string const& missed,
                        time_point now, membership_effects& out)
{
    auto const known = m.m_peers.find(missed);
    if (known == m.m_peers.end() ||
        known->second.m_record.m_zone == m.m_self.m_zone)
    {
        return;
    }
    auto const zone = known->second.m_record.m_zone;
    auto rest =
        names_where(m,
                    [&](peer const& p)
                    {
                        return p.m_record.m_zone == zone && !is_dead(p) &&
                               p.m_record.m_state != host_state::suspected;
                    });
    std::shuffle(rest.begin(), rest.end(), m.m_random);
    rest.resize(std::min(rest.size(), probes_after_miss_in_other_zone));
    for (auto const& name : rest)
    {
        start_probe(m, name, now, out);
    }
}

void ping_own_suspect(membership& m, time_point now, membership_effects& out)
{
    auto const suspects =
        names_where(m,
                    [](peer const& p) {
                        return p.m_found_here &&
                               p.m_record.m_state == host_state::suspected;
                    });
    if (!suspects.empty())
    {
        auto const& name = suspects[m.m_random() % suspects.size()];
        send_ping(m, m.m_peers.at(name).m_record, m.m_next_sequence++, now,
                  out);
    }
}

} // namespace

void start_probe(membership& m, std::string const& name, time_point now,
                 membership_effects& out)
{
    auto const known = m.m_peers.find(name);
    auto const is_awaited =
        std::any_of(m.m_probes.begin(), m.m_probes.end(),
                    [&](probe const& p) { return p.m_subject == name; });
    if (known == m.m_peers.end() || is_dead(known->second) || is_awaited)
    {
        return;
    }
    auto const sequence = m.m_next_sequence++;
    m.m_probes.push_back({name, sequence, now, false});
    send_ping(m, known->second.m_record, sequence, now, out);
}

void ping_some(membership& m, std::size_t count, time_point now,
               membership_effects& out)
{
    auto names = names_where(m, [](peer const& p) { return !is_dead(p); });
    std::shuffle(names.begin(), names.end(), m.m_random);
    std::stable_partition(
        names.begin(), names.end(),
        [&](std::string const& name)
        { return m.m_peers.at(name).m_record.m_zone == m.m_self.m_zone; });
    names.resize(std::min(names.size(), count));
    for (auto const& name : names)
    {
        send_ping(m, m.m_peers.at(name).m_record, m.m_next_sequence++, now,
                  out);
    }
}

void ping_unheard(membership& m, time_point now, membership_effects& out)
{
    std::map<std::string, host_record> unheard;
    for (auto const& [name, p] : m.m_peers)
    {
        if (is_dead(p))
        {
            unheard[name] = p.m_record;
        }
    }
    for (auto const& [name, listed] : m.m_listed)
    {
        auto const known = m.m_peers.find(name);
        if (name != m.m_self.m_name && !listed.m_leaving &&
            (known == m.m_peers.end() || is_dead(known->second)))
        {
            auto& record = unheard[name];
            record.m_name = name;
            record.m_address = listed.m_address;
            record.m_peer_port = listed.m_peer_port;
        }
    }
    if (!unheard.empty())
    {
        auto const index =
            static_cast<std::ptrdiff_t>(m.m_random() % unheard.size());
        send_ping(m, std::next(unheard.begin(), index)->second,
                  m.m_next_sequence++, now, out);
    }
}

void run_round(membership& m, time_point now, membership_effects& out)
{
    auto const neighbour = next_in_round(
        m, m.m_zone_round,
        [&]
        {
            return names_where(m,
                               [&](peer const& p) {
                                   return !is_dead(p) &&
                                          p.m_record.m_zone == m.m_self.m_zone;
                               });
        });
    if (neighbour)
    {
        start_probe(m, *neighbour, now, out);
    }
    if (is_delegate(m))
    {
        auto const other = next_in_round(m, m.m_delegate_round,
                                         [&] { return other_delegates(m); });
        if (other)
        {
            start_probe(m, *other, now, out);
        }
    }
    ping_own_suspect(m, now, out);
    if (m.m_is_isolated)
    {
        ping_some(m, extra_pings_when_isolated, now, out);
    }
}

void check_probes(membership& m, time_point now, membership_effects& out)
{
    auto const timeout = m.m_settings.m_ack_timeout;
    std::vector<probe> missed;
    std::erase_if(m.m_probes,
                  [&](probe const& p)
                  {
                      if (now < p.m_sent_at + 2 * timeout)
                      {
                          return false;
                      }
                      missed.push_back(p);
                      return true;
                  });
    for (auto& p : m.m_probes)
    {
        if (!p.m_is_indirect && now >= p.m_sent_at + timeout)
        {
            p.m_is_indirect = true;
            ask_helpers(m, p, now, out);
        }
    }
    for (auto const& p : missed)
    {
        suspect(m, p.m_subject, p.m_sent_at + timeout, now, out);
        probe_rest_of_zone(m, p.m_subject, now, out);
        auto const known = m.m_peers.find(p.m_subject);
        if (known != m.m_peers.end() && known->second.m_found_here)
        {
            // The suspect learns of the suspicion and can refute it.
            send_ping(m, known->second.m_record, m.m_next_sequence++, now, out);
        }
    }
}

void answer_message(membership& m, membership_message const& message,
                    time_point now, membership_effects& out)
{
    switch (message.m_kind)
    {
    case membership_message_kind::ping:
        out.emplace_back(send_effect{
            message.m_sender.m_address, message.m_sender.m_peer_port,
            make_message(m, membership_message_kind::ack, message.m_sequence,
                         message.m_sender.m_name, now)});
        return;
    case membership_message_kind::ping_request:
        relay_request(m, message, now, out);
        return;
    case membership_message_kind::ack:
        take_ack(m, message, now, out);
        return;
    }
}

} // namespace hawthornspur::core
