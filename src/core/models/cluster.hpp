#ifndef HAWTHORNSPUR_CORE_MODELS_CLUSTER_HPP
#define HAWTHORNSPUR_CORE_MODELS_CLUSTER_HPP

#include "core/configuration.hpp"
#include "core/configuration_state.hpp"
#include "core/membership.hpp"

#include <map>
#include <queue>
#include <random>
#include <set>

namespace hawthornspur::core::models
{

struct cluster_settings
{
    std::size_t m_hosts = 5;
    std::size_t m_zones = 3;
    std::uint64_t m_seed = 1;
    double m_loss_probability = 0;
    double m_duplicate_probability = 0;
    duration m_same_zone_delay = std::chrono::microseconds(300);
    duration m_cross_zone_delay = std::chrono::milliseconds(4);
    /// Maximum random addition to a delay, as a fraction of the delay.
    double m_jitter = 0.5;
    /// Whether the other hosts detect lost links when a host is killed.
    bool m_reports_link_loss = false;
    membership_settings m_membership{};
    /// Number of hosts of each zone with five times the processor time of the
    /// others, which own the pools of the zone.
    std::size_t m_large_hosts_per_zone = 0;
    /// Number of hosts that the others contact at the start. If there are any,
    /// hosts have no host list, only the watchers of each zone read the store,
    /// and documents are fetched over the links of choose_links().
    std::size_t m_seeds = 0;
};

/// The platform's store of configuration documents.
struct store_model
{
    std::vector<std::shared_ptr<configuration const>> m_accepted;
    bool m_is_up = true;
    duration m_answer_time = std::chrono::milliseconds(5);
    /// Availability of the platform's host list, which is not in the store.
    bool m_is_host_list_up = true;
    /// Reads return a document this many generations old.
    std::size_t m_staleness = 0;
};

struct cluster_host
{
    std::string m_name;
    std::string m_zone;
    std::uint16_t m_port = 0;
    membership_ptr m_membership;
    configuration_state m_configuration;
    bool m_is_running = false;
    bool m_is_leaving = false;
    /// Hosts in different partitions cannot reach each other.
    int m_partition = 0;
    time_point m_paused_until;
    time_point m_started_at;
    time_point m_timer_at;
    std::uint64_t m_start_count = 0;

    /// Requests for a document since the last one arrived.
    std::size_t m_fetches = 0;
    std::uint64_t m_sent_messages = 0;
    std::uint64_t m_sent_records = 0;
    std::uint64_t m_highest_generation = 0;
    /// True from a long pause until an ack for a ping sent after the pause.
    bool m_is_isolation_required = false;
    time_point m_resumed_at;
    /// Send times of this host's pings, by sequence number.
    std::map<std::uint64_t, time_point> m_ping_times;
};

struct message_arrival
{
    std::size_t m_host = 0;
    membership_message m_message;
};

struct timer_expiry
{
    std::size_t m_host = 0;
};

/// The host reads the store and the platform's host list.
struct store_read
{
    std::size_t m_host = 0;
    std::uint64_t m_start_number = 0;
};

/// A document from a peer or the store arrives.
struct document_arrival
{
    std::size_t m_host = 0;
    std::uint64_t m_start_number = 0;
    std::shared_ptr<configuration const> m_document;
    configuration_source m_source = configuration_source::store;
};

struct link_loss
{
    std::size_t m_host = 0;
    std::string m_lost_host;
};

struct cluster_event
{
    time_point m_time;
    std::uint64_t m_event_number = 0;
    std::variant<message_arrival, timer_expiry, store_read, document_arrival,
                 link_loss>
        m_payload;
    friend bool operator>(cluster_event const& a, cluster_event const& b)
    {
        return std::pair(a.m_time, a.m_event_number) >
               std::pair(b.m_time, b.m_event_number);
    }
};

/// Entry hosts in virtual time with a network that loses, delays, duplicates
/// and reorders datagrams. Used by tests, measurements and the fuzz program.
struct simulated_cluster
{
    cluster_settings m_settings;
    time_point m_now;
    std::mt19937_64 m_random;
    std::vector<cluster_host> m_hosts;
    store_model m_store;
    std::priority_queue<cluster_event, std::vector<cluster_event>,
                        std::greater<>>
        m_events;
    std::uint64_t m_next_event_number = 0;
    std::uint64_t m_handled_events = 0;
    /// Declared deaths of hosts that were running, not paused and reachable.
    std::uint64_t m_false_deaths = 0;
    std::uint64_t m_suspicions = 0;
    /// Readable descriptions of broken invariants.
    std::vector<std::string> m_violations;
};

/// Creates a cluster, submits a first configuration and starts all hosts.
simulated_cluster make_cluster(cluster_settings settings);

/// Advances the virtual time by `time` and handles the events on the way.
void run(simulated_cluster& cluster, duration time);

void start_host(simulated_cluster& cluster, std::size_t index);
void kill_host(simulated_cluster& cluster, std::size_t index);
void pause_host(simulated_cluster& cluster, std::size_t index, duration time);
void drain_host(simulated_cluster& cluster, std::size_t index);

/// Names of the running hosts that keep a link to the named one.
std::vector<std::string> hosts_linked_to(simulated_cluster const& cluster,
                                         std::string const& name);

/// Submits a configuration change based on a generation. Returns whether the
/// store accepted it, which requires that the generation is the newest one and
/// that the store is up.
bool submit(simulated_cluster& cluster, std::uint64_t based_on,
            std::string change_id);
std::uint64_t newest_generation(simulated_cluster const& cluster);

/// Checks that each running host is not isolated, has the newest configuration
/// in force, and has the state and incarnation of every other running host in
/// its view, but stopped hosts only as dead. Adds a violation per difference.
void check_agreement(simulated_cluster& cluster);

/// Whether the record of `subject` in the view of `viewer` has this state.
bool has_state_in_view(simulated_cluster const& cluster, std::size_t viewer,
                       std::size_t subject, host_state state);

} // namespace hawthornspur::core::models

#endif
