#ifndef HAWTHORNSPUR_TOOLS_LOAD_GENERATOR_HISTOGRAM_HPP
#define HAWTHORNSPUR_TOOLS_LOAD_GENERATOR_HISTOGRAM_HPP

#include "core/time.hpp"

#include <nlohmann/json_fwd.hpp>

#include <memory>

namespace hawthornspur::tools
{

/// Latencies on a logarithmic axis from 1 us to 1000 s, with bins 1% wide.
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

    /// In milliseconds, interpolated within a bin; 0 without values. The
    /// share is from 0 to 1, where 1 gives the exact maximum.
    double percentile(double share) const;

    /// Mean of the values in milliseconds; 0 without values.
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

/// Percentiles for a plot: `[[share, ms], ...]` with ascending shares, closer
/// together near 1.
nlohmann::json percentile_curve(latency_histogram const& histogram);

} // namespace hawthornspur::tools

#endif
