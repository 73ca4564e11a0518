#ifndef HAWTHORNSPUR_BENCH_POLICY_FLEET_HPP
#define HAWTHORNSPUR_BENCH_POLICY_FLEET_HPP

#include "event_queue.hpp"
#include "workload.hpp"

#include <cstdint>
#include <deque>
#include <functional>
#include <vector>

namespace hawthornspur::bench
{

enum class job_outcome : std::uint8_t
{
    done,
    shed,
    connect_failed,
    closed,
};

/// A request or probe at a target. `m_on_end` is called at the target, before
/// the delay of the link back.
struct job
{
    std::uint64_t m_id = 0;
    duration m_work{0};
    std::function<void(job_outcome)> m_on_end;
    bool m_running = false;
};

/// A target with one worker per slot and a queue whose length is limited by the
/// number of connections.
struct simulated_target
{
    target_place m_place;
    std::vector<job> m_running;
    std::deque<job> m_waiting;
    bool m_is_dead = false;
    double m_slowdown_factor = 1;
    std::size_t m_noise_index = 0;
    /// Working time spent on probes and their connections.
    duration m_probe_time{0};
};

enum class request_status : std::uint8_t
{
    pending,
    answered,
    /// Refused as not run.
    refused,
    failed,
};

struct request_result
{
    request_status m_status = request_status::pending;
    time_point m_time{};
};

/// The simulated targets, hosts and network of one run.
struct simulated_fleet
{
    deployment m_plan;
    scenario m_scenario;
    workload const* m_workload = nullptr;
    event_queue m_events;
    random_engine m_random;
    std::vector<simulated_target> m_targets;
    std::vector<bool> m_host_alive;
    std::vector<request_result> m_results;
};

simulated_fleet make_fleet(deployment const& plan, scenario const& settings,
                           workload const& work, std::uint64_t seed);

/// Returns a random one-way delay with jitter. Between zones it includes
/// occasional retransmissions after packet loss.
duration link_delay(simulated_fleet& fleet, int from_zone, int to_zone);

void start_job(simulated_fleet& fleet, int target, job next);
void cancel_job(simulated_fleet& fleet, int target, std::uint64_t id);
void kill_target(simulated_fleet& fleet, int target);

/// Records the result of a request at its entry host. Only the first result
/// counts; an answer after the deadline is a failure.
void record_result(simulated_fleet& fleet, std::uint32_t request,
                   request_status status, time_point time);

/// Returns a live entry host of the request's zone, or of another zone if there
/// is none, or -1 if no host is alive.
int entry_host(simulated_fleet const& fleet, planned_request const& request);

/// Returns the indices of the targets of one pool.
std::vector<int> pool_targets(simulated_fleet const& fleet, int service,
                              int zone);

/// The zone in which faults are injected.
constexpr int fault_zone = 0;

/// Callbacks of a routing policy, called in virtual time.
struct router
{
    std::function<void(std::uint32_t request, int host)> m_arrive;
    std::function<void(int host)> m_host_killed;
    /// Returns the host to kill in the killed-owner scenario.
    std::function<int()> m_select_host_to_kill;
};

/// Simulates all arrivals and the scenario's fault.
void run(simulated_fleet& fleet, router const& policy);

} // namespace hawthornspur::bench

#endif
