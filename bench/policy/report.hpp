#ifndef HAWTHORNSPUR_BENCH_POLICY_REPORT_HPP
#define HAWTHORNSPUR_BENCH_POLICY_REPORT_HPP

#include "fleet.hpp"
#include "routers.hpp"

#include <memory>
#include <string>
#include <vector>

namespace hawthornspur::bench
{

enum class policy : std::uint8_t
{
    core,
    round_robin,
    two_choices,
    two_choices_probed,
    central,
};

std::string to_string(policy value);

/// Result of one scenario under one policy.
struct run_result
{
    policy m_policy = policy::core;
    std::vector<request_result> m_results;
    core_counts m_counts;
    /// Largest share of the run that a target spent on probes.
    double m_probe_time_share = 0;
};

/// Results of the same arrivals under several policies.
struct scenario_result
{
    deployment m_plan;
    scenario m_scenario;
    std::shared_ptr<workload const> m_workload;
    std::vector<run_result> m_runs;
};

scenario_result run_scenario(deployment const& plan, scenario const& settings,
                             std::vector<policy> const& policies,
                             core::queue_order order, std::uint64_t seed);

/// Returns the run of the policy, which the result must contain.
run_result const& find_run(scenario_result const& result, policy value);

/// Requests that a statistic covers. Times are arrival times.
struct selection
{
    duration m_from = std::chrono::seconds(1);
    duration m_to = std::chrono::hours(1);
    /// -1 selects all.
    int m_service = -1;
    int m_zone = -1;
    int m_kind = -1;
};

struct statistics
{
    std::size_t m_total = 0;
    std::size_t m_answered = 0;
    std::size_t m_refused = 0;
    std::size_t m_failed = 0;
    /// Milliseconds beyond the request's own service time. A failed request
    /// counts with the time from arrival to deadline.
    double m_p50 = 0;
    double m_p99 = 0;
    double m_p999 = 0;
    /// Milliseconds from arrival to answer.
    double m_response_p99 = 0;
    /// Milliseconds from arrival to refusal.
    double m_refusal_p50 = 0;
    double m_refusal_p99 = 0;
};

statistics measure(scenario_result const& result, run_result const& run,
                   selection const& filter);

/// Returns the answers to short requests per second that reach their callers
/// between two times and before their deadline.
double answers_per_second(scenario_result const& result, run_result const& run,
                          duration from, duration to);

/// Returns the short requests per second that all slots can finish between two
/// times, from the mean service time and the noise of the workload.
double capacity_per_second(scenario_result const& result, duration from,
                           duration to);

/// Prints one row per policy.
void print_table(scenario_result const& result, std::string const& title,
                 selection const& filter);

} // namespace hawthornspur::bench

#endif
