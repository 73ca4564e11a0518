// Measures membership in virtual time: messages and records a second, and the
// time until all hosts know of a killed host, a lost zone, a healed partition
// and a new configuration. Prints Markdown tables.

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
ABSL_FLAG(bool, times, true, "Also measure the times, which takes minutes.");
ABSL_FLAG(double, loss, 0.01, "Share of lost datagrams.");

namespace
{

using namespace hawthornspur::core;
using std::chrono::milliseconds;
using std::chrono::seconds;

struct size
{
    std::size_t m_hosts;
    std::size_t m_zones;
};

constexpr duration settling = seconds(20);
constexpr duration counted = seconds(60);
constexpr duration step = milliseconds(10);
constexpr duration give_up = seconds(60);

models::simulated_cluster settled(size const& s, std::uint64_t seed,
                                  bool notices)
{
    models::cluster_settings settings;
    settings.m_hosts = s.m_hosts;
    settings.m_zones = s.m_zones;
    settings.m_seed = seed;
    settings.m_loss_probability = absl::GetFlag(FLAGS_loss);
    settings.m_reports_link_loss = notices;
    auto c = models::make_cluster(settings);
    models::run(c, settling);
    return c;
}

void print_messages(size const& s)
{
    auto c = settled(s, absl::GetFlag(FLAGS_seed), false);
    for (auto& host : c.m_hosts)
    {
        host.m_sent_messages = 0;
        host.m_sent_records = 0;
    }
    models::run(c, counted);
    struct sum
    {
        double m_hosts = 0;
        double m_messages = 0;
        double m_records = 0;
        double m_most = 0;
    };
    sum members;
    sum delegates;
    auto const time = std::chrono::duration<double>(counted).count();
    for (auto const& host : c.m_hosts)
    {
        auto& to = is_delegate(*host.m_membership) ? delegates : members;
        auto const rate = static_cast<double>(host.m_sent_messages) / time;
        to.m_hosts += 1;
        to.m_messages += rate;
        to.m_records += static_cast<double>(host.m_sent_records) / time;
        to.m_most = std::max(to.m_most, rate);
    }
    auto const print = [&](char const* role, sum const& all)
    {
        if (all.m_hosts > 0)
        {
            std::printf("| %zu | %zu | %s | %.0f | %.1f | %.1f | %.1f |\n",
                        s.m_hosts, s.m_zones, role, all.m_hosts,
                        all.m_messages / all.m_hosts, all.m_most,
                        all.m_records / all.m_hosts);
        }
    };
    print("delegate", delegates);
    print("other", members);
}

using condition = std::function<bool(models::simulated_cluster const&)>;

double time_until(models::simulated_cluster& c, condition const& is_met)
{
    auto const start = c.m_now;
    while (!is_met(c) && c.m_now < start + give_up)
    {
        models::run(c, step);
    }
    return std::chrono::duration<double, std::milli>(c.m_now - start).count();
}

bool all_viewers(models::simulated_cluster const& c,
                 std::function<bool(std::size_t)> const& is_right)
{
    for (std::size_t i = 0; i < c.m_hosts.size(); ++i)
    {
        if (c.m_hosts[i].m_is_running && !is_right(i))
        {
            return false;
        }
    }
    return true;
}

double killed(size const& s, std::uint64_t seed, bool notices, bool own_zone)
{
    auto c = settled(s, seed, notices);
    auto const victim = seed % s.m_hosts;
    models::kill_host(c, victim);
    return time_until(
        c,
        [&](models::simulated_cluster const& now)
        {
            return all_viewers(
                now,
                [&](std::size_t viewer)
                {
                    return (own_zone && now.m_hosts[viewer].m_zone !=
                                            now.m_hosts[victim].m_zone) ||
                           !models::has_state_in_view(now, viewer, victim,
                                                      host_state::live);
                });
        });
}

double zone_lost(size const& s, std::uint64_t seed)
{
    auto c = settled(s, seed, false);
    auto const zone = seed % s.m_zones;
    for (std::size_t i = zone; i < s.m_hosts; i += s.m_zones)
    {
        models::kill_host(c, i);
    }
    return time_until(c,
                      [&](models::simulated_cluster const& now)
                      {
                          return all_viewers(
                              now,
                              [&](std::size_t viewer)
                              {
                                  for (std::size_t i = zone; i < s.m_hosts;
                                       i += s.m_zones)
                                  {
                                      if (models::has_state_in_view(
                                              now, viewer, i, host_state::live))
                                      {
                                          return false;
                                      }
                                  }
                                  return true;
                              });
                      });
}

bool sees_all_live(models::simulated_cluster const& c, std::size_t viewer)
{
    auto const known = hosts(*c.m_hosts[viewer].m_membership);
    return known.size() + 1 == c.m_hosts.size() &&
           std::all_of(known.begin(), known.end(),
                       [](host_record const& r)
                       { return r.m_state == host_state::live; });
}

double healed(size const& s, std::uint64_t seed)
{
    auto c = settled(s, seed, false);
    for (std::size_t i = 0; i < s.m_hosts; ++i)
    {
        c.m_hosts[i].m_partition = i % s.m_zones < s.m_zones / 2 ? 1 : 0;
    }
    models::run(c, seconds(120));
    for (auto& host : c.m_hosts)
    {
        host.m_partition = 0;
    }
    return time_until(c,
                      [](models::simulated_cluster const& now)
                      {
                          return all_viewers(
                              now, [&](std::size_t viewer)
                              { return sees_all_live(now, viewer); });
                      });
}

double configured(size const& s, std::uint64_t seed)
{
    auto c = settled(s, seed, false);
    auto const has_newest =
        [&](models::simulated_cluster const& now, std::size_t viewer)
    {
        return now.m_hosts[viewer].m_configuration.m_in_force ==
               now.m_store.m_accepted.back();
    };
    models::submit(c, 1, "second");
    while (all_viewers(c, [&](std::size_t viewer)
                       { return !has_newest(c, viewer); }))
    {
        models::run(c, milliseconds(1));
    }
    c.m_store.m_is_up = false;
    return time_until(c,
                      [&](models::simulated_cluster const& now)
                      {
                          return all_viewers(now,
                                             [&](std::size_t viewer) {
                                                 return has_newest(now, viewer);
                                             });
                      });
}

void print_times(size const& s, char const* title,
                 std::function<double(std::uint64_t)> const& measure)
{
    std::vector<double> times;
    for (int i = 0; i < absl::GetFlag(FLAGS_trials); ++i)
    {
        times.push_back(
            measure(absl::GetFlag(FLAGS_seed) + static_cast<std::uint64_t>(i)));
    }
    std::sort(times.begin(), times.end());
    std::printf("| %zu | %zu | %s | %.0f | %.0f |\n", s.m_hosts, s.m_zones,
                title, times[times.size() / 2], times.back());
}

void print_all_times(std::vector<size> const& sizes)
{
    std::puts("\n| Hosts | Zones | Time until all know | Median ms "
              "| Largest ms |");
    std::puts("|---|---|---|---|---|");
    for (auto const& s : sizes)
    {
        print_times(s, "killed host, own zone, with link notices",
                    [&](std::uint64_t seed)
                    { return killed(s, seed, true, true); });
        print_times(s, "killed host, own zone, pings only",
                    [&](std::uint64_t seed)
                    { return killed(s, seed, false, true); });
        print_times(s, "killed host, everywhere, pings only",
                    [&](std::uint64_t seed)
                    { return killed(s, seed, false, false); });
        print_times(s, "zone lost, pings only",
                    [&](std::uint64_t seed) { return zone_lost(s, seed); });
        print_times(s, "partition of 120 s healed",
                    [&](std::uint64_t seed) { return healed(s, seed); });
        print_times(s, "new configuration, from the first host, store down",
                    [&](std::uint64_t seed) { return configured(s, seed); });
    }
}

// Suspicions and deaths of running hosts as seen by one host in an hour.
void print_errors(size const& s, double loss)
{
    constexpr int seeds = 3;
    double suspicions = 0;
    double deaths = 0;
    double wrong = 0;
    for (std::uint64_t i = 0; i < seeds; ++i)
    {
        auto c = settled(s, absl::GetFlag(FLAGS_seed) + i, false);
        c.m_settings.m_loss_probability = loss;
        c.m_suspicions = 0;
        c.m_false_deaths = 0;
        models::run(c, counted);
        suspicions += static_cast<double>(c.m_suspicions);
        deaths += static_cast<double>(c.m_false_deaths);
        c.m_settings.m_loss_probability = 0;
        models::run(c, seconds(10));
        models::check_agreement(c);
        wrong += static_cast<double>(c.m_violations.size());
    }
    auto const host_hours = std::chrono::duration<double>(counted).count() /
                            3600 * seeds * static_cast<double>(s.m_hosts);
    std::printf("| %zu | %zu | %.0f%% | %.1f | %.2f | %.0f |\n", s.m_hosts,
                s.m_zones, loss * 100, suspicions / host_hours,
                deaths / host_hours, wrong);
}

} // namespace

int main(int argc, char** argv)
{
    absl::ParseCommandLine(argc, argv);
    std::vector<size> const sizes{{5, 3}, {19, 3}, {100, 8}};
    std::puts("| Hosts | Zones | Role | Number | Messages a second, mean "
              "| Messages a second, largest | Records a second, mean |");
    std::puts("|---|---|---|---|---|---|---|");
    for (auto const& s : sizes)
    {
        print_messages(s);
    }
    if (absl::GetFlag(FLAGS_times))
    {
        print_all_times(sizes);
    }
    std::puts("\n| Hosts | Zones | Loss | False suspicions seen by a host in "
              "an hour | False deaths | Wrong views 10 s later |");
    std::puts("|---|---|---|---|---|---|");
    for (auto const& s : sizes)
    {
        for (double const loss : {0.01, 0.03, 0.1})
        {
            print_errors(s, loss);
        }
    }
    return 0;
}
