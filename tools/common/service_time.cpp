#include "common/service_time.hpp"

#include <cmath>

namespace hawthornspur::tools
{

json_fields fields_of(service_time& row)
{
    return {
        {"prefix", &row.m_prefix},
        {"median_ms", &row.m_median},
        {"sigma", &row.m_sigma},
        {"tail_probability", &row.m_tail_probability},
        {"tail_factor", &row.m_tail_factor},
    };
}

service_time const* find_row(std::vector<service_time> const& rows,
                             std::string const& path)
{
    service_time const* best = nullptr;
    for (auto const& row : rows)
    {
        if (path.starts_with(row.m_prefix) &&
            (best == nullptr || row.m_prefix.size() > best->m_prefix.size()))
        {
            best = &row;
        }
    }
    return best;
}

core::duration draw(service_time const& row, std::mt19937_64& random)
{
    auto time = std::chrono::duration<double>(row.m_median).count();
    if (row.m_sigma > 0)
    {
        time *= std::lognormal_distribution<double>(0, row.m_sigma)(random);
    }
    if (std::bernoulli_distribution(row.m_tail_probability)(random))
    {
        time *= row.m_tail_factor;
    }
    return std::chrono::duration_cast<core::duration>(
        std::chrono::duration<double>(time));
}

} // namespace hawthornspur::tools
