#include "core/models/cluster.hpp"

#include "core/ownership.hpp"

#include <algorithm>
#include <utility>

namespace hawthornspur::core::models
{

namespace
{

constexpr std::uint16_t first_port = 7000;
constexpr std::size_t kept_pings = 500;
constexpr duration epoch_length = std::chrono::seconds(60);
constexpr duration watch_interval = std::chrono::milliseconds(500);
constexpr duration read_interval = std::chrono::seconds(10);

double uniform(simulated_cluster& c)
{
    return std::uniform_real_distribution<double>(0, 1)(c.m_random);
}

template <class What>
void schedule(simulated_cluster& c, time_point at, What what)
{
    c.m_events.push({at, c.m_next_order++, std::move(what)});
}

bool is_paused(simulated_cluster const& c, cluster_host const& host)
{
    return c.m_now < host.m_paused_until;
}

duration delay_between(simulated_cluster& c, cluster_host const& a,
                       cluster_host const& b)
{
    auto const base = a.m_zone == b.m_zone ? c.m_settings.m_near_delay
                                           : c.m_settings.m_far_delay;
    return base + std::chrono::duration_cast<duration>(
                      base * (c.m_settings.m_jitter * uniform(c)));
}

void violate(simulated_cluster& c, std::string text)
{
    auto const ms = std::chrono::duration_cast<std::chrono::milliseconds>(
        c.m_now.time_since_epoch());
    c.m_violations.push_back(std::to_string(ms.count()) +
                             " ms: " + std::move(text));
}

void send(simulated_cluster& c, std::size_t from, send_effect effect)
{
    auto& sender = c.m_hosts[from];
    ++sender.m_sent_messages;
    sender.m_sent_records += 1 + effect.m_message.m_updates.size();
    if (effect.m_message.m_kind != membership_message_kind::ack)
    {
        sender.m_pings[effect.m_message.m_sequence] = c.m_now;
        if (sender.m_pings.size() > kept_pings)
        {
            sender.m_pings.erase(sender.m_pings.begin());
        }
    }
    auto const to = static_cast<std::size_t>(effect.m_port - first_port);
    auto const& receiver = c.m_hosts[to];
    if (receiver.m_partition != sender.m_partition ||
        uniform(c) < c.m_settings.m_loss_probability)
    {
        return;
    }
    auto const copies = uniform(c) < c.m_settings.m_duplicates ? 2 : 1;
    for (int i = 0; i < copies; ++i)
    {
        // A duplicate may come much later than the first copy.
        auto const extra = i == 0 ? duration::zero()
                                  : std::chrono::duration_cast<duration>(
                                        std::chrono::seconds(2) * uniform(c));
        schedule(c, c.m_now + delay_between(c, sender, receiver) + extra,
                 arrival{to, effect.m_message});
    }
}

void fetch(simulated_cluster& c, std::size_t host, std::string const& from)
{
    auto const& fetcher = c.m_hosts[host];
    auto const peer = std::find_if(c.m_hosts.begin(), c.m_hosts.end(),
                                   [&](cluster_host const& each)
                                   { return each.m_name == from; });
    if (peer == c.m_hosts.end() || !peer->m_is_running || is_paused(c, *peer) ||
        peer->m_partition != fetcher.m_partition ||
        peer->m_configuration.m_in_force == nullptr ||
        uniform(c) < c.m_settings.m_loss_probability)
    {
        return;
    }
    schedule(c, c.m_now + 2 * delay_between(c, fetcher, *peer),
             document_arrival{host, fetcher.m_starts,
                              peer->m_configuration.m_in_force,
                              configuration_source::peer});
}

void announce(simulated_cluster& c, std::size_t host, membership_effects& out)
{
    auto& h = c.m_hosts[host];
    auto const& document = h.m_configuration.m_in_force;
    auto const generation = document ? document->m_generation : 0;
    if (generation < h.m_highest_generation)
    {
        violate(c, h.m_name + " went back to an older generation");
    }
    h.m_highest_generation = generation;
    auto const state = h.m_is_leaving ? host_state::leaving
                       : is_current(h.m_configuration)
                           ? host_state::live
                           : self(*h.m_membership).m_state;
    auto const epoch = 1 + (c.m_now - h.m_started_at) / epoch_length;
    set_self(*h.m_membership, state, generation,
             static_cast<std::uint64_t>(epoch), c.m_now, out);
}

void note_death(simulated_cluster& c, cluster_host const& viewer,
                host_record const& record)
{
    auto const subject = std::find_if(c.m_hosts.begin(), c.m_hosts.end(),
                                      [&](cluster_host const& each)
                                      { return each.m_name == record.m_name; });
    if (subject != c.m_hosts.end() && subject->m_is_running &&
        !is_paused(c, *subject) && subject->m_partition == viewer.m_partition &&
        record.m_incarnation == self(*subject->m_membership).m_incarnation)
    {
        ++c.m_false_deaths;
    }
}

void check_isolation(simulated_cluster& c, cluster_host& host)
{
    auto const alone_after =
        host.m_resumed_at + c.m_settings.m_membership.m_alone_timeout;
    if (host.m_must_be_isolated && c.m_now >= alone_after)
    {
        host.m_must_be_isolated = false;
    }
    if (host.m_must_be_isolated && !is_isolated(*host.m_membership))
    {
        violate(c, host.m_name + " works after a pause without having heard "
                                 "a peer");
        host.m_must_be_isolated = false;
    }
}

void apply(simulated_cluster& c, std::size_t host, membership_effects& out)
{
    auto& h = c.m_hosts[host];
    // Handling an effect may append further ones.
    for (std::size_t i = 0; i < out.size(); ++i)
    {
        auto effect = std::move(out[i]);
        if (auto* message = std::get_if<send_effect>(&effect))
        {
            send(c, host, std::move(*message));
        }
        else if (auto const* changed =
                     std::get_if<host_changed_effect>(&effect))
        {
            auto const state = changed->m_record.m_state;
            c.m_suspicions += state == host_state::suspected ? 1U : 0U;
            if (state == host_state::dead)
            {
                note_death(c, h, changed->m_record);
            }
        }
        else if (auto const* newer =
                     std::get_if<newer_generation_effect>(&effect))
        {
            if (record_announced_generation(h.m_configuration,
                                            newer->m_generation))
            {
                fetch(c, host, newer->m_host);
            }
        }
    }
    out.clear();
    check_isolation(c, h);
    auto const next = next_timer(*h.m_membership);
    if (next && *next != h.m_timer_at)
    {
        h.m_timer_at = *next;
        schedule(c, std::max(*next, c.m_now), timer{host});
    }
}

void read_store(simulated_cluster& c, store_read const& read)
{
    auto& h = c.m_hosts[read.m_host];
    membership_effects out;
    std::vector<owner_candidate> candidates;
    for (auto const& record : hosts(*h.m_membership))
    {
        if (record.m_state != host_state::dead)
        {
            candidates.push_back({record.m_name, record.m_zone});
        }
    }
    auto const is_watching = is_watcher(h.m_name, h.m_zone, candidates);
    auto const& store = c.m_store;
    if (store.m_is_up && !store.m_accepted.empty())
    {
        auto const newest = store.m_accepted.size() - 1;
        auto const index = newest - std::min(newest, store.m_staleness);
        schedule(c, c.m_now + store.m_answer_time,
                 document_arrival{read.m_host, read.m_start,
                                  store.m_accepted[index],
                                  configuration_source::store});
    }
    if (store.m_is_list_up)
    {
        // The list lags: it still has hosts that were killed long ago.
        std::vector<listed_host> listed;
        for (auto const& each : c.m_hosts)
        {
            if (each.m_starts > 0)
            {
                listed.push_back({each.m_name, each.m_zone, "10.0.0.1", 80,
                                  each.m_port, false});
            }
        }
        on_host_list(*h.m_membership, listed, c.m_now, out);
    }
    announce(c, read.m_host, out);
    auto const is_fast = is_watching || h.m_configuration.m_in_force == nullptr;
    schedule(c, c.m_now + (is_fast ? watch_interval : read_interval), read);
    apply(c, read.m_host, out);
}

void receive(simulated_cluster& c, arrival const& event)
{
    auto& h = c.m_hosts[event.m_host];
    auto const& message = event.m_message;
    if (message.m_kind == membership_message_kind::ack)
    {
        auto const ping = h.m_pings.find(message.m_sequence);
        if (ping != h.m_pings.end() && ping->second >= h.m_resumed_at)
        {
            h.m_must_be_isolated = false;
        }
    }
    membership_effects out;
    on_message(*h.m_membership, message, c.m_now, out);
    apply(c, event.m_host, out);
}

void take_document(simulated_cluster& c, document_arrival const& event)
{
    membership_effects out;
    offer(c.m_hosts[event.m_host].m_configuration, event.m_document,
          event.m_source);
    announce(c, event.m_host, out);
    apply(c, event.m_host, out);
}

std::size_t host_of(cluster_event const& event)
{
    return std::visit([](auto const& what) { return what.m_host; },
                      event.m_what);
}

void handle(simulated_cluster& c, cluster_event event)
{
    auto& h = c.m_hosts[host_of(event)];
    if (!h.m_is_running)
    {
        return;
    }
    if (is_paused(c, h))
    {
        // It waits in the socket or the loop until the host runs again.
        event.m_at = h.m_paused_until;
        c.m_events.push(std::move(event));
        return;
    }
    ++c.m_handled_events;
    membership_effects first;
    on_loop_iteration(*h.m_membership, c.m_now, first);
    apply(c, host_of(event), first);
    if (auto const* message = std::get_if<arrival>(&event.m_what))
    {
        receive(c, *message);
    }
    else if (std::holds_alternative<timer>(event.m_what))
    {
        if (h.m_timer_at <= c.m_now)
        {
            membership_effects out;
            h.m_timer_at = time_point{};
            on_timer(*h.m_membership, c.m_now, out);
            apply(c, host_of(event), out);
        }
    }
    else if (auto const* read = std::get_if<store_read>(&event.m_what))
    {
        if (read->m_start == h.m_starts)
        {
            read_store(c, *read);
        }
    }
    else if (auto const* document =
                 std::get_if<document_arrival>(&event.m_what))
    {
        if (document->m_start == h.m_starts)
        {
            take_document(c, *document);
        }
    }
    else if (auto const* notice = std::get_if<link_notice>(&event.m_what))
    {
        membership_effects out;
        on_link_lost(*h.m_membership, notice->m_lost, c.m_now, out);
        apply(c, notice->m_host, out);
    }
}

} // namespace

simulated_cluster make_cluster(cluster_settings settings)
{
    simulated_cluster c;
    c.m_settings = settings;
    c.m_random.seed(settings.m_seed);
    c.m_now = time_point{} + std::chrono::seconds(1);
    c.m_hosts.resize(settings.m_hosts);
    for (std::size_t i = 0; i < settings.m_hosts; ++i)
    {
        auto& h = c.m_hosts[i];
        h.m_name = "host-" + std::to_string(i);
        h.m_zone = "zone-" + std::to_string(i % settings.m_zones);
        h.m_port = static_cast<std::uint16_t>(first_port + i);
    }
    submit(c, 0, "first");
    for (std::size_t i = 0; i < settings.m_hosts; ++i)
    {
        start_host(c, i);
    }
    return c;
}

void run(simulated_cluster& c, duration time)
{
    auto const until = c.m_now + time;
    while (!c.m_events.empty() && c.m_events.top().m_at <= until)
    {
        auto event = c.m_events.top();
        c.m_events.pop();
        c.m_now = std::max(c.m_now, event.m_at);
        handle(c, std::move(event));
    }
    c.m_now = until;
}

void start_host(simulated_cluster& c, std::size_t host)
{
    auto& h = c.m_hosts[host];
    if (h.m_is_running)
    {
        return;
    }
    h.m_is_running = true;
    h.m_is_leaving = false;
    h.m_paused_until = time_point{};
    h.m_started_at = c.m_now;
    h.m_resumed_at = time_point{};
    h.m_must_be_isolated = false;
    h.m_timer_at = time_point{};
    h.m_pings.clear();
    h.m_configuration = {};
    h.m_highest_generation = 0;
    ++h.m_starts;
    host_record record;
    record.m_name = h.m_name;
    record.m_zone = h.m_zone;
    record.m_address = "10.0.0.1";
    record.m_caller_port = 80;
    record.m_peer_port = h.m_port;
    record.m_incarnation = c.m_random();
    h.m_membership = make_membership(c.m_settings.m_membership, record,
                                     c.m_random(), c.m_now);
    auto const spread = std::chrono::duration_cast<duration>(
        std::chrono::milliseconds(200) * uniform(c));
    schedule(c, c.m_now + spread, store_read{host, h.m_starts});
    membership_effects out;
    apply(c, host, out);
}

void kill_host(simulated_cluster& c, std::size_t host)
{
    auto& h = c.m_hosts[host];
    h.m_is_running = false;
    h.m_membership.reset();
    if (!c.m_settings.m_reports_link_loss)
    {
        return;
    }
    for (std::size_t i = 0; i < c.m_hosts.size(); ++i)
    {
        if (i != host && c.m_hosts[i].m_is_running)
        {
            schedule(c, c.m_now + delay_between(c, h, c.m_hosts[i]),
                     link_notice{i, h.m_name});
        }
    }
}

void pause_host(simulated_cluster& c, std::size_t host, duration time)
{
    auto& h = c.m_hosts[host];
    if (!h.m_is_running || is_paused(c, h))
    {
        return;
    }
    h.m_paused_until = c.m_now + time;
    // The loop runs at least every ping interval, so a pause of the limit and
    // one interval is noticed in any case.
    auto const& settings = c.m_settings.m_membership;
    auto const known = hosts(*h.m_membership);
    auto const has_peer =
        std::any_of(known.begin(), known.end(),
                    [](host_record const& record)
                    { return record.m_state != host_state::dead; });
    if (time > settings.m_pause_limit + settings.m_ping_interval && has_peer)
    {
        h.m_must_be_isolated = true;
        h.m_resumed_at = h.m_paused_until;
    }
}

void drain_host(simulated_cluster& c, std::size_t host)
{
    auto& h = c.m_hosts[host];
    if (h.m_is_running && !is_paused(c, h))
    {
        h.m_is_leaving = true;
        membership_effects out;
        announce(c, host, out);
        apply(c, host, out);
    }
}

bool submit(simulated_cluster& c, std::uint64_t based_on, std::string change_id)
{
    if (based_on != newest_generation(c) || !c.m_store.m_is_up)
    {
        return false;
    }
    auto document = std::make_shared<configuration>();
    document->m_generation = based_on + 1;
    document->m_change_id = std::move(change_id);
    c.m_store.m_accepted.push_back(std::move(document));
    return true;
}

std::uint64_t newest_generation(simulated_cluster const& c)
{
    return c.m_store.m_accepted.size();
}

bool has_state_in_view(simulated_cluster const& c, std::size_t viewer,
                       std::size_t subject, host_state state)
{
    for (auto const& record : hosts(*c.m_hosts[viewer].m_membership))
    {
        if (record.m_name == c.m_hosts[subject].m_name)
        {
            return record.m_state == state;
        }
    }
    return false;
}

void check_agreement(simulated_cluster& c)
{
    for (auto const& viewer : c.m_hosts)
    {
        if (!viewer.m_is_running)
        {
            continue;
        }
        std::map<std::string, host_record> seen;
        for (auto& record : hosts(*viewer.m_membership))
        {
            seen[record.m_name] = record;
        }
        if (is_isolated(*viewer.m_membership))
        {
            violate(c, viewer.m_name + " stays isolated");
        }
        auto const& document = viewer.m_configuration.m_in_force;
        if (document != c.m_store.m_accepted.back())
        {
            violate(c, viewer.m_name + " does not have the newest document");
        }
        for (auto const& subject : c.m_hosts)
        {
            if (subject.m_name == viewer.m_name)
            {
                continue;
            }
            auto const found = seen.find(subject.m_name);
            auto const is_right =
                subject.m_is_running
                    ? found != seen.end() &&
                          found->second.m_state ==
                              self(*subject.m_membership).m_state &&
                          found->second.m_incarnation ==
                              self(*subject.m_membership).m_incarnation
                    : found == seen.end() ||
                          found->second.m_state == host_state::dead;
            if (!is_right)
            {
                violate(c, viewer.m_name + " has a wrong view of " +
                               subject.m_name);
            }
        }
    }
}

} // namespace hawthornspur::core::models
