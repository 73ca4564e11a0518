#ifndef HAWTHORNSPUR_TOOLS_COMMON_SERVICE_TIME_HPP
#define HAWTHORNSPUR_TOOLS_COMMON_SERVICE_TIME_HPP

#include "common/json_fields.hpp"
#include "core/time.hpp"

#include <random>
#include <string>
#include <vector>

namespace hawthornspur::tools
{

/// Distribution of service times for requests whose path starts with the
/// prefix: log-normal, with a share of requests that take m_tail_factor times
/// longer.
struct service_time
{
    std::string m_prefix = "/";
    core::duration m_median = std::chrono::milliseconds(5);
    /// Standard deviation of the logarithm; 0 makes the time fixed.
    double m_sigma = 0.3;
    double m_tail_probability = 0.01;
    double m_tail_factor = 10;
};

json_fields fields_of(service_time& row);

/// The row with the longest prefix of the path, or null.
service_time const* find_row(std::vector<service_time> const& rows,
                             std::string const& path);

core::duration draw(service_time const& row, std::mt19937_64& random);

} // namespace hawthornspur::tools

#endif
