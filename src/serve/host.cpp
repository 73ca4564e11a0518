#include "serve/host.hpp"

#include "base/logging.hpp"
#include "core/once_table.hpp"
#include "serve/administration.hpp"
#include "serve/caller_server.hpp"
#include "serve/configuration_driver.hpp"
#include "serve/configuration_sync.hpp"
#include "serve/directory_server.hpp"
#include "serve/forwarding.hpp"
#include "serve/leaving_targets.hpp"
#include "serve/membership_driver.hpp"
#include "serve/peer_driver.hpp"
#include "serve/spilling.hpp"
#include "serve/stop.hpp"
#include "serve/store_sync.hpp"

#include <csignal>
#include <utility>

namespace hawthornspur::serve
{

namespace
{

/// Free slots of other zones change with their neighbours about twice a second.
constexpr auto summary_interval = std::chrono::milliseconds(200);
constexpr auto housekeeping_interval = std::chrono::milliseconds(50);

/// The same while nothing that this host passed on can be late: most hosts
/// stand by, and each wake-up costs processor time.
constexpr auto standby_housekeeping_interval = std::chrono::milliseconds(250);
constexpr auto standby_summary_interval = std::chrono::seconds(1);
constexpr auto host_list_interval = std::chrono::seconds(1);

/// How fast a new epoch of at-most-once keys is announced.
constexpr auto announcement_interval = std::chrono::seconds(1);

core::duration next_housekeeping(entry_host const& h)
{
    bool const is_standby = h.m_forwards.empty() && h.m_calls.empty() &&
                            h.m_stop_stage == stop_stage::running;
    return is_standby ? core::duration(standby_housekeeping_interval)
                      : core::duration(housekeeping_interval);
}

core::duration next_summary(entry_host const& h)
{
    return h.m_pools.empty() ? core::duration(standby_summary_interval)
                             : core::duration(summary_interval);
}

struct repeated_action
{
    core::duration (*m_interval)(entry_host const&);
    void (*m_action)(entry_host&);
};

/// Calls the action again and again while the host lives.
status add_interval(entry_host& h, repeated_action const& repeated)
{
    auto const index = h.m_timers.size();
    auto timer =
        net::timer::create(*h.m_loop,
                           [&h, index, repeated]
                           {
                               begin_pass(h);
                               repeated.m_action(h);
                               h.m_timers[index]->start(repeated.m_interval(h));
                           });
    if (!has_value(timer))
    {
        return failure(timer);
    }
    h.m_timers.push_back(take(std::move(timer)));
    h.m_timers.back()->start(repeated.m_interval(h));
    return success();
}

status add_stop_signal(entry_host& h, int number, std::string const& name)
{
    auto watch = net::signal_watch::create(*h.m_loop, number,
                                           [&h, name] { begin_stop(h, name); });
    if (!has_value(watch))
    {
        return failure(watch);
    }
    h.m_signals.push_back(take(std::move(watch)));
    return success();
}

void list_hosts(entry_host& h)
{
    if (!h.m_platform.m_list_hosts)
    {
        return;
    }
    h.m_platform.m_list_hosts(
        [&h](result<std::vector<platform::listed_host>> const& listed)
        {
            if (!has_value(listed))
            {
                h.m_metrics.count_event("host_list_unavailable");
                return;
            }
            on_listed_entry_hosts(h, value(listed));
            on_listed_targets(h, value(listed));
        });
}

void keep_house(entry_host& h)
{
    expire_forwards(h);
    if (h.m_once_table != nullptr)
    {
        core::remove_expired_keys(*h.m_once_table, now());
    }
    if (core::is_superseded(*h.m_membership) &&
        h.m_stop_stage == stop_stage::running)
    {
        begin_stop(h, "another process has this name");
    }
    check_stop(h);
}

status start_intervals(entry_host& h)
{
    for (auto const& repeated :
         {repeated_action{next_summary, send_summaries},
          repeated_action{next_housekeeping, keep_house},
          repeated_action{[](entry_host const&) -> core::duration
                          { return announcement_interval; },
                          announce_self},
          repeated_action{[](entry_host const&) -> core::duration
                          { return host_list_interval; },
                          list_hosts}})
    {
        auto added = add_interval(h, repeated);
        if (!has_value(added))
        {
            return added;
        }
    }
    return success();
}

std::uint64_t draw_seed()
{
    std::random_device device;
    constexpr unsigned half = 32;
    return (static_cast<std::uint64_t>(device()) << half) | device();
}

} // namespace

entry_host::entry_host() = default;
entry_host::~entry_host() = default;

result<std::unique_ptr<entry_host>> create_host(net::event_loop& loop,
                                                config::host_settings settings,
                                                platform_adapter adapter)
{
    auto h = std::make_unique<entry_host>();
    h->m_settings = std::move(settings);
    h->m_adapter = std::move(adapter);
    h->m_bounds = h->m_adapter.m_read_bounds(h->m_settings.m_platform_bounds);
    h->m_loop = &loop;
    h->m_random.seed(draw_seed());
    h->m_incarnation = h->m_random();
    auto client = net::http_client::create(loop);
    if (!has_value(client))
    {
        return failure(client);
    }
    h->m_client = take(std::move(client));
    h->m_platform = h->m_adapter.m_make_calls(
        *h->m_client,
        {h->m_settings.m_platform.m_address, h->m_settings.m_platform.m_port});
    for (auto* step : {&open_caller_server, &open_peer_network,
                       &open_administration, &open_directory, &start_membership,
                       &start_configuration, &start_intervals})
    {
        if (auto const done = (*step)(*h); !has_value(done))
        {
            return failure(done);
        }
    }
    list_hosts(*h);
    logging::write(
        logging::level::info, "serve.host", "host started",
        {{"host", h->m_settings.m_name},
         {"zone", h->m_settings.m_zone},
         {"callers_port", std::to_string(h->m_caller_server->port())},
         {"peers_port", std::to_string(h->m_peer_network->port())},
         {"administration_port", std::to_string(h->m_administration->port())}});
    return h;
}

status watch_stop_signals(entry_host& h)
{
    for (auto const& [number, name] :
         {std::pair{SIGTERM, "SIGTERM"}, std::pair{SIGINT, "SIGINT"}})
    {
        if (auto done = add_stop_signal(h, number, name); !has_value(done))
        {
            return done;
        }
    }
    return success();
}

status watch_reload_signal(entry_host& h, std::function<void()> action)
{
    auto watch = net::signal_watch::create(*h.m_loop, SIGHUP,
                                           [&h, action = std::move(action)]
                                           {
                                               begin_pass(h);
                                               action();
                                           });
    if (!has_value(watch))
    {
        return failure(watch);
    }
    h.m_signals.push_back(take(std::move(watch)));
    return success();
}

void reload_settings(entry_host& h, config::host_settings const& changed)
{
    auto& current = h.m_settings;
    bool const needs_restart = changed.m_name != current.m_name ||
                               changed.m_zone != current.m_zone ||
                               changed.m_callers != current.m_callers ||
                               changed.m_peers != current.m_peers ||
                               changed.m_platform != current.m_platform;
    current.m_stop_bound = changed.m_stop_bound;
    current.m_log_level = changed.m_log_level;
    current.m_zones = changed.m_zones;
    current.m_zone_delay = changed.m_zone_delay;
    current.m_platform_bounds = changed.m_platform_bounds;
    h.m_bounds = h.m_adapter.m_read_bounds(current.m_platform_bounds);
    logging::write(logging::level::info, "serve.host", "settings reloaded",
                   {{"host", current.m_name},
                    {"needs_restart", needs_restart ? "yes" : "no"}});
}

} // namespace hawthornspur::serve
