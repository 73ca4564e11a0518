#include "core/models/cluster_script.hpp"

#include <algorithm>

namespace hawthornspur::core::models
{

namespace
{

constexpr duration agreement_bound = std::chrono::seconds(16);

void heal(simulated_cluster& cluster)
{
    for (auto& host : cluster.m_hosts)
    {
        host.m_partition = 0;
    }
}

void submit_race(simulated_cluster& cluster, std::uint32_t number)
{
    auto const base = newest_generation(cluster);
    auto const first = submit(cluster, base, "a" + std::to_string(number));
    auto const second = submit(cluster, base, "b" + std::to_string(number));
    if (first && second)
    {
        cluster.m_violations.emplace_back(
            "two changes based on the same generation were accepted");
    }
}

} // namespace

void apply(simulated_cluster& cluster, cluster_step const& step)
{
    auto const host = step.m_first_argument % cluster.m_hosts.size();
    duration time = std::chrono::milliseconds(step.m_second_argument % 1500);
    switch (step.m_kind)
    {
    case cluster_step_kind::wait:
        time = std::chrono::milliseconds(step.m_second_argument % 8000);
        break;
    case cluster_step_kind::kill:
        kill_host(cluster, host);
        break;
    case cluster_step_kind::start:
        start_host(cluster, host);
        break;
    case cluster_step_kind::pause:
        pause_host(cluster, host,
                   std::chrono::milliseconds(step.m_second_argument % 4000));
        break;
    case cluster_step_kind::drain:
        drain_host(cluster, host);
        break;
    case cluster_step_kind::cut_off:
        cluster.m_hosts[host].m_partition =
            static_cast<int>(step.m_second_argument % 3);
        break;
    case cluster_step_kind::split_zones:
        for (std::size_t i = 0; i < cluster.m_hosts.size(); ++i)
        {
            auto const zone = i % cluster.m_settings.m_zones;
            cluster.m_hosts[i].m_partition =
                static_cast<int>((step.m_first_argument >> zone) & 1U);
        }
        break;
    case cluster_step_kind::heal:
        heal(cluster);
        break;
    case cluster_step_kind::set_loss:
        cluster.m_settings.m_loss_probability =
            step.m_first_argument % 30 / 100.0;
        cluster.m_settings.m_duplicate_probability =
            step.m_second_argument % 30 / 100.0;
        break;
    case cluster_step_kind::submit:
        submit(cluster, newest_generation(cluster),
               "c" + std::to_string(step.m_first_argument));
        break;
    case cluster_step_kind::submit_race:
        submit_race(cluster, step.m_first_argument);
        break;
    case cluster_step_kind::toggle_store:
        cluster.m_store.m_is_up = !cluster.m_store.m_is_up;
        cluster.m_store.m_is_host_list_up =
            step.m_first_argument % 2 == 0 || cluster.m_store.m_is_up;
        break;
    case cluster_step_kind::set_stale_reads:
        cluster.m_store.m_staleness = step.m_first_argument % 4;
        break;
    case cluster_step_kind::count:
        break;
    }
    run(cluster, time);
}

void end_script(simulated_cluster& cluster)
{
    heal(cluster);
    cluster.m_settings.m_loss_probability = 0;
    cluster.m_settings.m_duplicate_probability = 0;
    cluster.m_store.m_is_host_list_up = true;
    cluster.m_store.m_staleness = 0;
    // If a running host has the newest document, the other hosts must fetch it
    // from a peer.
    cluster.m_store.m_is_up = std::none_of(
        cluster.m_hosts.begin(), cluster.m_hosts.end(),
        [&](cluster_host const& host)
        {
            return host.m_is_running && host.m_configuration.m_in_force ==
                                            cluster.m_store.m_accepted.back();
        });
    duration longest_pause{0};
    for (auto const& host : cluster.m_hosts)
    {
        longest_pause =
            std::max(longest_pause, host.m_paused_until - cluster.m_now);
    }
    run(cluster, longest_pause + agreement_bound);
    check_agreement(cluster);
}

} // namespace hawthornspur::core::models
