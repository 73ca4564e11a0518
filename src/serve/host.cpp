#include "serve/host.hpp"

#include "base/activity.hpp"
#include "base/logging.hpp"
#include "core/once_table.hpp"
#include "serve/administration.hpp"
#include "serve/caller_server.hpp"
#include "serve/configuration_driver.hpp"
#include "serve/configuration_proofs.hpp"
#include "serve/configuration_sync.hpp"
#include "serve/crash_reports.hpp"
#include "serve/directory_server.hpp"
#include "serve/forwarding.hpp"
#include "serve/leaving_targets.hpp"
#include "serve/membership_driver.hpp"
#include "serve/peer_driver.hpp"
#include "serve/quota_state.hpp"
#include "serve/rate_limits.hpp"
#include "serve/readiness.hpp"
#include "serve/spilling.hpp"
#include "serve/start_queue.hpp"
#include "serve/stop.hpp"
#include "serve/store_sync.hpp"

#include <csignal>
#include <utility>

namespace hawthornspur::serve
{

namespace
{

/// Free slots in other zones change about twice a second; summaries are sent
/// more often to keep them current.
constexpr auto summary_interval = std::chrono::milliseconds(200);
constexpr auto housekeeping_interval = std::chrono::milliseconds(50);

/// Intervals of a host without calls or pools. Most hosts are standby hosts,
/// and each wake-up costs processor time.
constexpr auto standby_housekeeping_interval = std::chrono::milliseconds(250);
constexpr auto standby_summary_interval = std::chrono::seconds(1);
constexpr auto host_list_interval = std::chrono::seconds(1);
// Long enough to count the attempts under a limit of one request per second.
constexpr auto rate_usage_interval = std::chrono::seconds(4);
constexpr auto rate_limits_interval = std::chrono::seconds(1);

/// Longest delay until a new epoch of at-most-once keys is announced.
constexpr auto announcement_interval = std::chrono::seconds(1);

core::duration next_housekeeping_delay(entry_host const& host)
{
    bool const is_standby = host.m_forwarded_calls.empty() &&
                            host.m_calls.empty() &&
                            host.m_stop_stage == stop_stage::running;
    return is_standby ? core::duration(standby_housekeeping_interval)
                      : core::duration(housekeeping_interval);
}

core::duration next_summary_delay(entry_host const& host)
{
    return host.m_pools.empty() ? core::duration(standby_summary_interval)
                                : core::duration(summary_interval);
}

struct repeated_action
{
    /// A string literal, which names the action where its time is reported.
    char const* m_name;
    core::duration (*m_interval)(entry_host const&);
    void (*m_action)(entry_host&);
};

/// Calls the action repeatedly for the lifetime of the host.
status add_repeated_action(entry_host& host, repeated_action const& repeated)
{
    auto const index = host.m_interval_timers.size();
    auto timer = net::timer::create(
        *host.m_loop,
        [&host, index, repeated]
        {
            diagnostics::activity_scope const scope(repeated.m_name);
            detect_pause(host);
            repeated.m_action(host);
            host.m_interval_timers[index]->start(repeated.m_interval(host));
        });
    if (!has_value(timer))
    {
        return failure(timer);
    }
    host.m_interval_timers.push_back(take(std::move(timer)));
    host.m_interval_timers.back()->start(repeated.m_interval(host));
    return success();
}

status add_stop_signal(entry_host& host, int number, std::string const& name)
{
    auto watch = net::signal_watch::create(
        *host.m_loop, number, [&host, name] { begin_stop(host, name); });
    if (!has_value(watch))
    {
        return failure(watch);
    }
    host.m_signal_watches.push_back(take(std::move(watch)));
    return success();
}

void announce_periodically(entry_host& host)
{
    announce_self(host);
    if (host.m_stop_stage != stop_stage::running)
    {
        announce_to_linked_hosts(host);
    }
}

void request_host_list(entry_host& host)
{
    if (!host.m_platform_calls.m_list_hosts)
    {
        return;
    }
    host.m_platform_calls.m_list_hosts(
        [&host](result<std::vector<platform::listed_host>> const& listed)
        {
            if (!has_value(listed))
            {
                host.m_metrics.count_event("host_list_unavailable");
                return;
            }
            on_listed_entry_hosts(host, value(listed));
            on_listed_targets(host, value(listed));
        });
}

void run_housekeeping(entry_host& host)
{
    record_loop_delay(host);
    if (judge_readiness(host))
    {
        announce_self(host);
    }
    expire_forwards(host);
    expire_held_calls(host);
    maintain_crash_suspects(host);
    limit_caller_connections(host);
    read_missed_configuration(host);
    maintain_configuration_proof(host);
    if (host.m_once_table != nullptr)
    {
        core::remove_expired_keys(*host.m_once_table, now());
    }
    if (core::is_superseded(*host.m_membership) &&
        host.m_stop_stage == stop_stage::running)
    {
        begin_stop(host, "another process uses this host name");
    }
    advance_stop(host);
    host.m_loop_delay.m_due = now() + next_housekeeping_delay(host);
}

status start_repeated_actions(entry_host& host)
{
    for (auto const& repeated :
         {repeated_action{"host.summaries", next_summary_delay, send_summaries},
          repeated_action{"host.housekeeping", next_housekeeping_delay,
                          run_housekeeping},
          repeated_action{"host.rate_usage",
                          [](entry_host const&) -> core::duration
                          { return rate_usage_interval; },
                          log_rate_usage},
          repeated_action{"host.rate_limits",
                          [](entry_host const&) -> core::duration
                          { return rate_limits_interval; },
                          share_rate_limits},
          repeated_action{"host.announce",
                          [](entry_host const&) -> core::duration
                          { return announcement_interval; },
                          announce_periodically},
          repeated_action{"host.host_list",
                          [](entry_host const&) -> core::duration
                          { return host_list_interval; },
                          request_host_list}})
    {
        auto added = add_repeated_action(host, repeated);
        if (!has_value(added))
        {
            return added;
        }
    }
    return success();
}

std::uint64_t make_random_seed()
{
    std::random_device device;
    constexpr unsigned half_bits = 32;
    return (static_cast<std::uint64_t>(device()) << half_bits) | device();
}

} // namespace

entry_host::entry_host() = default;
entry_host::~entry_host() = default;

result<std::unique_ptr<entry_host>> create_host(net::event_loop& loop,
                                                config::host_settings settings,
                                                platform_adapter adapter)
{
    auto host = std::make_unique<entry_host>();
    host->m_settings = std::move(settings);
    host->m_adapter = std::move(adapter);
    host->m_deployment_bounds =
        host->m_adapter.m_read_bounds(host->m_settings.m_platform_bounds);
    host->m_loop = &loop;
    host->m_fleet_start.m_process_start = now();
    host->m_random.seed(make_random_seed());
    host->m_incarnation = host->m_random();
    auto client = net::http_client::create(loop);
    if (!has_value(client))
    {
        return failure(client);
    }
    host->m_http_client = take(std::move(client));
    auto retirement =
        net::timer::create(loop,
                           [&retired = *host]
                           {
                               // Destructors may end others.
                               std::exchange(retired.m_ended_calls, {});
                               std::exchange(retired.m_retired_pools, {});
                           });
    if (!has_value(retirement))
    {
        return failure(retirement);
    }
    host->m_retirement_timer = take(std::move(retirement));
    host->m_connect_checker = std::make_unique<net::connect_checker>(loop);
    host->m_platform_calls = host->m_adapter.m_make_calls(
        *host->m_http_client, {host->m_settings.m_platform.m_address,
                               host->m_settings.m_platform.m_port});
    for (auto* step : {&open_caller_server, &open_peer_network,
                       &open_administration, &open_directory_servers,
                       &start_configuration_proofs, &start_membership,
                       &start_configuration_sync, &start_repeated_actions})
    {
        if (auto const opened = (*step)(*host); !has_value(opened))
        {
            return failure(opened);
        }
    }
    request_host_list(*host);
    logging::write(
        logging::level::info, "serve.host", "host started",
        {{"host", host->m_settings.m_name},
         {"zone", host->m_settings.m_zone},
         {"callers_port", std::to_string(host->m_caller_server->port())},
         {"peers_port", std::to_string(host->m_peer_network->port())},
         {"administration_port",
          std::to_string(host->m_administration_server->port())}});
    return host;
}

void retire_pool(entry_host& host, core::pool_id const& id)
{
    auto const found = host.m_pools.find(id);
    if (found != host.m_pools.end())
    {
        found->second->m_timer->stop();
        host.m_retired_pools.push_back(std::move(found->second));
        host.m_pools.erase(found);
        host.m_retirement_timer->start(core::duration(0));
    }
}

status watch_stop_signals(entry_host& host)
{
    for (auto const& [number, name] :
         {std::pair{SIGTERM, "SIGTERM"}, std::pair{SIGINT, "SIGINT"}})
    {
        if (auto added = add_stop_signal(host, number, name); !has_value(added))
        {
            return added;
        }
    }
    return success();
}

status watch_reload_signal(entry_host& host, std::function<void()> action)
{
    auto watch = net::signal_watch::create(*host.m_loop, SIGHUP,
                                           [&host, action = std::move(action)]
                                           {
                                               detect_pause(host);
                                               action();
                                           });
    if (!has_value(watch))
    {
        return failure(watch);
    }
    host.m_signal_watches.push_back(take(std::move(watch)));
    return success();
}

void reload_settings(entry_host& host, config::host_settings const& changed)
{
    auto& current = host.m_settings;
    bool const needs_restart = changed.m_name != current.m_name ||
                               changed.m_zone != current.m_zone ||
                               changed.m_callers != current.m_callers ||
                               changed.m_peers != current.m_peers ||
                               changed.m_platform != current.m_platform;
    current.m_stop_bound = changed.m_stop_bound;
    current.m_max_descriptors = changed.m_max_descriptors;
    update_descriptor_limit(host);
    current.m_log_level = changed.m_log_level;
    current.m_zones = changed.m_zones;
    current.m_zone_delay = changed.m_zone_delay;
    current.m_platform_bounds = changed.m_platform_bounds;
    current.m_seeds = changed.m_seeds;
    contact_seeds(host);
    host.m_deployment_bounds =
        host.m_adapter.m_read_bounds(current.m_platform_bounds);
    logging::write(logging::level::info, "serve.host", "settings reloaded",
                   {{"host", current.m_name},
                    {"needs_restart", needs_restart ? "yes" : "no"}});
}

} // namespace hawthornspur::serve
