// Measures membership in virtual time: messages and records per second, and the
// time until all hosts have detected a killed host, a lost zone, a healed
// partition and a new configuration. Prints Markdown tables.

#include "core/models/cluster.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <algorithm>
#include <cstdio>
#include <functional>
#include <string>
#include <vector>

ABSL_FLAG(std::uint64_t, seed, 1, "First seed.");
ABSL_FLAG(int, trials, 20, "Seeds for each row.");
ABSL_FLAG(bool, times, true,
          "Also measure detection times, which takes minutes.");
ABSL_FLAG(double, loss, 0.01, "Share of lost datagrams.");

namespace
{

using namespace hawthornspur::core;
using std::chrono::milliseconds;
using std::chrono::seconds;

struct cluster_size
{
    std::size_t m_hosts;
    std::size_t m_zones;
};

constexpr duration settling_time = seconds(20);
constexpr duration measuring_time = seconds(60);
constexpr duration time_step = milliseconds(10);
constexpr duration max_wait = seconds(60);

models::simulated_cluster make_settled_cluster(cluster_size const& size,
                                               std::uint64_t seed,
                                               bool reports_link_loss)
{
    models::cluster_settings settings;
    settings.m_hosts = size.m_hosts;
    settings.m_zones = size.m_zones;
    settings.m_seed = seed;
    settings.m_loss_probability = absl::GetFlag(FLAGS_loss);
    settings.m_reports_link_loss = reports_link_loss;
    auto cluster = models::make_cluster(settings);
    models::run(cluster, settling_time);
    return cluster;
}

void print_messages(cluster_size const& size)
{
    auto cluster = make_settled_cluster(size, absl::GetFlag(FLAGS_seed), false);
    for (auto& host : cluster.m_hosts)
    {
        host.m_sent_messages = 0;
        host.m_sent_records = 0;
    }
    models::run(cluster, measuring_time);
    struct role_totals
    {
        double m_hosts = 0;
        double m_messages = 0;
        double m_records = 0;
        double m_max_messages = 0;
    };
    role_totals members;
    role_totals delegates;
    auto const time = std::chrono::duration<double>(measuring_time).count();
    for (auto const& host : cluster.m_hosts)
    {
        auto& totals = is_delegate(*host.m_membership) ? delegates : members;
        auto const rate = static_cast<double>(host.m_sent_messages) / time;
        totals.m_hosts += 1;
        totals.m_messages += rate;
        totals.m_records += static_cast<double>(host.m_sent_records) / time;
        totals.m_max_messages = std::max(totals.m_max_messages, rate);
    }
    auto const print = [&](char const* role, role_totals const& all)
    {
        if (all.m_hosts > 0)
        {
            std::printf("| %zu | %zu | %s | %.0f | %.1f | %.1f | %.1f |\n",
                        size.m_hosts, size.m_zones, role, all.m_hosts,
                        all.m_messages / all.m_hosts, all.m_max_messages,
                        all.m_records / all.m_hosts);
        }
    };
    print("delegate", delegates);
    print("other", members);
}

using condition = std::function<bool(models::simulated_cluster const&)>;

double time_until(models::simulated_cluster& cluster,
                  condition const& is_satisfied)
{
    auto const start = cluster.m_now;
    while (!is_satisfied(cluster) && cluster.m_now < start + max_wait)
    {
        models::run(cluster, time_step);
    }
    return std::chrono::duration<double, std::milli>(cluster.m_now - start)
        .count();
}

bool holds_on_all_hosts(models::simulated_cluster const& cluster,
                        std::function<bool(std::size_t)> const& holds_on_host)
{
    for (std::size_t i = 0; i < cluster.m_hosts.size(); ++i)
    {
        if (cluster.m_hosts[i].m_is_running && !holds_on_host(i))
        {
            return false;
        }
    }
    return true;
}

double measure_killed_host(cluster_size const& size, std::uint64_t seed,
                           bool reports_link_loss, bool own_zone_only)
{
    auto cluster = make_settled_cluster(size, seed, reports_link_loss);
    auto const victim = seed % size.m_hosts;
    models::kill_host(cluster, victim);
    return time_until(cluster,
                      [&](models::simulated_cluster const& current)
                      {
                          return holds_on_all_hosts(
                              current,
                              [&](std::size_t viewer)
                              {
                                  return (own_zone_only &&
                                          current.m_hosts[viewer].m_zone !=
                                              current.m_hosts[victim].m_zone) ||
                                         !models::has_state_in_view(
                                             current, viewer, victim,
                                             host_state::live);
                              });
                      });
}

double measure_lost_zone(cluster_size const& size, std::uint64_t seed)
{
    auto cluster = make_settled_cluster(size, seed, false);
    auto const zone = seed % size.m_zones;
    for (std::size_t i = zone; i < size.m_hosts; i += size.m_zones)
    {
        models::kill_host(cluster, i);
    }
    return time_until(
        cluster,
        [&](models::simulated_cluster const& current)
        {
            return holds_on_all_hosts(
                current,
                [&](std::size_t viewer)
                {
                    for (std::size_t i = zone; i < size.m_hosts;
                         i += size.m_zones)
                    {
                        if (models::has_state_in_view(current, viewer, i,
                                                      host_state::live))
                        {
                            return false;
                        }
                    }
                    return true;
                });
        });
}

bool has_all_live_in_view(models::simulated_cluster const& cluster,
                          std::size_t viewer)
{
    auto const visible_hosts = hosts(*cluster.m_hosts[viewer].m_membership);
    return visible_hosts.size() + 1 == cluster.m_hosts.size() &&
           std::all_of(visible_hosts.begin(), visible_hosts.end(),
                       [](host_record const& r)
                       { return r.m_state == host_state::live; });
}

double measure_healed_partition(cluster_size const& size, std::uint64_t seed)
{
    auto cluster = make_settled_cluster(size, seed, false);
    for (std::size_t i = 0; i < size.m_hosts; ++i)
    {
        cluster.m_hosts[i].m_partition =
            i % size.m_zones < size.m_zones / 2 ? 1 : 0;
    }
    models::run(cluster, seconds(120));
    for (auto& host : cluster.m_hosts)
    {
        host.m_partition = 0;
    }
    return time_until(cluster,
                      [](models::simulated_cluster const& current)
                      {
                          return holds_on_all_hosts(
                              current,
                              [&](std::size_t viewer) {
                                  return has_all_live_in_view(current, viewer);
                              });
                      });
}

double measure_configuration(cluster_size const& size, std::uint64_t seed)
{
    auto cluster = make_settled_cluster(size, seed, false);
    auto const has_newest =
        [&](models::simulated_cluster const& current, std::size_t viewer)
    {
        return current.m_hosts[viewer].m_configuration.m_in_force ==
               current.m_store.m_accepted.back();
    };
    models::submit(cluster, 1, "second");
    while (holds_on_all_hosts(cluster, [&](std::size_t viewer)
                              { return !has_newest(cluster, viewer); }))
    {
        models::run(cluster, milliseconds(1));
    }
    cluster.m_store.m_is_up = false;
    return time_until(cluster,
                      [&](models::simulated_cluster const& current)
                      {
                          return holds_on_all_hosts(
                              current, [&](std::size_t viewer)
                              { return has_newest(current, viewer); });
                      });
}

void print_times(cluster_size const& size, char const* title,
                 std::function<double(std::uint64_t)> const& measure)
{
    std::vector<double> times;
    for (int i = 0; i < absl::GetFlag(FLAGS_trials); ++i)
    {
        times.push_back(
            measure(absl::GetFlag(FLAGS_seed) + static_cast<std::uint64_t>(i)));
    }
    std::sort(times.begin(), times.end());
    std::printf("| %zu | %zu | %s | %.0f | %.0f |\n", size.m_hosts,
                size.m_zones, title, times[times.size() / 2], times.back());
}

void print_all_times(std::vector<cluster_size> const& sizes)
{
    std::puts("\n| Hosts | Zones | Time until all know | Median ms "
              "| Largest ms |");
    std::puts("|---|---|---|---|---|");
    for (auto const& size : sizes)
    {
        print_times(size, "killed host, own zone, with link notices",
                    [&](std::uint64_t seed)
                    { return measure_killed_host(size, seed, true, true); });
        print_times(size, "killed host, own zone, pings only",
                    [&](std::uint64_t seed)
                    { return measure_killed_host(size, seed, false, true); });
        print_times(size, "killed host, everywhere, pings only",
                    [&](std::uint64_t seed)
                    { return measure_killed_host(size, seed, false, false); });
        print_times(size, "zone lost, pings only",
                    [&](std::uint64_t seed)
                    { return measure_lost_zone(size, seed); });
        print_times(size, "partition of 120 s healed",
                    [&](std::uint64_t seed)
                    { return measure_healed_partition(size, seed); });
        print_times(size, "new configuration, from the first host, store down",
                    [&](std::uint64_t seed)
                    { return measure_configuration(size, seed); });
    }
}

// Prints false suspicions and false deaths per host and hour.
void print_errors(cluster_size const& size, double loss)
{
    constexpr int seeds = 3;
    double suspicions = 0;
    double deaths = 0;
    double wrong_views = 0;
    for (std::uint64_t i = 0; i < seeds; ++i)
    {
        auto cluster =
            make_settled_cluster(size, absl::GetFlag(FLAGS_seed) + i, false);
        cluster.m_settings.m_loss_probability = loss;
        cluster.m_suspicions = 0;
        cluster.m_false_deaths = 0;
        models::run(cluster, measuring_time);
        suspicions += static_cast<double>(cluster.m_suspicions);
        deaths += static_cast<double>(cluster.m_false_deaths);
        cluster.m_settings.m_loss_probability = 0;
        models::run(cluster, seconds(10));
        models::check_agreement(cluster);
        wrong_views += static_cast<double>(cluster.m_violations.size());
    }
    auto const host_hours =
        std::chrono::duration<double>(measuring_time).count() / 3600 * seeds *
        static_cast<double>(size.m_hosts);
    std::printf("| %zu | %zu | %.0f%% | %.1f | %.2f | %.0f |\n", size.m_hosts,
                size.m_zones, loss * 100, suspicions / host_hours,
                deaths / host_hours, wrong_views);
}

} // namespace

int main(int argc, char** argv)
{
    absl::ParseCommandLine(argc, argv);
    std::vector<cluster_size> const sizes{{5, 3}, {19, 3}, {100, 8}};
    std::puts("| Hosts | Zones | Role | Number | Messages a second, mean "
              "| Messages a second, largest | Records a second, mean |");
    std::puts("|---|---|---|---|---|---|---|");
    for (auto const& size : sizes)
    {
        print_messages(size);
    }
    if (absl::GetFlag(FLAGS_times))
    {
        print_all_times(sizes);
    }
    std::puts("\n| Hosts | Zones | Loss | False suspicions seen by a host in "
              "an hour | False deaths | Wrong views 10 s later |");
    std::puts("|---|---|---|---|---|---|");
    for (auto const& size : sizes)
    {
        for (double const loss : {0.01, 0.03, 0.1})
        {
            print_errors(size, loss);
        }
    }
    return 0;
}
