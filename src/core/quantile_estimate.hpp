#ifndef HAWTHORNSPUR_CORE_QUANTILE_ESTIMATE_HPP
#define HAWTHORNSPUR_CORE_QUANTILE_ESTIMATE_HPP

#include <cstdint>

namespace hawthornspur::core
{

/// Estimate of one quantile of a positive quantity in constant space, by
/// stochastic approximation with relative steps. The weight of old values
/// decreases, so the estimate follows a changing load.
struct quantile_estimate
{
    double m_value = 0;
    std::uint32_t m_count = 0;
};

/// Moves the estimate of `quantile` (0 to 1) towards `value`, which must be
/// positive.
void observe(quantile_estimate& estimate, double quantile, double value);

} // namespace hawthornspur::core

#endif
