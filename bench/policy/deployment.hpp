#ifndef HAWTHORNSPUR_BENCH_POLICY_DEPLOYMENT_HPP
#define HAWTHORNSPUR_BENCH_POLICY_DEPLOYMENT_HPP

#include "core/time.hpp"

#include <string>
#include <vector>

namespace hawthornspur::bench
{

using core::duration;
using core::time_point;

struct service_plan
{
    std::string m_name;
    int m_targets = 1;
    double m_median_ms = 8;
    bool m_at_most_once = false;
};

/// One of the two deployments of docs/design.md, section 1.
struct deployment
{
    std::string m_name;
    int m_zones = 3;
    int m_hosts = 14;
    int m_slots = 3;
    int m_connections = 200;
    double m_zone_delay_ms = 5;
    double m_probe_cost_ms = 6;
    double m_connection_cost_ms = 1;
    std::vector<service_plan> m_services;
};

deployment tiza_viva();
deployment setacci_trinacria();

/// Service and zone of one target. Targets and hosts are spread evenly over
/// zones.
struct target_place
{
    int m_service = 0;
    int m_zone = 0;
};
std::vector<target_place> place_targets(deployment const& plan);
int host_zone(deployment const& plan, int host);
int pool_slot_count(deployment const& plan,
                    std::vector<target_place> const& places, int service,
                    int zone);

/// Standard deviation of the logarithm of the service time, which is
/// log-normally distributed.
constexpr double service_sigma = 0.9;
double mean_service_seconds(service_plan const& service);

} // namespace hawthornspur::bench

#endif
