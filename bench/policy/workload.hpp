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

/// What happens in one run. Loads are multiples of the nominal capacity:
/// slots divided by the mean service time.
struct scenario
{
    std::string m_name;
    double m_load = 0.7;
    /// Load between m_event and m_event_end, reached within a second.
    double m_peak = 0;
    /// Share of requests that are long. Their work is part of the load.
    double m_long_share = 0;
    /// Draws the same short requests but leaves the long ones out.
    bool m_drop_long = false;
    /// Draws deadlines of short requests between 0.2 and 1.8 s instead of 1 s.
    bool m_mixed_deadlines = false;
    /// Neighbours slow targets down for a while.
    bool m_noise = true;
    fault m_fault = fault::none;
    duration m_event = std::chrono::seconds(3);
    duration m_event_end = std::chrono::seconds(6);
    duration m_length = std::chrono::seconds(8);
    /// Target time per second that measuring may cost at one target.
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

/// A time in which a neighbour slows a target down.
struct noise
{
    time_point m_start;
    time_point m_end;
    double m_factor = 1;
};

/// Everything that is random about a run but does not depend on the policy.
struct workload
{
    std::vector<planned_request> m_requests;
    /// By target, in order of time.
    std::vector<std::vector<noise>> m_noise;
};

/// Neighbours slow a target down by at most this factor.
constexpr double largest_noise_factor = 4;
constexpr double long_factor = 50;
constexpr duration short_deadline = std::chrono::seconds(1);
constexpr duration long_deadline = std::chrono::seconds(10);

workload make_workload(deployment const& plan, scenario const& what,
                       std::uint64_t seed);

/// Load at a time of the run, as a multiple of the capacity.
double load_at(scenario const& what, duration since_start);

} // namespace hawthornspur::bench

#endif
