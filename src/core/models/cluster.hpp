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

/// Entry hosts in virtual time with a network that loses, delays, duplicates
/// and reorders datagrams. Used by tests, measurements and the fuzz program.
struct cluster_settings
{
    std::size_t m_hosts = 5;
    std::size_t m_zones = 3;
    std::uint64_t m_seed = 1;
    double m_loss_probability = 0;
    double m_duplicates = 0;
    duration m_near_delay = std::chrono::microseconds(300);
    duration m_far_delay = std::chrono::milliseconds(4);
    /// Up to this share of the delay is added at random.
    double m_jitter = 0.5;
    /// Links break visibly when a host is killed.
    bool m_reports_link_loss = false;
    membership_settings m_membership{};
};

/// The platform's store of configuration documents.
struct store_model
{
    std::vector<std::shared_ptr<configuration const>> m_accepted;
    bool m_is_up = true;
    duration m_answer_time = std::chrono::milliseconds(5);
    /// The platform's list of hosts, which is not kept in the store.
    bool m_is_list_up = true;
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
    /// Hosts of different groups do not reach each other.
    int m_partition = 0;
    time_point m_paused_until;
    time_point m_started_at;
    time_point m_timer_at;
    std::uint64_t m_starts = 0;

    std::uint64_t m_sent_messages = 0;
    std::uint64_t m_sent_records = 0;
    std::uint64_t m_highest_generation = 0;
    /// Set at the end of a long pause until an ack for a ping sent after it.
    bool m_must_be_isolated = false;
    time_point m_resumed_at;
    /// Time of sending of the own pings, by sequence.
    std::map<std::uint64_t, time_point> m_pings;
};

struct arrival
{
    std::size_t m_host = 0;
    membership_message m_message;
};

struct timer
{
    std::size_t m_host = 0;
};

/// The host reads the store (and the platform's host list).
struct store_read
{
    std::size_t m_host = 0;
    std::uint64_t m_start = 0;
};

/// A document fetched from a peer or read from the store arrives.
struct document_arrival
{
    std::size_t m_host = 0;
    std::uint64_t m_start = 0;
    std::shared_ptr<configuration const> m_document;
    configuration_source m_source = configuration_source::store;
};

struct link_notice
{
    std::size_t m_host = 0;
    std::string m_lost;
};

struct cluster_event
{
    time_point m_at;
    std::uint64_t m_order = 0;
    std::variant<arrival, timer, store_read, document_arrival, link_notice>
        m_what;
    friend bool operator>(cluster_event const& a, cluster_event const& b)
    {
        return std::pair(a.m_at, a.m_order) > std::pair(b.m_at, b.m_order);
    }
};

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
    std::uint64_t m_next_order = 0;
    std::uint64_t m_handled_events = 0;
    /// Deaths declared of hosts that ran and were neither paused nor cut off.
    std::uint64_t m_false_deaths = 0;
    std::uint64_t m_suspicions = 0;
    /// Broken invariants, for people.
    std::vector<std::string> m_violations;
};

/// Starts all hosts within one second.
simulated_cluster make_cluster(cluster_settings settings);

/// Handles all events up to `until`.
void run(simulated_cluster& c, duration time);

void start_host(simulated_cluster& c, std::size_t host);
void kill_host(simulated_cluster& c, std::size_t host);
void pause_host(simulated_cluster& c, std::size_t host, duration time);
void drain_host(simulated_cluster& c, std::size_t host);

/// An operator submits a change based on a generation. The store accepts it
/// only if that generation is the newest one.
bool submit(simulated_cluster& c, std::uint64_t based_on,
            std::string change_id);
std::uint64_t newest_generation(simulated_cluster const& c);

/// Checks that each running host sees exactly the running hosts as live, with
/// their incarnations, and has the newest configuration in force. Adds
/// violations.
void check_agreement(simulated_cluster& c);

/// Whether `viewer` sees `subject` in this state.
bool has_state_in_view(simulated_cluster const& c, std::size_t viewer,
                       std::size_t subject, host_state state);

} // namespace hawthornspur::core::models

#endif
