#ifndef HAWTHORNSPUR_SERVE_HOST_HPP
#define HAWTHORNSPUR_SERVE_HOST_HPP

#include "base/result.hpp"
#include "config/settings.hpp"
#include "core/configuration_state.hpp"
#include "core/crash_suspects.hpp"
#include "core/fleet_start.hpp"
#include "core/host_readiness.hpp"
#include "core/membership.hpp"
#include "core/once_table.hpp"
#include "core/pool.hpp"
#include "core/route_match.hpp"
#include "core/routing.hpp"
#include "core/stop_schedule.hpp"
#include "core/target_departures.hpp"
#include "net/connect_checker.hpp"
#include "net/event_loop.hpp"
#include "net/http_client.hpp"
#include "net/http_server.hpp"
#include "net/peer_network.hpp"
#include "platform/platform_calls.hpp"
#include "serve/call.hpp"
#include "serve/crash_reports.hpp"
#include "serve/evacuations.hpp"
#include "serve/loop_delay.hpp"
#include "serve/metrics.hpp"
#include "serve/platform_adapter.hpp"
#include "serve/start_queue.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace hawthornspur::serve
{

struct configuration_proofs;
struct configuration_sync;
struct quota_state;
struct store_sync;

/// A target and how to connect to it.
struct target_record
{
    std::string m_service;
    std::string m_name;
    net::endpoint m_endpoint;
    std::size_t m_max_connections = 0;
    /// Of the process that is listed at present.
    std::uint64_t m_incarnation = 0;
};

/// A pool that this host owns, or owned before and still has requests of.
struct local_pool
{
    core::pool_id m_id;
    core::pool_ptr m_core_pool;
    std::unique_ptr<net::timer> m_timer;
    /// Requests spilled from this pool that are not answered yet.
    std::map<core::request_id, core::arrival> m_spilled;
    bool m_is_owned = true;
    /// When this host became the owner or ceased to be it. A host that never
    /// was the owner leaves it empty.
    core::time_point m_ownership_changed_at{};
    core::time_point m_last_summary_reply{};
    /// The other hosts know of rate limits of these targets.
    bool m_has_shared_rate_limits = false;
};

/// Rate limits of a pool's targets, as received from its owner.
struct received_rate_limits
{
    core::time_point m_received_at{};
    std::vector<net::advertised_limit> m_limits;
};

enum class stop_stage : std::uint8_t
{
    running,
    /// Removed from address answers. Callers with an earlier answer are served.
    leaving,
    /// The earlier address answers have expired. Only calls in flight remain.
    finishing,
    /// All calls have ended. The loop stops once the last bytes are sent.
    finished,
};

/// A request forwarded to this host whose body is still arriving.
struct incoming_forward
{
    net::forward_request m_head;
    std::string m_body;
};

/// Identifies a forwarded request: the sending host and its id.
using incoming_forward_id = std::pair<std::string, net::forward_id>;

/// An answer that is sent to the host that forwarded the request.
struct outgoing_answer
{
    core::request_id m_call_id;
    std::string m_pending_data;
    /// Bytes that the other host allows to send now.
    std::uint32_t m_send_window = 0;
    bool m_is_complete = false;
};

/// The state of one entry host. All functions of the pipeline use it, from the
/// thread of its event loop only.
struct entry_host
{
    entry_host();
    ~entry_host();
    entry_host(entry_host const&) = delete;
    entry_host& operator=(entry_host const&) = delete;

    config::host_settings m_settings;
    platform_adapter m_adapter;
    deployment_bounds m_deployment_bounds;
    std::uint64_t m_incarnation = 0;
    std::mt19937_64 m_random;
    net::event_loop* m_loop = nullptr;

    metrics m_metrics;
    core::configuration_state m_configuration;
    core::routing_table m_routing;
    core::part_selector m_part_selector;
    core::membership_ptr m_membership;
    core::fleet_start m_fleet_start;
    core::once_table_ptr m_once_table;
    bool m_is_isolated = false;
    core::host_readiness m_readiness;

    std::unordered_map<core::request_id, std::unique_ptr<active_call>> m_calls;
    /// Calls and pools that have ended, destroyed from the event loop:
    /// functions up the stack may still refer to them.
    std::vector<std::unique_ptr<active_call>> m_ended_calls;
    std::vector<std::unique_ptr<local_pool>> m_retired_pools;
    std::unique_ptr<net::timer> m_retirement_timer;
    core::request_id m_next_request_id{1};
    std::map<core::pool_id, std::unique_ptr<local_pool>> m_pools;
    std::map<std::string, core::service_budgets> m_service_budgets;
    std::map<core::pool_id, received_rate_limits> m_received_rate_limits;

    std::map<std::pair<std::string, std::string>, core::target_id> m_target_ids;
    std::unordered_map<core::target_id, target_record> m_targets;
    core::target_departures m_target_departures;
    evacuation_record m_evacuation;
    std::map<std::string, core::customer_id> m_customer_ids;

    core::crash_suspects m_crash_suspects;
    /// Contents with changed records that the other hosts are still to be told.
    std::set<core::content_id> m_unshared_contents;
    std::unordered_map<core::target_id, lost_requests> m_lost_requests;

    std::map<incoming_forward_id, incoming_forward> m_incoming_forwards;
    std::map<incoming_forward_id, outgoing_answer> m_outgoing_answers;
    std::map<net::forward_id, core::request_id> m_forwarded_calls;
    net::forward_id m_next_forward_id = 1;

    start_queue m_start_queue;
    /// Null until a document in force limits a customer.
    std::unique_ptr<quota_state> m_quotas;

    stop_stage m_stop_stage = stop_stage::running;
    /// Valid unless the stage is `running`.
    core::stop_schedule m_stop_schedule;
    /// Time at which a finished stop ends the process.
    core::time_point m_exit_time{};

    platform::platform_calls m_platform_calls;
    std::unique_ptr<net::http_client> m_http_client;
    std::unique_ptr<net::connect_checker> m_connect_checker;
    std::unique_ptr<net::peer_network> m_peer_network;
    std::unique_ptr<net::http_server> m_caller_server;
    /// Descriptors that this process may use.
    std::size_t m_descriptor_limit = 0;
    std::unique_ptr<net::http_server> m_administration_server;
    std::unique_ptr<net::http_server> m_directory_server;
    std::unique_ptr<net::http_server> m_readiness_server;
    std::unique_ptr<configuration_sync> m_configuration_sync;
    std::unique_ptr<configuration_proofs> m_configuration_proofs;
    /// Null if the platform's store does not hold targets and hosts.
    std::unique_ptr<store_sync> m_store_sync;
    std::unique_ptr<net::timer> m_membership_timer;
    /// Runs out when the routing table is to be rebuilt.
    std::unique_ptr<net::timer> m_routing_timer;
    bool m_is_routing_update_pending = false;
    std::vector<std::unique_ptr<net::timer>> m_interval_timers;
    loop_delay m_loop_delay;
    std::vector<std::unique_ptr<net::signal_watch>> m_signal_watches;
};

/// Creates a host and opens its listeners. The loop must outlive it.
result<std::unique_ptr<entry_host>>
create_host(net::event_loop& loop, config::host_settings settings,
            platform_adapter adapter = make_default_platform_adapter());

/// Starts the planned stop on SIGTERM and SIGINT. Signals concern the whole
/// process, so a program with several hosts must not call this.
status watch_stop_signals(entry_host& host);

/// Calls `action` on SIGHUP. One host of a process may use it.
status watch_reload_signal(entry_host& host, std::function<void()> action);

/// Applies the settings that can change at run time. Names and addresses
/// cannot; the log entry says if a restart is needed for them.
void reload_settings(entry_host& host, config::host_settings const& changed);

/// Destroys a pool that this host no longer has, when the current callback of
/// the event loop has returned.
void retire_pool(entry_host& host, core::pool_id const& id);

/// The call with this id, or null when it has ended.
active_call* find_call(entry_host& host, core::request_id id) noexcept;

inline core::time_point now()
{
    return net::event_loop::now();
}

} // namespace hawthornspur::serve

#endif
