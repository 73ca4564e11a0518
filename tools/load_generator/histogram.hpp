#ifndef HAWTHORNSPUR_TOOLS_LOAD_GENERATOR_HISTOGRAM_HPP
#define HAWTHORNSPUR_TOOLS_LOAD_GENERATOR_HISTOGRAM_HPP

#include "core/time.hpp"

#include <nlohmann/json_fwd.hpp>

#include <memory>

namespace hawthornspur::tools
{

/// Histogram of latencies from 1 us to 1000 s with logarithmic bins, each 1%
/// wide.
class latency_histogram
{
public:
    latency_histogram();
    ~latency_histogram();
    latency_histogram(latency_histogram&&) noexcept;
    latency_histogram& operator=(latency_histogram&&) noexcept;

    void add(core::duration latency);

    std::uint64_t count() const noexcept
    {
        return m_count;
    }

    /// Returns the latency at a quantile from 0 to 1 in milliseconds,
    /// interpolated within a bin; 1 yields the exact maximum. 0 without values.
    double percentile(double quantile) const;

    /// Returns the mean in milliseconds; 0 without values.
    double mean() const;

private:
    struct bins;
    std::unique_ptr<bins> m_bins;
    std::uint64_t m_count = 0;
    double m_sum = 0;
    double m_max = 0;
};

/// `{count, mean, p50, p90, p99, p99.9, max}` in milliseconds.
nlohmann::json summarize(latency_histogram const& histogram);

/// Percentile curve for a plot: `[[quantile, ms], ...]` with ascending
/// quantiles, more closely spaced near 1.
nlohmann::json percentile_curve(latency_histogram const& histogram);

} // namespace hawthornspur::tools

#endif
