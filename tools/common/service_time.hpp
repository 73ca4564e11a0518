#ifndef HAWTHORNSPUR_TOOLS_COMMON_SERVICE_TIME_HPP
#define HAWTHORNSPUR_TOOLS_COMMON_SERVICE_TIME_HPP

#include "common/json_fields.hpp"
#include "core/time.hpp"

#include <random>
#include <string>
#include <vector>

namespace hawthornspur::tools
{

/// Service time distribution of requests whose path starts with the prefix:
/// log-normal, with a fraction m_tail_probability of requests taking
/// m_tail_factor times as long.
struct service_time_distribution
{
    std::string m_prefix = "/";
    core::duration m_median = std::chrono::milliseconds(5);
    /// Standard deviation of the logarithm; 0 disables the log-normal
    /// variation.
    double m_sigma = 0.3;
    double m_tail_probability = 0.01;
    double m_tail_factor = 10;
};

json_fields get_fields(service_time_distribution& distribution);

/// Returns the distribution with the longest matching prefix, or null.
service_time_distribution const*
find_distribution(std::vector<service_time_distribution> const& distributions,
                  std::string const& path);

core::duration draw_service_time(service_time_distribution const& distribution,
                                 std::mt19937_64& random);

} // namespace hawthornspur::tools

#endif
