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

enum class job_end : std::uint8_t
{
    done,
    shed,
    connect_failed,
    closed,
};

/// Work at a target. `m_ended` runs at the target's end of the link.
struct job
{
    std::uint64_t m_id = 0;
    duration m_work{0};
    std::function<void(job_end)> m_ended;
    bool m_running = false;
};

/// A target: as many workers as slots, and a queue in front of them that is
/// as long as its connections allow.
struct fake_target
{
    target_place m_place;
    std::vector<job> m_running;
    std::deque<job> m_waiting;
    bool m_dead = false;
    double m_factor = 1;
    std::size_t m_noise_index = 0;
    /// Time spent on probes and their connections.
    duration m_measuring{0};
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
    time_point m_at{};
};

/// The stand-ins that one policy runs against.
struct fleet
{
    deployment m_plan;
    scenario m_scenario;
    workload const* m_work = nullptr;
    event_queue m_events;
    random_engine m_random;
    std::vector<fake_target> m_targets;
    std::vector<bool> m_host_alive;
    std::vector<request_result> m_results;
};

fleet make_fleet(deployment const& plan, scenario const& what,
                 workload const& work, std::uint64_t seed);

/// One-way delay between zones, with jitter and, between zones, losses that
/// are sent again.
duration link_delay(fleet& f, int from_zone, int to_zone);

void start_job(fleet& f, int target, job next);
void cancel_job(fleet& f, int target, std::uint64_t id);
void kill_target(fleet& f, int target);

/// Records the end of a request at its entry host. Only the first counts; an
/// answer after the deadline is a failure.
void finish(fleet& f, std::uint32_t request, request_status status,
            time_point at);

/// The entry host that takes the request in: a live one of its zone, or of
/// the next zone if there is none. Returns -1 if no host lives.
int entry_host(fleet const& f, planned_request const& request);

/// Targets of one pool.
std::vector<int> pool_targets(fleet const& f, int service, int zone);

/// The target, host or zone that the scenario's fault hits.
constexpr int fault_zone = 0;

/// A policy that routes requests. Called in virtual time.
struct router
{
    std::function<void(std::uint32_t request, int host)> m_arrive;
    std::function<void(int host)> m_host_killed;
    /// The host that a killed-owner scenario kills.
    std::function<int()> m_victim;
};

/// Runs all arrivals and the scenario's fault.
void run(fleet& f, router const& policy);

} // namespace hawthornspur::bench

#endif
