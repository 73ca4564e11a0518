#include "common/service_time.hpp"

#include <cmath>

namespace hawthornspur::tools
{

json_fields get_fields(service_time_distribution& distribution)
{
    return {
        {"prefix", &distribution.m_prefix},
        {"median_ms", &distribution.m_median},
        {"sigma", &distribution.m_sigma},
        {"tail_probability", &distribution.m_tail_probability},
        {"tail_factor", &distribution.m_tail_factor},
    };
}

service_time_distribution const*
find_distribution(std::vector<service_time_distribution> const& distributions,
                  std::string const& path)
{
    service_time_distribution const* best = nullptr;
    for (auto const& distribution : distributions)
    {
        if (path.starts_with(distribution.m_prefix) &&
            (best == nullptr ||
             distribution.m_prefix.size() > best->m_prefix.size()))
        {
            best = &distribution;
        }
    }
    return best;
}

core::duration draw_service_time(service_time_distribution const& distribution,
                                 std::mt19937_64& random)
{
    auto time = std::chrono::duration<double>(distribution.m_median).count();
    if (distribution.m_sigma > 0)
    {
        time *= std::lognormal_distribution<double>(0, distribution.m_sigma)(
            random);
    }
    if (std::bernoulli_distribution(distribution.m_tail_probability)(random))
    {
        time *= distribution.m_tail_factor;
    }
    return std::chrono::duration_cast<core::duration>(
        std::chrono::duration<double>(time));
}

} // namespace hawthornspur::tools
