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

// Limits memory and messages when many hosts request indirect probes at once.
constexpr std::size_t max_relayed_pings = 64;

constexpr std::size_t extra_pings_when_isolated = 2;

// Other zones ping only the delegates of a zone, but a zone often fails as a
// whole. Probing more of its hosts after each missed ack detects the failure in
// growing steps instead of two hosts at a time.
constexpr std::size_t probes_after_missed_ack_in_other_zone = 3;

void send_ping(membership& members, host_record const& recipient,
               std::uint64_t sequence, time_point now, membership_effects& out)
{
    out.emplace_back(
        send_effect{recipient.m_address, recipient.m_peer_port,
                    make_message(members, membership_message_kind::ping,
                                 sequence, recipient.m_name, now)});
}

template <class Predicate>
std::vector<std::string> names_where(membership const& members,
                                     Predicate predicate)
{
    std::vector<std::string> names;
    for (auto const& [name, peer] : members.m_peers)
    {
        if (predicate(peer))
        {
            names.push_back(name);
        }
    }
    return names;
}

bool is_dead(peer_state const& peer)
{
    return peer.m_record.m_state == host_state::dead;
}

// The seeds whose addresses belong to no living host of the view, as records
// without a name.
std::vector<host_record> unknown_seeds(membership const& members)
{
    std::vector<host_record> unknown;
    for (auto const& seed : members.m_seeds)
    {
        bool const is_known = std::any_of(
            members.m_peers.begin(), members.m_peers.end(),
            [&](auto const& entry)
            {
                return !is_dead(entry.second) &&
                       entry.second.m_record.m_address == seed.m_address &&
                       entry.second.m_record.m_peer_port == seed.m_peer_port;
            });
        if (!is_known)
        {
            auto& record = unknown.emplace_back();
            record.m_address = seed.m_address;
            record.m_peer_port = seed.m_peer_port;
        }
    }
    return unknown;
}

// Returns the next host of the round that is not dead. After the last name, the
// round starts again with a newly shuffled list.
template <class Refill>
std::optional<std::string> next_in_round(membership& members, ping_round& round,
                                         Refill refill)
{
    // Two passes: all remaining hosts of the current round may be dead.
    for (int pass = 0; pass < 2; ++pass)
    {
        while (round.m_next < round.m_names.size())
        {
            auto const& name = round.m_names[round.m_next++];
            auto const known = members.m_peers.find(name);
            if (known != members.m_peers.end() && !is_dead(known->second))
            {
                return name;
            }
        }
        round.m_names = refill();
        round.m_next = 0;
        std::shuffle(round.m_names.begin(), round.m_names.end(),
                     members.m_random);
    }
    return std::nullopt;
}

void request_indirect_probes(membership& members, pending_probe const& probe,
                             time_point now, membership_effects& out)
{
    auto const subject = members.m_peers.find(probe.m_subject);
    if (subject == members.m_peers.end())
    {
        return;
    }
    // The direct ping is repeated, because a lost datagram is far more likely
    // than a dead host.
    send_ping(members, subject->second.m_record, probe.m_sequence, now, out);
    auto const subject_zone = subject->second.m_record.m_zone;
    auto helpers =
        names_where(members,
                    [&](peer_state const& peer)
                    {
                        auto const& record = peer.m_record;
                        return record.m_name != probe.m_subject &&
                               (record.m_state == host_state::live ||
                                record.m_state == host_state::joining);
                    });
    std::shuffle(helpers.begin(), helpers.end(), members.m_random);
    // Helpers in the zone of this host or of the subject are preferred.
    std::stable_partition(helpers.begin(), helpers.end(),
                          [&](std::string const& name)
                          {
                              auto const& helper_zone =
                                  members.m_peers.at(name).m_record.m_zone;
                              return helper_zone == subject_zone ||
                                     helper_zone == members.m_self.m_zone;
                          });
    auto const count =
        std::min(helpers.size(), static_cast<std::size_t>(std::max(
                                     members.m_settings.m_indirect_probes, 0)));
    for (std::size_t i = 0; i < count; ++i)
    {
        auto const& helper = members.m_peers.at(helpers[i]).m_record;
        auto request =
            make_message(members, membership_message_kind::ping_request,
                         probe.m_sequence, helper.m_name, now);
        request.m_subject = probe.m_subject;
        out.emplace_back(send_effect{helper.m_address, helper.m_peer_port,
                                     std::move(request)});
    }
}

void relay_ping_request(membership& members, membership_message const& message,
                        time_point now, membership_effects& out)
{
    std::erase_if(members.m_relayed_pings, [&](relayed_ping const& relayed)
                  { return now >= relayed.m_expires_at; });
    auto const subject = members.m_peers.find(message.m_subject);
    if (subject == members.m_peers.end() ||
        members.m_relayed_pings.size() >= max_relayed_pings)
    {
        return;
    }
    auto const sequence = members.m_next_sequence++;
    members.m_relayed_pings.push_back(
        {sequence, message.m_subject, message.m_sender.m_name,
         message.m_sender.m_address, message.m_sender.m_peer_port,
         message.m_sequence, now + 2 * members.m_settings.m_ack_timeout});
    send_ping(members, subject->second.m_record, sequence, now, out);
}

void relay_ack(membership& members, membership_message const& message,
               time_point now, membership_effects& out)
{
    auto const found = std::find_if(
        members.m_relayed_pings.begin(), members.m_relayed_pings.end(),
        [&](relayed_ping const& relayed)
        {
            return relayed.m_sequence == message.m_sequence &&
                   relayed.m_subject == message.m_sender.m_name;
        });
    if (found == members.m_relayed_pings.end())
    {
        return;
    }
    auto const relayed = std::move(*found);
    members.m_relayed_pings.erase(found);
    auto ack = make_message(members, membership_message_kind::ack,
                            relayed.m_origin_sequence, relayed.m_origin, now);
    ack.m_subject = relayed.m_subject;
    out.emplace_back(send_effect{relayed.m_origin_address,
                                 relayed.m_origin_port, std::move(ack)});
}

void handle_ack(membership& members, membership_message const& message,
                time_point now, membership_effects& out)
{
    auto const& subject =
        message.m_subject.empty() ? message.m_sender.m_name : message.m_subject;
    std::erase_if(members.m_probes,
                  [&](pending_probe const& probe)
                  {
                      return probe.m_sequence == message.m_sequence &&
                             probe.m_subject == subject;
                  });
    relay_ack(members, message, now, out);
    record_ack(members, message.m_sequence, out);
}

void probe_other_hosts_of_zone(membership& members,
                               std::string const& missed_host, time_point now,
                               membership_effects& out)
{
    auto const known = members.m_peers.find(missed_host);
    if (known == members.m_peers.end() ||
        known->second.m_record.m_zone == members.m_self.m_zone)
    {
        return;
    }
    auto const zone = known->second.m_record.m_zone;
    auto other_hosts =
        names_where(members,
                    [&](peer_state const& peer)
                    {
                        return peer.m_record.m_zone == zone && !is_dead(peer) &&
                               peer.m_record.m_state != host_state::suspected;
                    });
    std::shuffle(other_hosts.begin(), other_hosts.end(), members.m_random);
    other_hosts.resize(
        std::min(other_hosts.size(), probes_after_missed_ack_in_other_zone));
    for (auto const& name : other_hosts)
    {
        start_probe(members, name, now, out);
    }
}

void ping_local_suspect(membership& members, time_point now,
                        membership_effects& out)
{
    auto const suspects =
        names_where(members,
                    [](peer_state const& peer)
                    {
                        return peer.m_is_locally_suspected &&
                               peer.m_record.m_state == host_state::suspected;
                    });
    if (!suspects.empty())
    {
        auto const& name = suspects[members.m_random() % suspects.size()];
        send_ping(members, members.m_peers.at(name).m_record,
                  members.m_next_sequence++, now, out);
    }
}

} // namespace

void start_probe(membership& members, std::string const& name, time_point now,
                 membership_effects& out)
{
    auto const known = members.m_peers.find(name);
    auto const is_pending = std::any_of(
        members.m_probes.begin(), members.m_probes.end(),
        [&](pending_probe const& probe) { return probe.m_subject == name; });
    if (known == members.m_peers.end() || is_dead(known->second) || is_pending)
    {
        return;
    }
    auto const sequence = members.m_next_sequence++;
    members.m_probes.push_back({name, sequence, now, false});
    send_ping(members, known->second.m_record, sequence, now, out);
}

void ping_some(membership& members, std::size_t count, time_point now,
               membership_effects& out)
{
    auto names = names_where(members, [](peer_state const& peer)
                             { return !is_dead(peer); });
    std::shuffle(names.begin(), names.end(), members.m_random);
    std::stable_partition(names.begin(), names.end(),
                          [&](std::string const& name) {
                              return members.m_peers.at(name).m_record.m_zone ==
                                     members.m_self.m_zone;
                          });
    names.resize(std::min(names.size(), count));
    for (auto const& name : names)
    {
        send_ping(members, members.m_peers.at(name).m_record,
                  members.m_next_sequence++, now, out);
    }
}

void ping_hosts(membership& members, std::span<std::string const> names,
                time_point now, membership_effects& out)
{
    for (auto const& name : names)
    {
        auto const known = members.m_peers.find(name);
        if (known != members.m_peers.end() && !is_dead(known->second))
        {
            send_ping(members, known->second.m_record,
                      members.m_next_sequence++, now, out);
        }
    }
}

void ping_seeds(membership& members, time_point now, membership_effects& out)
{
    for (auto const& seed : unknown_seeds(members))
    {
        send_ping(members, seed, members.m_next_sequence++, now, out);
    }
}

void ping_reconnect_candidate(membership& members, time_point now,
                              membership_effects& out)
{
    std::map<std::string, host_record> candidates;
    for (auto const& seed : unknown_seeds(members))
    {
        candidates[seed.m_address] = seed;
    }
    for (auto const& [name, peer] : members.m_peers)
    {
        if (is_dead(peer))
        {
            candidates[name] = peer.m_record;
        }
    }
    for (auto const& [name, listed] : members.m_host_list)
    {
        auto const known = members.m_peers.find(name);
        if (name != members.m_self.m_name && !listed.m_leaving &&
            (known == members.m_peers.end() || is_dead(known->second)))
        {
            auto& record = candidates[name];
            record.m_name = name;
            record.m_address = listed.m_address;
            record.m_peer_port = listed.m_peer_port;
        }
    }
    if (!candidates.empty())
    {
        auto const index =
            static_cast<std::ptrdiff_t>(members.m_random() % candidates.size());
        send_ping(members, std::next(candidates.begin(), index)->second,
                  members.m_next_sequence++, now, out);
    }
}

void send_periodic_pings(membership& members, time_point now,
                         membership_effects& out)
{
    auto const zone_peer = next_in_round(
        members, members.m_zone_round,
        [&]
        {
            return names_where(members,
                               [&](peer_state const& peer) {
                                   return !is_dead(peer) &&
                                          peer.m_record.m_zone ==
                                              members.m_self.m_zone;
                               });
        });
    if (zone_peer)
    {
        start_probe(members, *zone_peer, now, out);
    }
    if (is_delegate(members))
    {
        auto const delegate =
            next_in_round(members, members.m_delegate_round,
                          [&] { return delegates_of_other_zones(members); });
        if (delegate)
        {
            start_probe(members, *delegate, now, out);
        }
    }
    ping_local_suspect(members, now, out);
    if (members.m_is_isolated)
    {
        ping_some(members, extra_pings_when_isolated, now, out);
    }
}

void check_probes(membership& members, time_point now, membership_effects& out)
{
    auto const timeout = members.m_settings.m_ack_timeout;
    std::vector<pending_probe> missed;
    std::erase_if(members.m_probes,
                  [&](pending_probe const& probe)
                  {
                      if (now < probe.m_sent_at + 2 * timeout)
                      {
                          return false;
                      }
                      missed.push_back(probe);
                      return true;
                  });
    for (auto& probe : members.m_probes)
    {
        if (!probe.m_is_indirect && now >= probe.m_sent_at + timeout)
        {
            probe.m_is_indirect = true;
            request_indirect_probes(members, probe, now, out);
        }
    }
    for (auto const& probe : missed)
    {
        suspect(members, probe.m_subject, probe.m_sent_at + timeout, now, out);
        probe_other_hosts_of_zone(members, probe.m_subject, now, out);
        auto const known = members.m_peers.find(probe.m_subject);
        if (known != members.m_peers.end() &&
            known->second.m_is_locally_suspected)
        {
            // The ping carries the suspicion, which the suspect can refute.
            send_ping(members, known->second.m_record,
                      members.m_next_sequence++, now, out);
        }
    }
}

void answer_message(membership& members, membership_message const& message,
                    time_point now, membership_effects& out)
{
    switch (message.m_kind)
    {
    case membership_message_kind::ping:
        out.emplace_back(send_effect{
            message.m_sender.m_address, message.m_sender.m_peer_port,
            make_message(members, membership_message_kind::ack,
                         message.m_sequence, message.m_sender.m_name, now)});
        return;
    case membership_message_kind::ping_request:
        relay_ping_request(members, message, now, out);
        return;
    case membership_message_kind::ack:
        handle_ack(members, message, now, out);
        return;
    }
}

} // namespace hawthornspur::core
