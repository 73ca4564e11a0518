#ifndef HAWTHORNSPUR_BENCH_POLICY_WORKLOAD_HPP
#define HAWTHORNSPUR_BENCH_POLICY_WORKLOAD_HPP

#include "deployment.hpp"

#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace hawthornspur::bench
{

using random_engine = std::mt19937_64;

enum class fault : std::uint8_t
{
    none,
    slow_target,
    dead_target,
    killed_owner,
    lost_zone,
};

/// Load and faults of one run. Loads are multiples of the nominal capacity:
/// slots divided by the mean service time.
struct scenario
{
    std::string m_name;
    double m_load = 0.7;
    /// Load during the disturbance, reached within one second; 0 for no peak.
    double m_peak = 0;
    /// Share of long requests. The load includes their work.
    double m_long_share = 0;
    /// Generates the same short requests but omits the long ones.
    bool m_omits_long = false;
    /// Deadlines of short requests are random between 0.2 and 1.8 s instead of
    /// 1 s.
    bool m_mixed_deadlines = false;
    /// Whether noisy neighbours temporarily slow targets down.
    bool m_noise = true;
    fault m_fault = fault::none;
    /// The fault is injected at the start; a peak lasts until the end.
    duration m_disturbance_start = std::chrono::seconds(3);
    duration m_disturbance_end = std::chrono::seconds(6);
    duration m_duration = std::chrono::seconds(8);
    /// Share of a target's time that probes may take.
    double m_probe_budget = 0.02;
};

struct planned_request
{
    time_point m_arrival;
    int m_service = 0;
    int m_zone = 0;
    int m_host = 0;
    /// 0 short, 1 long.
    std::uint32_t m_kind = 0;
    duration m_work{0};
    time_point m_deadline;
};

/// An interval in which a neighbour slows a target down.
struct noise
{
    time_point m_start;
    time_point m_end;
    double m_slowdown_factor = 1;
};

/// The random input of a run, which is the same for all policies.
struct workload
{
    std::vector<planned_request> m_requests;
    /// By target, in order of time.
    std::vector<std::vector<noise>> m_noise;
};

/// Upper bound of the slowdown by a neighbour.
constexpr double max_noise_factor = 4;
/// Work of a long request relative to a short one.
constexpr double long_work_factor = 50;
constexpr duration short_deadline = std::chrono::seconds(1);
constexpr duration long_deadline = std::chrono::seconds(10);

workload make_workload(deployment const& plan, scenario const& settings,
                       std::uint64_t seed);

/// Returns the load at a time of the run, as a multiple of the capacity.
double load_at(scenario const& settings, duration since_start);

} // namespace hawthornspur::bench

#endif
