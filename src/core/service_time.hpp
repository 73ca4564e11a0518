#ifndef HAWTHORNSPUR_CORE_SERVICE_TIME_HPP
#define HAWTHORNSPUR_CORE_SERVICE_TIME_HPP

#include "core/quantile_estimate.hpp"
#include "core/time.hpp"

#include <chrono>
#include <cstdint>

namespace hawthornspur::core
{

using seconds = std::chrono::duration<double>;

/// Statistics of the time from dispatch to the end of the answer. Only complete
/// answers count, since a fast failure says nothing about processing times.
struct service_time
{
    double m_mean_seconds = 0;
    std::uint32_t m_samples = 0;
    quantile_estimate m_median;
    quantile_estimate m_p95;
};

void observe(service_time& times, duration elapsed);

/// Zero while nothing has been observed.
duration mean(service_time const& times);
duration median(service_time const& times);
duration p95(service_time const& times);

/// Standard deviation of the logarithm of the time, estimated from the median
/// and the 95th percentile. Requires at least one observation.
double log_spread(service_time const& times);

/// Share of the pool's slots that a kind may hold, 0 to 1. A kind without a
/// declared share whose median is ten times that of the pool gets half, so that
/// long requests never hold all slots.
double slot_share(double declared_share, bool is_declared,
                  service_time const& kind, service_time const& pool);

} // namespace hawthornspur::core

#endif
