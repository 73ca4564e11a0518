// Compares schemes that choose an owner for each pool among the hosts of its
// zone: how many pools move when hosts come and go, and how evenly the pools
// are spread. Prints one Markdown table.

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

using names = std::vector<std::string>;
/// Owner of each pool of one zone.
using owners = std::map<std::string, std::string>;
/// Chooses the owners anew from the hosts; may keep state between changes.
using scheme = std::function<owners(names const& hosts)>;

struct workload
{
    std::string m_title;
    std::size_t m_hosts;
    std::size_t m_zones;
    names m_services;
};

std::string numbered(std::string prefix, std::uint64_t number)
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

names numbered_services(int count)
{
    names services;
    for (int i = 0; i < count; ++i)
    {
        services.push_back(numbered("service-", static_cast<std::uint64_t>(i)));
    }
    return services;
}

configuration document_of(names const& services, std::string const& zone)
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

scheme plain_rendezvous(names const& services, std::string const& zone)
{
    return [=](names const& hosts)
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

scheme current_owners(names const& services, std::string const& zone)
{
    return [=, document = document_of(services, zone)](names const& hosts)
    {
        std::vector<owner_candidate> candidates;
        for (auto const& host : hosts)
        {
            candidates.push_back({host, zone});
        }
        return zone_owners(zone, candidates, document);
    };
}

// Pools take their best host that is below the bound, in the order of their
// hashes.
scheme bounded_in_turn(names const& services, std::string const& zone)
{
    return [=](names const& hosts)
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

// The pair of pool and host with the highest weight comes first, as long as
// the host is below the bound.
scheme bounded_by_weight(names const& services, std::string const& zone,
                         double slack)
{
    return [=](names const& hosts)
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
        for (auto const& each : pairs)
        {
            if (load[*each.m_host] < bound &&
                result.emplace(*each.m_service, *each.m_host).second)
            {
                ++load[*each.m_host];
            }
        }
        return result;
    };
}

scheme ring(names const& services, std::string const& zone)
{
    constexpr int virtual_nodes = 100;
    return [=](names const& hosts)
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

// A table of slots that a coordinator keeps even with the fewest moves.
scheme slot_table(names const& services, std::string const& zone)
{
    constexpr std::size_t slots = 256;
    auto table = std::make_shared<names>(slots);
    return [=](names const& hosts)
    {
        std::map<std::string, std::vector<std::size_t>> held;
        for (auto const& host : hosts)
        {
            held[host];
        }
        std::vector<std::size_t> open;
        for (std::size_t slot = 0; slot < slots; ++slot)
        {
            auto const holder = held.find((*table)[slot]);
            if (holder == held.end())
            {
                open.push_back(slot);
            }
            else
            {
                holder->second.push_back(slot);
            }
        }
        auto const by_size = [](auto const& a, auto const& b)
        {
            return a.second.size() < b.second.size();
        };
        auto const give = [&](std::size_t slot)
        {
            auto const least =
                std::min_element(held.begin(), held.end(), by_size);
            least->second.push_back(slot);
            (*table)[slot] = least->first;
        };
        for (auto const slot : open)
        {
            give(slot);
        }
        while (true)
        {
            auto const [least, most] =
                std::minmax_element(held.begin(), held.end(), by_size);
            if (most->second.size() <= least->second.size() + 1)
            {
                break;
            }
            auto const slot = most->second.back();
            most->second.pop_back();
            give(slot);
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

std::size_t moved(owners const& before, owners const& after)
{
    std::size_t count = 0;
    for (auto const& [service, owner] : before)
    {
        count += after.at(service) != owner ? 1U : 0U;
    }
    return count;
}

struct sums
{
    double m_join = 0;
    double m_leave = 0;
    double m_replace = 0;
    double m_most = 0;
    std::size_t m_worst = 0;
};

std::size_t most_pools(owners const& all)
{
    std::map<std::string, std::size_t> load;
    std::size_t most = 0;
    for (auto const& [service, owner] : all)
    {
        most = std::max(most, ++load[owner]);
    }
    return most;
}

using maker = std::function<scheme(names const&, std::string const&)>;

// One zone after another; joins and leaves happen in the first zone, a third
// of the hosts of every zone is replaced.
void measure_trial(workload const& load, maker const& make,
                   std::mt19937_64& random, sums& sum)
{
    std::size_t most = 0;
    for (std::size_t zone = 0; zone < load.m_zones; ++zone)
    {
        auto const fresh = [&]
        {
            return numbered("host-", random());
        };
        auto const count = load.m_hosts / load.m_zones +
                           (zone < load.m_hosts % load.m_zones ? 1 : 0);
        names hosts;
        std::generate_n(std::back_inserter(hosts), count, fresh);
        auto const zone_name = numbered("zone-", zone);
        auto const choose = make(load.m_services, zone_name);
        auto const before = choose(hosts);
        most = std::max(most, most_pools(before));
        auto replaced = hosts;
        std::generate_n(replaced.begin(), (count + 1) / 3, fresh);
        sum.m_replace += static_cast<double>(moved(before, choose(replaced)));
        if (zone == 0)
        {
            auto more = hosts;
            more.push_back(fresh());
            // The schemes with state start from the same table again.
            auto const first = make(load.m_services, zone_name);
            auto const start = first(hosts);
            auto const joined = first(more);
            sum.m_join += static_cast<double>(moved(start, joined));
            auto const second = make(load.m_services, zone_name);
            auto const full = second(more);
            sum.m_leave += static_cast<double>(moved(full, second(hosts)));
        }
    }
    sum.m_most += static_cast<double>(most);
    sum.m_worst = std::max(sum.m_worst, most);
}

void measure(workload const& load, std::string const& title, maker const& make)
{
    auto const trials = absl::GetFlag(FLAGS_trials);
    // Every scheme sees the same names.
    std::mt19937_64 random(absl::GetFlag(FLAGS_seed));
    sums sum;
    for (int i = 0; i < trials; ++i)
    {
        measure_trial(load, make, random, sum);
    }
    auto const mean = static_cast<double>(load.m_services.size()) *
                      static_cast<double>(load.m_zones) /
                      static_cast<double>(load.m_hosts);
    std::printf("| %s | %s | %.2f | %.2f | %.2f | %.2f | %.2f | %zu |\n",
                load.m_title.c_str(), title.c_str(), sum.m_join / trials,
                sum.m_leave / trials, sum.m_replace / trials, mean,
                sum.m_most / trials, sum.m_worst);
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
        {"100 hosts, 8 zones, 110 services", 100, 8, numbered_services(110)},
    };
    std::vector<std::pair<std::string, maker>> const schemes{
        {"ours (bounded, by weight, 1.25 of the mean rounded down)",
         current_owners},
        {"rendezvous without bound", plain_rendezvous},
        {"ring, 100 virtual nodes", ring},
        {"256 slots", slot_table},
        {"bounded rendezvous, in turn, mean", bounded_in_turn},
        {"bounded rendezvous, by weight, mean",
         [](names const& services, std::string const& zone)
         {
             return bounded_by_weight(services, zone, 1.0);
         }},
        {"bounded rendezvous, by weight, 1.25 of the mean rounded up",
         [](names const& services, std::string const& zone)
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
        for (auto const& [title, make] : schemes)
        {
            measure(load, title, make);
        }
    }
    return 0;
}
