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

namespace
{

// A bound at the mean moves pools of other hosts with each change; a quarter
// above it moves few.
constexpr double bound_above_mean = 1.25;

std::string pool_key(std::string const& service, std::string const& zone)
{
    return service + "/" + zone;
}

std::size_t largest_number_of_pools(std::size_t pools, std::size_t hosts)
{
    auto const rounded_up = (pools + hosts - 1) / hosts;
    auto const above_mean =
        static_cast<std::size_t>(bound_above_mean * static_cast<double>(pools) /
                                 static_cast<double>(hosts));
    return std::max(rounded_up, above_mean);
}

// The hosts of the zone, or of the nearest zone that has a host.
std::vector<owner_candidate const*>
hosts_near(std::string const& zone, std::span<owner_candidate const> hosts,
           configuration const& document)
{
    auto const zones = nearest_zones(document, zone);
    std::vector<owner_candidate const*> found;
    auto best = zones.size() + 1;
    for (auto const& host : hosts)
    {
        auto const rank = static_cast<std::size_t>(
            std::find(zones.begin(), zones.end(), host.m_zone) - zones.begin());
        if (rank < best)
        {
            best = rank;
            found.clear();
        }
        if (rank == best)
        {
            found.push_back(&host);
        }
    }
    return found;
}

/// The order in which hosts own all pools of a zone where their number is
/// bounded: a small host could not carry the traffic of a whole zone.
struct bounded_rank
{
    int m_millicores;
    std::uint64_t m_weight;
    owner_candidate const* m_host;
};

bounded_rank rank_in_zone(owner_candidate const& host,
                          std::string const& zone_key)
{
    return {host.m_millicores, rendezvous_weight(zone_key, host.m_name), &host};
}

bool goes_first(bounded_rank const& a, bounded_rank const& b)
{
    if (a.m_millicores != b.m_millicores)
    {
        return a.m_millicores > b.m_millicores;
    }
    return a.m_weight != b.m_weight ? a.m_weight > b.m_weight
                                    : a.m_host->m_name < b.m_host->m_name;
}

void sort_by_rank(std::vector<owner_candidate const*>& hosts,
                  std::string const& zone)
{
    auto const key = pool_key("", zone);
    std::vector<bounded_rank> ranks;
    ranks.reserve(hosts.size());
    for (auto const* host : hosts)
    {
        ranks.push_back(rank_in_zone(*host, key));
    }
    std::sort(ranks.begin(), ranks.end(), goes_first);
    std::transform(ranks.begin(), ranks.end(), hosts.begin(),
                   [](bounded_rank const& rank) { return rank.m_host; });
}

/// Keeps the hosts that may own pools of the zone where their number is
/// bounded.
void keep_first_hosts(std::vector<owner_candidate const*>& hosts,
                      std::string const& zone, int most)
{
    auto const bound = static_cast<std::size_t>(most);
    if (most <= 0 || hosts.size() <= bound)
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
    auto near = hosts_near(zone, hosts, document);
    std::map<std::string, std::string> owners;
    if (near.empty())
    {
        return owners;
    }
    keep_first_hosts(near, zone, document.m_max_owners_per_zone);
    std::vector<pairing> pairings;
    pairings.reserve(near.size() * services.size());
    for (std::size_t service = 0; service < services.size(); ++service)
    {
        auto const key = pool_key(services[service].m_name, zone);
        for (std::size_t host = 0; host < near.size(); ++host)
        {
            pairings.push_back(
                {rendezvous_weight(key, near[host]->m_name), service, host});
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
                                  near[a.m_host]->m_name) <
                         std::tie(services[b.m_service].m_name,
                                  near[b.m_host]->m_name);
              });
    auto const bound = largest_number_of_pools(services.size(), near.size());
    std::vector<std::size_t> load(near.size());
    std::vector<bool> has_owner(services.size());
    for (auto const& each : pairings)
    {
        if (load[each.m_host] < bound && !has_owner[each.m_service])
        {
            has_owner[each.m_service] = true;
            ++load[each.m_host];
            owners[services[each.m_service].m_name] = near[each.m_host]->m_name;
        }
    }
    return owners;
}

std::vector<std::string> zone_succession(std::string const& zone,
                                         std::span<owner_candidate const> hosts)
{
    std::vector<owner_candidate const*> found;
    for (auto const& host : hosts)
    {
        if (host.m_zone == zone)
        {
            found.push_back(&host);
        }
    }
    sort_by_rank(found, zone);
    std::vector<std::string> names;
    names.reserve(found.size());
    for (auto const* host : found)
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
    struct ranked
    {
        std::size_t m_zone_rank;
        bounded_rank m_rank;
    };
    auto const zones = nearest_zones(document, pool.m_zone);
    // Where few hosts own all pools of a zone, one successor takes all of them.
    bool const is_bounded = document.m_max_owners_per_zone > 0;
    auto const key =
        pool_key(is_bounded ? std::string() : pool.m_service, pool.m_zone);
    std::vector<ranked> order;
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
              [](ranked const& a, ranked const& b)
              {
                  return a.m_zone_rank != b.m_zone_rank
                             ? a.m_zone_rank < b.m_zone_rank
                             : goes_first(a.m_rank, b.m_rank);
              });
    std::vector<std::string> names;
    names.reserve(order.size());
    for (auto const& entry : order)
    {
        names.push_back(entry.m_rank.m_host->m_name);
    }
    auto const owner = owners.find(pool.m_service);
    if (owner != owners.end())
    {
        auto const place = std::find(names.begin(), names.end(), owner->second);
        assert(place != names.end());
        std::rotate(names.begin(), place, std::next(place));
    }
    return names;
}

} // namespace hawthornspur::core
