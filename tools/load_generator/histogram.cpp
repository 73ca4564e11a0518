#include "load_generator/histogram.hpp"

#include <boost/histogram.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <cmath>

namespace hawthornspur::tools
{

namespace
{

namespace bh = boost::histogram;

constexpr double lowest_ms = 1e-3;
constexpr double highest_ms = 1e6;
/// Bins 1% wide: log(highest_ms / lowest_ms) / log(1.01).
constexpr unsigned bin_count = 2083;

auto make_bins()
{
    return bh::make_histogram(
        bh::axis::regular<double, bh::axis::transform::log>(
            bin_count, lowest_ms, highest_ms));
}

} // namespace

struct latency_histogram::bins
{
    decltype(make_bins()) m_values = make_bins();
};

latency_histogram::latency_histogram()
    : m_bins(std::make_unique<bins>())
{
}

latency_histogram::~latency_histogram() = default;
latency_histogram::latency_histogram(latency_histogram&&) noexcept = default;
latency_histogram&
latency_histogram::operator=(latency_histogram&&) noexcept = default;

void latency_histogram::add(core::duration latency)
{
    double const ms =
        std::chrono::duration<double, std::milli>(latency).count();
    m_bins->m_values(std::clamp(ms, lowest_ms, highest_ms / 2));
    ++m_count;
    m_sum += ms;
    m_max = std::max(m_max, ms);
}

double latency_histogram::percentile(double quantile) const
{
    if (m_count == 0)
    {
        return 0;
    }
    double const rank = quantile * static_cast<double>(m_count);
    double cumulative = 0;
    auto const& axis = m_bins->m_values.axis();
    for (int i = 0; i < axis.size(); ++i)
    {
        double const in_bin = m_bins->m_values.at(i);
        if (in_bin > 0 && cumulative + in_bin >= rank)
        {
            double const fraction = (rank - cumulative) / in_bin;
            return std::min(m_max, axis.value(i + fraction));
        }
        cumulative += in_bin;
    }
    return m_max;
}

double latency_histogram::mean() const
{
    return m_count == 0 ? 0 : m_sum / static_cast<double>(m_count);
}

nlohmann::json summarize(latency_histogram const& histogram)
{
    return {{"count", histogram.count()},
            {"mean", histogram.mean()},
            {"p50", histogram.percentile(0.5)},
            {"p90", histogram.percentile(0.9)},
            {"p99", histogram.percentile(0.99)},
            {"p99.9", histogram.percentile(0.999)},
            {"max", histogram.percentile(1)}};
}

nlohmann::json percentile_curve(latency_histogram const& histogram)
{
    auto curve = nlohmann::json::array();
    if (histogram.count() == 0)
    {
        return curve;
    }
    // Ten points for each factor of ten in 1 - quantile, up to the last
    // quantile that at least one value exceeds.
    constexpr int points_per_decade = 10;
    // Compensates rounding errors of std::pow.
    constexpr double tolerance = 1e-9;
    for (int i = 0;; ++i)
    {
        double const tail_share =
            std::pow(10.0, -static_cast<double>(i) / points_per_decade);
        if (tail_share * static_cast<double>(histogram.count()) < 1 - tolerance)
        {
            return curve;
        }
        curve.push_back({1 - tail_share, histogram.percentile(1 - tail_share)});
    }
}

} // namespace hawthornspur::tools
