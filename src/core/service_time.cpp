#include "core/service_time.hpp"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace hawthornspur::core
{

namespace
{

constexpr double min_mean_weight = 0.02;
constexpr double long_kind_factor = 10;
constexpr double long_kind_share = 0.5;
constexpr double normal_quantile_95 = 1.645;
constexpr std::uint32_t min_samples_for_long_kind = 3;

duration to_duration(double value)
{
    return std::chrono::duration_cast<duration>(seconds(value));
}

} // namespace

void observe(service_time& times, duration elapsed)
{
    // The time may be zero with a virtual or coarse clock; quantile estimates
    // need positive values.
    auto const value = std::max(1e-6, seconds(elapsed).count());
    ++times.m_samples;
    auto const weight =
        std::max(min_mean_weight, 1.0 / static_cast<double>(times.m_samples));
    times.m_mean_seconds += weight * (value - times.m_mean_seconds);
    observe(times.m_median, 0.5, value);
    observe(times.m_p95, 0.95, value);
}

duration mean(service_time const& times)
{
    return to_duration(times.m_mean_seconds);
}

duration median(service_time const& times)
{
    return to_duration(times.m_median.m_value);
}

duration p95(service_time const& times)
{
    return to_duration(times.m_p95.m_value);
}

double log_spread(service_time const& times)
{
    assert(times.m_samples > 0);
    return std::max(0.0,
                    std::log(times.m_p95.m_value / times.m_median.m_value)) /
           normal_quantile_95;
}

double slot_share(double declared_share, bool is_declared,
                  service_time const& kind, service_time const& pool)
{
    assert(declared_share >= 0 && declared_share <= 1);
    if (is_declared)
    {
        return declared_share;
    }
    bool const is_long =
        kind.m_samples >= min_samples_for_long_kind &&
        kind.m_median.m_value >= long_kind_factor * pool.m_median.m_value;
    return is_long ? std::min(declared_share, long_kind_share) : declared_share;
}

} // namespace hawthornspur::core
