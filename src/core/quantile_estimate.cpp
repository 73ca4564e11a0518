#include "core/quantile_estimate.hpp"

#include <algorithm>
#include <cassert>

namespace hawthornspur::core
{

namespace
{
constexpr double min_relative_step = 0.03;
} // namespace

void observe(quantile_estimate& estimate, double quantile, double value)
{
    assert(quantile > 0 && quantile < 1 && value > 0);
    if (estimate.m_count == 0)
    {
        estimate.m_value = value;
    }
    else
    {
        // The first values take larger steps, since the initial estimate may be
        // far from the quantile.
        auto const step = std::max(min_relative_step,
                                   0.5 / static_cast<double>(estimate.m_count));
        estimate.m_value *= value > estimate.m_value
                                ? 1 + step * quantile
                                : 1 - step * (1 - quantile);
    }
    estimate.m_count = std::min(estimate.m_count + 1, std::uint32_t{1} << 20U);
}

} // namespace hawthornspur::core
