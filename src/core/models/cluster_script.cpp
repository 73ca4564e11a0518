#include "core/models/cluster_script.hpp"

#include <algorithm>

namespace hawthornspur::core::models
{

namespace
{

constexpr duration agreement_bound = std::chrono::seconds(16);

void heal(simulated_cluster& c)
{
    for (auto& host : c.m_hosts)
    {
        host.m_partition = 0;
    }
}

void submit_race(simulated_cluster& c, std::uint32_t number)
{
    auto const base = newest_generation(c);
    auto const first = submit(c, base, "a" + std::to_string(number));
    auto const second = submit(c, base, "b" + std::to_string(number));
    if (first && second)
    {
        c.m_violations.emplace_back("two changes on one generation accepted");
    }
}

} // namespace

void apply(simulated_cluster& c, cluster_step const& step)
{
    auto const host = step.m_first_argument % c.m_hosts.size();
    duration time = std::chrono::milliseconds(step.m_second_argument % 1500);
    switch (step.m_kind)
    {
    case cluster_step_kind::wait:
        time = std::chrono::milliseconds(step.m_second_argument % 8000);
        break;
    case cluster_step_kind::kill:
        kill_host(c, host);
        break;
    case cluster_step_kind::start:
        start_host(c, host);
        break;
    case cluster_step_kind::pause:
        pause_host(c, host,
                   std::chrono::milliseconds(step.m_second_argument % 4000));
        break;
    case cluster_step_kind::drain:
        drain_host(c, host);
        break;
    case cluster_step_kind::cut_off:
        c.m_hosts[host].m_partition =
            static_cast<int>(step.m_second_argument % 3);
        break;
    case cluster_step_kind::split_zones:
        for (std::size_t i = 0; i < c.m_hosts.size(); ++i)
        {
            auto const zone = i % c.m_settings.m_zones;
            c.m_hosts[i].m_partition =
                static_cast<int>((step.m_first_argument >> zone) & 1U);
        }
        break;
    case cluster_step_kind::heal:
        heal(c);
        break;
    case cluster_step_kind::set_loss:
        c.m_settings.m_loss_probability = step.m_first_argument % 30 / 100.0;
        c.m_settings.m_duplicates = step.m_second_argument % 30 / 100.0;
        break;
    case cluster_step_kind::submit:
        submit(c, newest_generation(c),
               "c" + std::to_string(step.m_first_argument));
        break;
    case cluster_step_kind::submit_race:
        submit_race(c, step.m_first_argument);
        break;
    case cluster_step_kind::toggle_store:
        c.m_store.m_is_up = !c.m_store.m_is_up;
        c.m_store.m_is_list_up =
            step.m_first_argument % 2 == 0 || c.m_store.m_is_up;
        break;
    case cluster_step_kind::set_stale_reads:
        c.m_store.m_staleness = step.m_first_argument % 4;
        break;
    case cluster_step_kind::count:
        break;
    }
    run(c, time);
}

void end_script(simulated_cluster& c)
{
    heal(c);
    c.m_settings.m_loss_probability = 0;
    c.m_settings.m_duplicates = 0;
    c.m_store.m_is_list_up = true;
    c.m_store.m_staleness = 0;
    // The others have to get the newest document from a peer that has it.
    c.m_store.m_is_up = std::none_of(
        c.m_hosts.begin(), c.m_hosts.end(),
        [&](cluster_host const& host)
        {
            return host.m_is_running && host.m_configuration.m_in_force ==
                                            c.m_store.m_accepted.back();
        });
    duration longest_pause{0};
    for (auto const& host : c.m_hosts)
    {
        longest_pause = std::max(longest_pause, host.m_paused_until - c.m_now);
    }
    run(c, longest_pause + agreement_bound);
    check_agreement(c);
}

} // namespace hawthornspur::core::models
