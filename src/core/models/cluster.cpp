#include "core/models/cluster.hpp"

#include "core/document_source.hpp"
#include "core/link_choice.hpp"
#include "core/ownership.hpp"

#include <algorithm>
#include <utility>

namespace hawthornspur::core::models
{

namespace
{

constexpr std::uint16_t first_port = 7000;
constexpr std::size_t max_recorded_pings = 500;
constexpr duration once_epoch_length = std::chrono::seconds(60);
constexpr duration watch_interval = std::chrono::milliseconds(500);
constexpr duration read_interval = std::chrono::seconds(10);

double uniform(simulated_cluster& cluster)
{
    return std::uniform_real_distribution<double>(0, 1)(cluster.m_random);
}

template <class Payload>
void schedule(simulated_cluster& cluster, time_point time, Payload payload)
{
    cluster.m_events.push(
        {time, cluster.m_next_event_number++, std::move(payload)});
}

bool is_paused(simulated_cluster const& cluster, cluster_host const& host)
{
    return cluster.m_now < host.m_paused_until;
}

duration delay_between(simulated_cluster& cluster, cluster_host const& a,
                       cluster_host const& b)
{
    auto const base_delay = a.m_zone == b.m_zone
                                ? cluster.m_settings.m_same_zone_delay
                                : cluster.m_settings.m_cross_zone_delay;
    return base_delay +
           std::chrono::duration_cast<duration>(
               base_delay * (cluster.m_settings.m_jitter * uniform(cluster)));
}

void add_violation(simulated_cluster& cluster, std::string text)
{
    auto const ms = std::chrono::duration_cast<std::chrono::milliseconds>(
        cluster.m_now.time_since_epoch());
    cluster.m_violations.push_back(std::to_string(ms.count()) +
                                   " ms: " + std::move(text));
}

void send(simulated_cluster& cluster, std::size_t sender_index,
          send_effect effect)
{
    auto& sender = cluster.m_hosts[sender_index];
    ++sender.m_sent_messages;
    sender.m_sent_records += 1 + effect.m_message.m_updates.size();
    if (effect.m_message.m_kind != membership_message_kind::ack)
    {
        sender.m_ping_times[effect.m_message.m_sequence] = cluster.m_now;
        if (sender.m_ping_times.size() > max_recorded_pings)
        {
            sender.m_ping_times.erase(sender.m_ping_times.begin());
        }
    }
    auto const receiver_index =
        static_cast<std::size_t>(effect.m_port - first_port);
    auto const& receiver = cluster.m_hosts[receiver_index];
    if (receiver.m_partition != sender.m_partition ||
        uniform(cluster) < cluster.m_settings.m_loss_probability)
    {
        return;
    }
    auto const copies =
        uniform(cluster) < cluster.m_settings.m_duplicate_probability ? 2 : 1;
    for (int i = 0; i < copies; ++i)
    {
        // A duplicate may arrive much later than the first copy.
        auto const extra_delay =
            i == 0 ? duration::zero()
                   : std::chrono::duration_cast<duration>(
                         std::chrono::seconds(2) * uniform(cluster));
        schedule(cluster,
                 cluster.m_now + delay_between(cluster, sender, receiver) +
                     extra_delay,
                 message_arrival{receiver_index, effect.m_message});
    }
}

std::vector<seed_address> seeds(simulated_cluster const& cluster)
{
    std::vector<seed_address> addresses;
    for (std::size_t i = 0; i < cluster.m_settings.m_seeds; ++i)
    {
        addresses.push_back({"10.0.0.1", cluster.m_hosts[i].m_port});
    }
    return addresses;
}

/// The host from which `fetcher` requests a generation that was announced.
std::string choose_source(simulated_cluster const& cluster,
                          cluster_host const& fetcher,
                          newer_generation_effect const& newer)
{
    if (cluster.m_settings.m_seeds == 0)
    {
        return newer.m_host;
    }
    auto const others = hosts(*fetcher.m_membership);
    auto const links = choose_links(self(*fetcher.m_membership), others, 1);
    return choose_document_source(
        newer.m_host, newer.m_generation, others,
        [&](std::string const& name) { return links.contains(name); },
        fetcher.m_fetches);
}

void fetch_document(simulated_cluster& cluster, std::size_t index,
                    std::string const& peer_name)
{
    auto const& fetcher = cluster.m_hosts[index];
    auto const peer = std::find_if(
        cluster.m_hosts.begin(), cluster.m_hosts.end(),
        [&](cluster_host const& host) { return host.m_name == peer_name; });
    if (peer == cluster.m_hosts.end() || !peer->m_is_running ||
        is_paused(cluster, *peer) || peer->m_partition != fetcher.m_partition ||
        peer->m_configuration.m_in_force == nullptr ||
        uniform(cluster) < cluster.m_settings.m_loss_probability)
    {
        return;
    }
    schedule(cluster,
             cluster.m_now + 2 * delay_between(cluster, fetcher, *peer),
             document_arrival{index, fetcher.m_start_count,
                              peer->m_configuration.m_in_force,
                              configuration_source::peer});
}

void announce_state(simulated_cluster& cluster, std::size_t index,
                    membership_effects& out)
{
    auto& host = cluster.m_hosts[index];
    auto const& document = host.m_configuration.m_in_force;
    auto const generation = document ? document->m_generation : 0;
    if (generation < host.m_highest_generation)
    {
        add_violation(cluster,
                      host.m_name + " went back to an older generation");
    }
    host.m_highest_generation = generation;
    auto const state = host.m_is_leaving ? host_state::leaving
                       : is_current(host.m_configuration)
                           ? host_state::live
                           : self(*host.m_membership).m_state;
    auto const epoch =
        1 + (cluster.m_now - host.m_started_at) / once_epoch_length;
    set_self(*host.m_membership, state, generation,
             static_cast<std::uint64_t>(epoch), cluster.m_now, out);
}

void count_false_death(simulated_cluster& cluster, cluster_host const& viewer,
                       host_record const& record)
{
    auto const subject = std::find_if(
        cluster.m_hosts.begin(), cluster.m_hosts.end(),
        [&](cluster_host const& host) { return host.m_name == record.m_name; });
    if (subject != cluster.m_hosts.end() && subject->m_is_running &&
        !is_paused(cluster, *subject) &&
        subject->m_partition == viewer.m_partition &&
        record.m_incarnation == self(*subject->m_membership).m_incarnation)
    {
        ++cluster.m_false_deaths;
    }
}

void check_isolation(simulated_cluster& cluster, cluster_host& host)
{
    auto const isolation_end =
        host.m_resumed_at + cluster.m_settings.m_membership.m_isolation_timeout;
    if (host.m_is_isolation_required && cluster.m_now >= isolation_end)
    {
        host.m_is_isolation_required = false;
    }
    if (host.m_is_isolation_required && !is_isolated(*host.m_membership))
    {
        add_violation(cluster, host.m_name +
                                   " is not isolated after a pause although it "
                                   "received no ack");
        host.m_is_isolation_required = false;
    }
}

void apply_effects(simulated_cluster& cluster, std::size_t index,
                   membership_effects& out)
{
    auto& host = cluster.m_hosts[index];
    // Handling an effect may append further effects.
    for (std::size_t i = 0; i < out.size(); ++i)
    {
        auto effect = std::move(out[i]);
        if (auto* message = std::get_if<send_effect>(&effect))
        {
            send(cluster, index, std::move(*message));
        }
        else if (auto const* changed =
                     std::get_if<host_changed_effect>(&effect))
        {
            auto const state = changed->m_record.m_state;
            cluster.m_suspicions += state == host_state::suspected ? 1U : 0U;
            if (state == host_state::dead)
            {
                count_false_death(cluster, host, changed->m_record);
            }
        }
        else if (auto const* newer =
                     std::get_if<newer_generation_effect>(&effect))
        {
            if (record_announced_generation(host.m_configuration,
                                            newer->m_generation))
            {
                fetch_document(cluster, index,
                               choose_source(cluster, host, *newer));
                ++host.m_fetches;
            }
        }
    }
    out.clear();
    check_isolation(cluster, host);
    auto const next = next_timer(*host.m_membership);
    if (next && *next != host.m_timer_at)
    {
        host.m_timer_at = *next;
        schedule(cluster, std::max(*next, cluster.m_now), timer_expiry{index});
    }
}

bool is_store_reader(cluster_host const& host)
{
    auto const watchers =
        store_watchers(self(*host.m_membership), hosts(*host.m_membership), 1);
    return std::find(watchers.begin(), watchers.end(), host.m_name) !=
           watchers.end();
}

void read_store(simulated_cluster& cluster, store_read const& read)
{
    auto& host = cluster.m_hosts[read.m_host];
    membership_effects out;
    std::vector<owner_candidate> candidates;
    for (auto const& record : hosts(*host.m_membership))
    {
        if (record.m_state != host_state::dead)
        {
            candidates.push_back({record.m_name, record.m_zone});
        }
    }
    auto const is_watching = is_watcher(host.m_name, host.m_zone, candidates);
    auto const& store = cluster.m_store;
    auto const has_seeds = cluster.m_settings.m_seeds > 0;
    if (store.m_is_up && !store.m_accepted.empty() &&
        (!has_seeds || is_store_reader(host)))
    {
        auto const newest = store.m_accepted.size() - 1;
        auto const index = newest - std::min(newest, store.m_staleness);
        schedule(cluster, cluster.m_now + store.m_answer_time,
                 document_arrival{read.m_host, read.m_start_number,
                                  store.m_accepted[index],
                                  configuration_source::store});
    }
    if (store.m_is_host_list_up && !has_seeds)
    {
        // The list is outdated: it still contains hosts that were killed.
        std::vector<listed_host> listed;
        for (auto const& other : cluster.m_hosts)
        {
            if (other.m_start_count > 0)
            {
                listed.push_back({other.m_name, other.m_zone, "10.0.0.1", 80,
                                  other.m_port, false});
            }
        }
        on_host_list(*host.m_membership, listed, cluster.m_now, out);
    }
    announce_state(cluster, read.m_host, out);
    auto const reads_often =
        is_watching || has_seeds || host.m_configuration.m_in_force == nullptr;
    schedule(cluster,
             cluster.m_now + (reads_often ? watch_interval : read_interval),
             read);
    apply_effects(cluster, read.m_host, out);
}

void handle_message(simulated_cluster& cluster, message_arrival const& event)
{
    auto& host = cluster.m_hosts[event.m_host];
    auto const& message = event.m_message;
    if (message.m_kind == membership_message_kind::ack)
    {
        auto const ping = host.m_ping_times.find(message.m_sequence);
        if (ping != host.m_ping_times.end() &&
            ping->second >= host.m_resumed_at)
        {
            host.m_is_isolation_required = false;
        }
    }
    membership_effects out;
    on_message(*host.m_membership, message, cluster.m_now, out);
    apply_effects(cluster, event.m_host, out);
}

void handle_document(simulated_cluster& cluster, document_arrival const& event)
{
    membership_effects out;
    cluster.m_hosts[event.m_host].m_fetches = 0;
    offer(cluster.m_hosts[event.m_host].m_configuration, event.m_document,
          event.m_source);
    announce_state(cluster, event.m_host, out);
    apply_effects(cluster, event.m_host, out);
}

std::size_t host_index(cluster_event const& event)
{
    return std::visit([](auto const& payload) { return payload.m_host; },
                      event.m_payload);
}

void handle(simulated_cluster& cluster, cluster_event event)
{
    auto& host = cluster.m_hosts[host_index(event)];
    if (!host.m_is_running)
    {
        return;
    }
    if (is_paused(cluster, host))
    {
        // The event stays in the socket or the event loop until the host
        // runs again.
        event.m_time = host.m_paused_until;
        cluster.m_events.push(std::move(event));
        return;
    }
    ++cluster.m_handled_events;
    membership_effects loop_effects;
    on_loop_iteration(*host.m_membership, cluster.m_now, loop_effects);
    apply_effects(cluster, host_index(event), loop_effects);
    if (auto const* message = std::get_if<message_arrival>(&event.m_payload))
    {
        handle_message(cluster, *message);
    }
    else if (std::holds_alternative<timer_expiry>(event.m_payload))
    {
        if (host.m_timer_at <= cluster.m_now)
        {
            membership_effects out;
            host.m_timer_at = time_point{};
            on_timer(*host.m_membership, cluster.m_now, out);
            apply_effects(cluster, host_index(event), out);
        }
    }
    else if (auto const* read = std::get_if<store_read>(&event.m_payload))
    {
        if (read->m_start_number == host.m_start_count)
        {
            read_store(cluster, *read);
        }
    }
    else if (auto const* document =
                 std::get_if<document_arrival>(&event.m_payload))
    {
        if (document->m_start_number == host.m_start_count)
        {
            handle_document(cluster, *document);
        }
    }
    else if (auto const* loss = std::get_if<link_loss>(&event.m_payload))
    {
        membership_effects out;
        on_link_lost(*host.m_membership, loss->m_lost_host, cluster.m_now, out);
        apply_effects(cluster, loss->m_host, out);
    }
}

} // namespace

simulated_cluster make_cluster(cluster_settings settings)
{
    simulated_cluster cluster;
    cluster.m_settings = settings;
    cluster.m_random.seed(settings.m_seed);
    cluster.m_now = time_point{} + std::chrono::seconds(1);
    cluster.m_hosts.resize(settings.m_hosts);
    for (std::size_t i = 0; i < settings.m_hosts; ++i)
    {
        auto& host = cluster.m_hosts[i];
        host.m_name = "host-" + std::to_string(i);
        host.m_zone = "zone-" + std::to_string(i % settings.m_zones);
        host.m_port = static_cast<std::uint16_t>(first_port + i);
    }
    submit(cluster, 0, "first");
    for (std::size_t i = 0; i < settings.m_hosts; ++i)
    {
        start_host(cluster, i);
    }
    return cluster;
}

void run(simulated_cluster& cluster, duration time)
{
    auto const until = cluster.m_now + time;
    while (!cluster.m_events.empty() && cluster.m_events.top().m_time <= until)
    {
        auto event = cluster.m_events.top();
        cluster.m_events.pop();
        cluster.m_now = std::max(cluster.m_now, event.m_time);
        handle(cluster, std::move(event));
    }
    cluster.m_now = until;
}

void start_host(simulated_cluster& cluster, std::size_t index)
{
    auto& host = cluster.m_hosts[index];
    if (host.m_is_running)
    {
        return;
    }
    host.m_is_running = true;
    host.m_is_leaving = false;
    host.m_paused_until = time_point{};
    host.m_started_at = cluster.m_now;
    host.m_resumed_at = time_point{};
    host.m_is_isolation_required = false;
    host.m_timer_at = time_point{};
    host.m_ping_times.clear();
    host.m_configuration = {};
    host.m_highest_generation = 0;
    ++host.m_start_count;
    host_record record;
    record.m_name = host.m_name;
    record.m_zone = host.m_zone;
    record.m_address = "10.0.0.1";
    record.m_caller_port = 80;
    record.m_peer_port = host.m_port;
    record.m_incarnation = cluster.m_random();
    constexpr int large_millicores = 500;
    constexpr int small_millicores = 100;
    bool const is_large = index / cluster.m_settings.m_zones <
                          cluster.m_settings.m_large_hosts_per_zone;
    record.m_millicores = is_large ? large_millicores : small_millicores;
    host.m_membership = make_membership(cluster.m_settings.m_membership, record,
                                        cluster.m_random(), cluster.m_now);
    auto const read_delay = std::chrono::duration_cast<duration>(
        std::chrono::milliseconds(200) * uniform(cluster));
    schedule(cluster, cluster.m_now + read_delay,
             store_read{index, host.m_start_count});
    membership_effects out;
    if (cluster.m_settings.m_seeds > 0)
    {
        set_seeds(*host.m_membership, seeds(cluster), cluster.m_now, out);
    }
    apply_effects(cluster, index, out);
}

void kill_host(simulated_cluster& cluster, std::size_t index)
{
    auto& host = cluster.m_hosts[index];
    host.m_is_running = false;
    host.m_membership.reset();
    if (!cluster.m_settings.m_reports_link_loss)
    {
        return;
    }
    for (std::size_t i = 0; i < cluster.m_hosts.size(); ++i)
    {
        if (i != index && cluster.m_hosts[i].m_is_running)
        {
            schedule(cluster,
                     cluster.m_now +
                         delay_between(cluster, host, cluster.m_hosts[i]),
                     link_loss{i, host.m_name});
        }
    }
}

void pause_host(simulated_cluster& cluster, std::size_t index, duration time)
{
    auto& host = cluster.m_hosts[index];
    if (!host.m_is_running || is_paused(cluster, host))
    {
        return;
    }
    host.m_paused_until = cluster.m_now + time;
    // The event loop runs at least once per ping interval, so a pause longer
    // than the pause limit plus one interval is always detected.
    auto const& settings = cluster.m_settings.m_membership;
    auto const known = hosts(*host.m_membership);
    auto const has_peer =
        std::any_of(known.begin(), known.end(),
                    [](host_record const& record)
                    { return record.m_state != host_state::dead; });
    if (time > settings.m_pause_limit + settings.m_ping_interval && has_peer)
    {
        host.m_is_isolation_required = true;
        host.m_resumed_at = host.m_paused_until;
    }
}

std::vector<std::string> hosts_linked_to(simulated_cluster const& cluster,
                                         std::string const& name)
{
    // Only clusters with seeds bound the owners of a zone.
    int const max_owners = cluster.m_settings.m_seeds > 0 ? 1 : 0;
    std::vector<std::string> linked;
    for (auto const& other : cluster.m_hosts)
    {
        if (other.m_is_running && other.m_name != name &&
            choose_links(self(*other.m_membership), hosts(*other.m_membership),
                         max_owners)
                .contains(name))
        {
            linked.push_back(other.m_name);
        }
    }
    return linked;
}

void drain_host(simulated_cluster& cluster, std::size_t index)
{
    auto& host = cluster.m_hosts[index];
    if (host.m_is_running && !is_paused(cluster, host))
    {
        host.m_is_leaving = true;
        membership_effects out;
        announce_state(cluster, index, out);
        announce_to(*host.m_membership, hosts_linked_to(cluster, host.m_name),
                    cluster.m_now, out);
        apply_effects(cluster, index, out);
    }
}

bool submit(simulated_cluster& cluster, std::uint64_t based_on,
            std::string change_id)
{
    if (based_on != newest_generation(cluster) || !cluster.m_store.m_is_up)
    {
        return false;
    }
    auto document = std::make_shared<configuration>();
    document->m_generation = based_on + 1;
    document->m_change_id = std::move(change_id);
    cluster.m_store.m_accepted.push_back(std::move(document));
    return true;
}

std::uint64_t newest_generation(simulated_cluster const& cluster)
{
    return cluster.m_store.m_accepted.size();
}

bool has_state_in_view(simulated_cluster const& cluster, std::size_t viewer,
                       std::size_t subject, host_state state)
{
    for (auto const& record : hosts(*cluster.m_hosts[viewer].m_membership))
    {
        if (record.m_name == cluster.m_hosts[subject].m_name)
        {
            return record.m_state == state;
        }
    }
    return false;
}

void check_agreement(simulated_cluster& cluster)
{
    for (auto const& viewer : cluster.m_hosts)
    {
        if (!viewer.m_is_running)
        {
            continue;
        }
        std::map<std::string, host_record> records;
        for (auto& record : hosts(*viewer.m_membership))
        {
            records[record.m_name] = record;
        }
        if (is_isolated(*viewer.m_membership))
        {
            add_violation(cluster, viewer.m_name + " stays isolated");
        }
        auto const& document = viewer.m_configuration.m_in_force;
        if (document != cluster.m_store.m_accepted.back())
        {
            add_violation(cluster,
                          viewer.m_name + " does not have the newest document");
        }
        for (auto const& subject : cluster.m_hosts)
        {
            if (subject.m_name == viewer.m_name)
            {
                continue;
            }
            auto const found = records.find(subject.m_name);
            auto const is_correct =
                subject.m_is_running
                    ? found != records.end() &&
                          found->second.m_state ==
                              self(*subject.m_membership).m_state &&
                          found->second.m_incarnation ==
                              self(*subject.m_membership).m_incarnation
                    : found == records.end() ||
                          found->second.m_state == host_state::dead;
            if (!is_correct)
            {
                add_violation(cluster, viewer.m_name + " has a wrong view of " +
                                           subject.m_name);
            }
        }
    }
}

} // namespace hawthornspur::core::models
