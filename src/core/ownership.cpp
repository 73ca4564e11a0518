#include "core/ownership.hpp"

#include "core/configuration.hpp"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace hawthornspur::core
{

std::uint64_t rendezvous_weight(std::string_view key,
                                std::string_view host) noexcept
{
    auto const seed = XXH64(key.data(), key.size(), 0);
    return XXH64(host.data(), host.size(), seed);
}

std::vector<std::string> nearest_zones(configuration const& document,
                                       std::string const& zone)
{
    std::vector<std::pair<duration, std::string>> order;
    auto const* here = find_zone(document, zone);
    for (auto const& other : document.m_zones)
    {
        if (other.m_name == zone)
        {
            order.emplace_back(duration::min(), other.m_name);
            continue;
        }
        auto delay = duration::max();
        if (here != nullptr)
        {
            auto const found = here->m_one_way_delay.find(other.m_name);
            if (found != here->m_one_way_delay.end())
            {
                delay = found->second;
            }
        }
        order.emplace_back(delay, other.m_name);
    }
    std::sort(order.begin(), order.end());
    std::vector<std::string> names;
    names.reserve(order.size());
    for (auto& entry : order)
    {
        names.push_back(std::move(entry.second));
    }
    return names;
}

std::vector<std::string> owner_order(pool_id const& pool,
                                     std::span<owner_candidate const> hosts,
                                     configuration const& document)
{
    struct ranked
    {
        std::size_t m_zone_rank;
        std::uint64_t m_weight;
        std::string const* m_name;
    };
    auto const zones = nearest_zones(document, pool.m_zone);
    auto const key = pool.m_service + "/" + pool.m_zone;
    std::vector<ranked> order;
    order.reserve(hosts.size());
    for (auto const& host : hosts)
    {
        auto const rank = static_cast<std::size_t>(
            std::find(zones.begin(), zones.end(), host.m_zone) - zones.begin());
        order.push_back(
            {rank, rendezvous_weight(key, host.m_name), &host.m_name});
    }
    std::sort(order.begin(), order.end(),
              [](ranked const& a, ranked const& b)
              {
                  if (a.m_zone_rank != b.m_zone_rank)
                  {
                      return a.m_zone_rank < b.m_zone_rank;
                  }
                  if (a.m_weight != b.m_weight)
                  {
                      return a.m_weight > b.m_weight;
                  }
                  return *a.m_name < *b.m_name;
              });
    std::vector<std::string> names;
    names.reserve(order.size());
    for (auto const& entry : order)
    {
        names.push_back(*entry.m_name);
    }
    return names;
}

} // namespace hawthornspur::core
