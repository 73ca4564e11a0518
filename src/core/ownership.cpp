#include "core/ownership.hpp"

#include "core/configuration.hpp"
#include "core/membership.hpp"

#include <xxhash.h>

#include <algorithm>
#include <cassert>
#include <iterator>
#include <tuple>
#include <utility>

namespace hawthornspur::core
{

owner_candidate to_candidate(host_record const& host)
{
    return {host.m_name, host.m_zone, host.m_millicores};
}

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
    auto const* origin = find_zone(document, zone);
    for (auto const& other : document.m_zones)
    {
        if (other.m_name == zone)
        {
            order.emplace_back(duration::min(), other.m_name);
            continue;
        }
        auto delay = duration::max();
        if (origin != nullptr)
        {
            auto const found = origin->m_one_way_delay.find(other.m_name);
            if (found != origin->m_one_way_delay.end())
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

namespace
{

// With a bound equal to the mean, each joining or leaving host also moves
// pools between other hosts; a bound 25 % above the mean moves few of them.
constexpr double pool_bound_factor = 1.25;

std::string pool_key(std::string const& service, std::string const& zone)
{
    return service + "/" + zone;
}

std::size_t max_pools_per_host(std::size_t pools, std::size_t hosts)
{
    auto const rounded_up_mean = (pools + hosts - 1) / hosts;
    auto const scaled_mean = static_cast<std::size_t>(
        pool_bound_factor * static_cast<double>(pools) /
        static_cast<double>(hosts));
    return std::max(rounded_up_mean, scaled_mean);
}

// Returns the hosts of the zone, or of the nearest zone that has hosts.
std::vector<owner_candidate const*>
nearest_hosts(std::string const& zone, std::span<owner_candidate const> hosts,
              configuration const& document)
{
    auto const zones = nearest_zones(document, zone);
    std::vector<owner_candidate const*> nearest;
    auto best_rank = zones.size() + 1;
    for (auto const& host : hosts)
    {
        auto const rank = static_cast<std::size_t>(
            std::find(zones.begin(), zones.end(), host.m_zone) - zones.begin());
        if (rank < best_rank)
        {
            best_rank = rank;
            nearest.clear();
        }
        if (rank == best_rank)
        {
            nearest.push_back(&host);
        }
    }
    return nearest;
}

ranked_host rank_in_zone(owner_candidate const& host,
                         std::string const& zone_key)
{
    return {host.m_millicores, rendezvous_weight(zone_key, host.m_name),
            &host.m_name};
}

void sort_by_rank(std::vector<owner_candidate const*>& hosts,
                  std::string const& zone)
{
    auto const key = pool_key("", zone);
    std::vector<std::pair<ranked_host, owner_candidate const*>> ranks;
    ranks.reserve(hosts.size());
    for (auto const* host : hosts)
    {
        ranks.emplace_back(rank_in_zone(*host, key), host);
    }
    std::sort(ranks.begin(), ranks.end(),
              [](auto const& a, auto const& b)
              { return precedes_in_succession(a.first, b.first); });
    std::transform(ranks.begin(), ranks.end(), hosts.begin(),
                   [](auto const& rank) { return rank.second; });
}

// Removes the hosts beyond the bound on owners per zone; 0 means no bound.
void limit_owners(std::vector<owner_candidate const*>& hosts,
                  std::string const& zone, int max_owners)
{
    auto const bound = static_cast<std::size_t>(max_owners);
    if (max_owners <= 0 || hosts.size() <= bound)
    {
        return;
    }
    sort_by_rank(hosts, zone);
    hosts.resize(bound);
}

} // namespace

std::map<std::string, std::string>
zone_owners(std::string const& zone, std::span<owner_candidate const> hosts,
            configuration const& document)
{
    struct pairing
    {
        std::uint64_t m_weight;
        std::size_t m_service;
        std::size_t m_host;
    };
    auto const& services = document.m_services;
    auto nearest = nearest_hosts(zone, hosts, document);
    std::map<std::string, std::string> owners;
    if (nearest.empty())
    {
        return owners;
    }
    limit_owners(nearest, zone, document.m_max_owners_per_zone);
    std::vector<pairing> pairings;
    pairings.reserve(nearest.size() * services.size());
    for (std::size_t service = 0; service < services.size(); ++service)
    {
        auto const key = pool_key(services[service].m_name, zone);
        for (std::size_t host = 0; host < nearest.size(); ++host)
        {
            pairings.push_back(
                {rendezvous_weight(key, nearest[host]->m_name), service, host});
        }
    }
    std::sort(pairings.begin(), pairings.end(),
              [&](pairing const& a, pairing const& b)
              {
                  if (a.m_weight != b.m_weight)
                  {
                      return a.m_weight > b.m_weight;
                  }
                  return std::tie(services[a.m_service].m_name,
                                  nearest[a.m_host]->m_name) <
                         std::tie(services[b.m_service].m_name,
                                  nearest[b.m_host]->m_name);
              });
    auto const bound = max_pools_per_host(services.size(), nearest.size());
    std::vector<std::size_t> pool_counts(nearest.size());
    std::vector<bool> has_owner(services.size());
    for (auto const& candidate : pairings)
    {
        if (pool_counts[candidate.m_host] < bound &&
            !has_owner[candidate.m_service])
        {
            has_owner[candidate.m_service] = true;
            ++pool_counts[candidate.m_host];
            owners[services[candidate.m_service].m_name] =
                nearest[candidate.m_host]->m_name;
        }
    }
    return owners;
}

ranked_host rank_in_succession(std::string const& zone, host_record const& host)
{
    return {host.m_millicores,
            rendezvous_weight(pool_key("", zone), host.m_name), &host.m_name};
}

bool precedes_in_succession(ranked_host const& a, ranked_host const& b) noexcept
{
    if (a.m_millicores != b.m_millicores)
    {
        return a.m_millicores > b.m_millicores;
    }
    return a.m_weight != b.m_weight ? a.m_weight > b.m_weight
                                    : *a.m_name < *b.m_name;
}

std::vector<std::string> zone_succession(std::string const& zone,
                                         std::span<owner_candidate const> hosts)
{
    std::vector<owner_candidate const*> zone_hosts;
    for (auto const& host : hosts)
    {
        if (host.m_zone == zone)
        {
            zone_hosts.push_back(&host);
        }
    }
    sort_by_rank(zone_hosts, zone);
    std::vector<std::string> names;
    names.reserve(zone_hosts.size());
    for (auto const* host : zone_hosts)
    {
        names.push_back(host->m_name);
    }
    return names;
}

std::vector<std::string> owner_order(pool_id const& pool,
                                     std::span<owner_candidate const> hosts,
                                     configuration const& document)
{
    return owner_order(pool, hosts, document,
                       zone_owners(pool.m_zone, hosts, document));
}

std::vector<std::string>
owner_order(pool_id const& pool, std::span<owner_candidate const> hosts,
            configuration const& document,
            std::map<std::string, std::string> const& owners)
{
    struct zoned_host
    {
        std::size_t m_zone_rank;
        ranked_host m_rank;
    };
    auto const zones = nearest_zones(document, pool.m_zone);
    // If the owners are bounded, all pools of the zone have the same successor.
    bool const is_bounded = document.m_max_owners_per_zone > 0;
    auto const key =
        pool_key(is_bounded ? std::string() : pool.m_service, pool.m_zone);
    std::vector<zoned_host> order;
    order.reserve(hosts.size());
    for (auto const& host : hosts)
    {
        auto const zone_rank = static_cast<std::size_t>(
            std::find(zones.begin(), zones.end(), host.m_zone) - zones.begin());
        auto rank = rank_in_zone(host, key);
        rank.m_millicores = is_bounded ? rank.m_millicores : 0;
        order.push_back({zone_rank, rank});
    }
    std::sort(order.begin(), order.end(),
              [](zoned_host const& a, zoned_host const& b)
              {
                  return a.m_zone_rank != b.m_zone_rank
                             ? a.m_zone_rank < b.m_zone_rank
                             : precedes_in_succession(a.m_rank, b.m_rank);
              });
    std::vector<std::string> names;
    names.reserve(order.size());
    for (auto const& entry : order)
    {
        names.push_back(*entry.m_rank.m_name);
    }
    auto const owner = owners.find(pool.m_service);
    if (owner != owners.end())
    {
        auto const position =
            std::find(names.begin(), names.end(), owner->second);
        assert(position != names.end());
        std::rotate(names.begin(), position, std::next(position));
    }
    return names;
}

} // namespace hawthornspur::core
