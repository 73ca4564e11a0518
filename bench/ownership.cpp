// Compares schemes that choose an owner for each pool among the hosts of its
// zone: how many pools move when hosts join or leave, and how evenly the pools
// are distributed. Prints a Markdown table.

#include "core/ownership.hpp"

#include "core/configuration.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <algorithm>
#include <cstdio>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

ABSL_FLAG(std::uint64_t, seed, 1, "Seed of the host names.");
ABSL_FLAG(int, trials, 300, "Sets of host names for each row.");

namespace
{

using namespace hawthornspur::core;

using name_list = std::vector<std::string>;
/// Owner of each pool of one zone.
using owners = std::map<std::string, std::string>;
/// Chooses the owners for a set of hosts. May keep state between calls.
using scheme = std::function<owners(name_list const& hosts)>;

struct workload
{
    std::string m_title;
    std::size_t m_hosts;
    std::size_t m_zones;
    name_list m_services;
};

std::string numbered_name(std::string prefix, std::uint64_t number)
{
    prefix += std::to_string(number);
    return prefix;
}

std::string pool_key(std::string key, std::string const& zone)
{
    key += '/';
    key += zone;
    return key;
}

name_list make_services(int count)
{
    name_list services;
    for (int i = 0; i < count; ++i)
    {
        services.push_back(
            numbered_name("service-", static_cast<std::uint64_t>(i)));
    }
    return services;
}

configuration make_document(name_list const& services, std::string const& zone)
{
    configuration document;
    document.m_zones.push_back({zone, "region", {}, {}});
    for (auto const& name : services)
    {
        service_config service;
        service.m_name = name;
        document.m_services.push_back(service);
    }
    return document;
}

scheme plain_rendezvous(name_list const& services, std::string const& zone)
{
    return [=](name_list const& hosts)
    {
        owners result;
        for (auto const& service : services)
        {
            auto const key = pool_key(service, zone);
            result[service] = *std::max_element(
                hosts.begin(), hosts.end(),
                [&](std::string const& a, std::string const& b) {
                    return rendezvous_weight(key, a) <
                           rendezvous_weight(key, b);
                });
        }
        return result;
    };
}

scheme product_scheme(name_list const& services, std::string const& zone)
{
    return [=, document = make_document(services, zone)](name_list const& hosts)
    {
        std::vector<owner_candidate> candidates;
        for (auto const& host : hosts)
        {
            candidates.push_back({host, zone});
        }
        return zone_owners(zone, candidates, document);
    };
}

// In hash order, assigns each pool to its highest-weight host below the bound.
scheme bounded_in_hash_order(name_list const& services, std::string const& zone)
{
    return [=](name_list const& hosts)
    {
        auto order = services;
        std::sort(order.begin(), order.end(),
                  [&](std::string const& a, std::string const& b) {
                      return rendezvous_weight("order", a) <
                             rendezvous_weight("order", b);
                  });
        auto const bound = (services.size() + hosts.size() - 1) / hosts.size();
        std::map<std::string, std::size_t> load;
        owners result;
        for (auto const& service : order)
        {
            auto const key = pool_key(service, zone);
            std::string const* best = nullptr;
            for (auto const& host : hosts)
            {
                if (load[host] < bound &&
                    (best == nullptr || rendezvous_weight(key, host) >
                                            rendezvous_weight(key, *best)))
                {
                    best = &host;
                }
            }
            ++load[*best];
            result[service] = *best;
        }
        return result;
    };
}

// Assigns pairs of pool and host by descending weight, skipping hosts that have
// reached the bound.
scheme bounded_by_weight(name_list const& services, std::string const& zone,
                         double slack)
{
    return [=](name_list const& hosts)
    {
        struct pair
        {
            std::uint64_t m_weight;
            std::string const* m_service;
            std::string const* m_host;
        };
        std::vector<pair> pairs;
        for (auto const& service : services)
        {
            for (auto const& host : hosts)
            {
                pairs.push_back(
                    {rendezvous_weight(pool_key(service, zone), host), &service,
                     &host});
            }
        }
        std::sort(pairs.begin(), pairs.end(),
                  [](pair const& a, pair const& b)
                  { return a.m_weight > b.m_weight; });
        auto const mean = static_cast<double>(services.size()) /
                          static_cast<double>(hosts.size());
        auto const bound = static_cast<std::size_t>(mean * slack + 0.999999);
        std::map<std::string, std::size_t> load;
        owners result;
        for (auto const& candidate : pairs)
        {
            if (load[*candidate.m_host] < bound &&
                result.emplace(*candidate.m_service, *candidate.m_host).second)
            {
                ++load[*candidate.m_host];
            }
        }
        return result;
    };
}

scheme ring(name_list const& services, std::string const& zone)
{
    constexpr int virtual_nodes = 100;
    return [=](name_list const& hosts)
    {
        std::map<std::uint64_t, std::string> points;
        for (auto const& host : hosts)
        {
            for (int i = 0; i < virtual_nodes; ++i)
            {
                points[rendezvous_weight(std::to_string(i), host)] = host;
            }
        }
        owners result;
        for (auto const& service : services)
        {
            auto point = points.lower_bound(
                rendezvous_weight("pool", pool_key(service, zone)));
            result[service] =
                point == points.end() ? points.begin()->second : point->second;
        }
        return result;
    };
}

// Maps pools to slots of a table. A coordinator rebalances the slots over the
// hosts with the fewest moves.
scheme slot_table(name_list const& services, std::string const& zone)
{
    constexpr std::size_t slots = 256;
    auto table = std::make_shared<name_list>(slots);
    return [=](name_list const& hosts)
    {
        std::map<std::string, std::vector<std::size_t>> slots_by_host;
        for (auto const& host : hosts)
        {
            slots_by_host[host];
        }
        std::vector<std::size_t> unassigned;
        for (std::size_t slot = 0; slot < slots; ++slot)
        {
            auto const current_host = slots_by_host.find((*table)[slot]);
            if (current_host == slots_by_host.end())
            {
                unassigned.push_back(slot);
            }
            else
            {
                current_host->second.push_back(slot);
            }
        }
        auto const by_size = [](auto const& a, auto const& b)
        {
            return a.second.size() < b.second.size();
        };
        auto const assign_to_least_loaded = [&](std::size_t slot)
        {
            auto const least = std::min_element(slots_by_host.begin(),
                                                slots_by_host.end(), by_size);
            least->second.push_back(slot);
            (*table)[slot] = least->first;
        };
        for (auto const slot : unassigned)
        {
            assign_to_least_loaded(slot);
        }
        while (true)
        {
            auto const [least, most] = std::minmax_element(
                slots_by_host.begin(), slots_by_host.end(), by_size);
            if (most->second.size() <= least->second.size() + 1)
            {
                break;
            }
            auto const slot = most->second.back();
            most->second.pop_back();
            assign_to_least_loaded(slot);
        }
        owners result;
        for (auto const& service : services)
        {
            auto const slot =
                rendezvous_weight("pool", pool_key(service, zone)) % slots;
            result[service] = (*table)[slot];
        }
        return result;
    };
}

std::size_t count_moved(owners const& before, owners const& after)
{
    std::size_t count = 0;
    for (auto const& [service, owner] : before)
    {
        count += after.at(service) != owner ? 1U : 0U;
    }
    return count;
}

struct trial_sums
{
    double m_join = 0;
    double m_leave = 0;
    double m_replace = 0;
    double m_max_pools = 0;
    std::size_t m_worst_max_pools = 0;
};

std::size_t max_pools_per_host(owners const& all)
{
    std::map<std::string, std::size_t> load;
    std::size_t most = 0;
    for (auto const& [service, owner] : all)
    {
        most = std::max(most, ++load[owner]);
    }
    return most;
}

using scheme_factory =
    std::function<scheme(name_list const&, std::string const&)>;

// Measures one set of host names: replaces a third of the hosts in every zone,
// and lets one host join and leave in the first zone.
void measure_trial(workload const& load, scheme_factory const& make_scheme,
                   std::mt19937_64& random, trial_sums& sum)
{
    std::size_t most = 0;
    for (std::size_t zone = 0; zone < load.m_zones; ++zone)
    {
        auto const make_host_name = [&]
        {
            return numbered_name("host-", random());
        };
        auto const count = load.m_hosts / load.m_zones +
                           (zone < load.m_hosts % load.m_zones ? 1 : 0);
        name_list hosts;
        std::generate_n(std::back_inserter(hosts), count, make_host_name);
        auto const zone_name = numbered_name("zone-", zone);
        auto const choose = make_scheme(load.m_services, zone_name);
        auto const before = choose(hosts);
        most = std::max(most, max_pools_per_host(before));
        auto replaced = hosts;
        std::generate_n(replaced.begin(), (count + 1) / 3, make_host_name);
        sum.m_replace +=
            static_cast<double>(count_moved(before, choose(replaced)));
        if (zone == 0)
        {
            auto hosts_with_joined = hosts;
            hosts_with_joined.push_back(make_host_name());
            // New schemes, because some keep state between calls.
            auto const join_scheme = make_scheme(load.m_services, zone_name);
            auto const before_join = join_scheme(hosts);
            auto const after_join = join_scheme(hosts_with_joined);
            sum.m_join +=
                static_cast<double>(count_moved(before_join, after_join));
            auto const leave_scheme = make_scheme(load.m_services, zone_name);
            auto const before_leave = leave_scheme(hosts_with_joined);
            sum.m_leave += static_cast<double>(
                count_moved(before_leave, leave_scheme(hosts)));
        }
    }
    sum.m_max_pools += static_cast<double>(most);
    sum.m_worst_max_pools = std::max(sum.m_worst_max_pools, most);
}

void measure(workload const& load, std::string const& title,
             scheme_factory const& make_scheme)
{
    auto const trials = absl::GetFlag(FLAGS_trials);
    // All schemes are measured with the same host names.
    std::mt19937_64 random(absl::GetFlag(FLAGS_seed));
    trial_sums sum;
    for (int i = 0; i < trials; ++i)
    {
        measure_trial(load, make_scheme, random, sum);
    }
    auto const mean = static_cast<double>(load.m_services.size()) *
                      static_cast<double>(load.m_zones) /
                      static_cast<double>(load.m_hosts);
    std::printf("| %s | %s | %.2f | %.2f | %.2f | %.2f | %.2f | %zu |\n",
                load.m_title.c_str(), title.c_str(), sum.m_join / trials,
                sum.m_leave / trials, sum.m_replace / trials, mean,
                sum.m_max_pools / trials, sum.m_worst_max_pools);
}

} // namespace

int main(int argc, char** argv)
{
    absl::ParseCommandLine(argc, argv);
    std::vector<workload> const workloads{
        {"festivals, 15 hosts, 3 zones, 4 services",
         15,
         3,
         {"map", "bookings", "payments", "scoring"}},
        {"sieves, 15 hosts, 4 zones, 4 services",
         15,
         4,
         {"catalogue", "ordering", "warranty", "calibration"}},
        {"100 hosts, 8 zones, 110 services", 100, 8, make_services(110)},
    };
    std::vector<std::pair<std::string, scheme_factory>> const schemes{
        {"ours (bounded, by weight, 1.25 of the mean rounded down)",
         product_scheme},
        {"rendezvous without bound", plain_rendezvous},
        {"ring, 100 virtual nodes", ring},
        {"256 slots", slot_table},
        {"bounded rendezvous, in turn, mean", bounded_in_hash_order},
        {"bounded rendezvous, by weight, mean",
         [](name_list const& services, std::string const& zone)
         {
             return bounded_by_weight(services, zone, 1.0);
         }},
        {"bounded rendezvous, by weight, 1.25 of the mean rounded up",
         [](name_list const& services, std::string const& zone)
         {
             return bounded_by_weight(services, zone, 1.25);
         }},
    };
    std::puts("| Workload | Scheme | Moved: one joins | Moved: one leaves "
              "| Moved: third replaced | Mean pools a host "
              "| Most pools on a host, average | Most, worst trial |");
    std::puts("|---|---|---|---|---|---|---|---|");
    for (auto const& load : workloads)
    {
        for (auto const& [title, make_scheme] : schemes)
        {
            measure(load, title, make_scheme);
        }
    }
    return 0;
}
