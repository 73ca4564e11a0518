#ifndef HAWTHORNSPUR_CORE_CONFIGURATION_HPP
#define HAWTHORNSPUR_CORE_CONFIGURATION_HPP

#include "core/customers.hpp"
#include "core/time.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace hawthornspur::core
{

/// Whether a request may run more than once.
enum class execution_rule : std::uint8_t
{
    at_most_once,
    idempotent,
};

/// Rules for one kind of request of a service. The first kind whose method
/// and path prefix match a request applies.
struct kind_config
{
    std::string m_name;
    std::string m_method;
    std::string m_path_prefix;
    execution_rule m_execution = execution_rule::at_most_once;
    /// Default when the caller sends no deadline; upper bound otherwise.
    duration m_deadline = std::chrono::seconds(2);
    /// 0 is the most urgent, 9 the least.
    int m_priority = 4;
    /// Largest share of the pool's slots that the kind may hold, 0 to 1.
    double m_max_share = 1.0;
    /// Whether m_max_share was set. If not, kinds with long service times are
    /// limited by default.
    bool m_share_declared = false;
    bool m_hedge = false;
    /// HTTP statuses which mean that the request did not run, even without the
    /// header Hawthornspur-Not-Run: 1.
    std::vector<int> m_not_run_statuses;
    /// Latency objective of an answer; zero if there is none.
    duration m_target_latency{0};
    /// Upper bound on the targets that one request is sent to.
    int m_max_attempts = 4;
    /// Requests need no access key.
    bool m_is_public = false;
};

/// A service that receives a share of a route's requests.
struct route_part
{
    std::string m_service;
    /// Relative to the weights of the other parts.
    double m_weight = 1;
};

/// Maps requests to services by host name and path prefix. Each service in
/// m_parts has a kind with the route's name, whose rules apply.
struct route_config
{
    std::string m_name;
    /// Without port; empty matches every host name.
    std::string m_host;
    /// Begins and ends with a slash; the longest match applies.
    std::string m_path_prefix;
    /// Empty for a route of an entry that was left out: what it asks for its
    /// requests is unknown.
    std::vector<route_part> m_parts;
};

enum class target_state : std::uint8_t
{
    active,
    draining,
};

struct target_config
{
    std::string m_name;
    std::string m_zone;
    std::string m_address;
    std::uint16_t m_port = 0;
    int m_slots = 1;
    int m_max_connections = 100;
    target_state m_state = target_state::active;
    /// The zone of the target is evacuated; its state is then draining. Set in
    /// the document in force only, and not a departure of the target.
    bool m_is_evacuated = false;
    /// End of the warm-up that a registered target reported at its start; the
    /// target is slower until then.
    time_point m_cold_until{};
    /// Distinguishes processes that registered under the same name.
    std::uint64_t m_incarnation = 0;
};

/// Limits the load that probes cause at one target of the service: processing
/// time of the target per second, summed over all hosts.
struct probe_budget_config
{
    duration m_cost_per_second{0};
    duration m_probe_cost = std::chrono::milliseconds(6);
    duration m_connection_cost = std::chrono::milliseconds(1);
    std::string m_path = "/health";
};

/// Attempts beyond the first of each request, over all hosts and in any span of
/// repeat_limits::m_window: m_ratio for each request and m_burst in addition.
struct retry_budget_config
{
    double m_ratio = 0.1;
    double m_burst = 10;
};

struct service_config
{
    std::string m_name;
    std::vector<kind_config> m_kinds;
    std::vector<target_config> m_targets;
    probe_budget_config m_probe_budget;
    retry_budget_config m_retry_budget;
    std::size_t m_max_body_bytes = std::size_t{1} << 20U;
    std::size_t m_max_answer_bytes = std::size_t{64} << 20U;
    std::size_t m_max_queue = 1000;
    /// Connections that a registered target accepts, summed over all hosts.
    int m_max_connections = 100;
    /// Requests per second that a cold target takes from all hosts together; 0
    /// means no limit.
    double m_cold_rate = 0;
    /// Time for which a target is cold after its start.
    duration m_warm_up{0};
};

struct zone_config
{
    std::string m_name;
    std::string m_region;
    /// One-way delay to each other zone.
    std::map<std::string, duration> m_one_way_delay;
    /// Cost of spilling to this zone in addition to the round-trip time.
    duration m_extra_cost{0};
    /// Operators ask that targets of this zone get no new requests.
    bool m_is_evacuated = false;
};

/// An entry of a document that a host cannot take, wholly or in part. Contains
/// no access key.
struct left_out_entry
{
    /// What the entry describes; empty if it does not say.
    std::string m_kind;
    /// Empty if it cannot be read.
    std::string m_name;
    std::string m_reason;
};

/// A complete configuration document.
struct configuration
{
    std::uint64_t m_generation = 0;
    /// Identifies the change. A writer that got no answer from the store finds
    /// out with it whether its change was stored.
    std::string m_change_id;
    std::vector<zone_config> m_zones;
    /// Upper bound on the number of entry hosts; divides the probe budget.
    int m_max_entry_hosts = 19;
    /// How long callers may keep an address answer.
    duration m_address_lifetime = std::chrono::seconds(10);
    /// How long an at-most-once key may be used.
    duration m_key_lifetime = std::chrono::seconds(60);
    /// Longest chain of nested calls that a request may be part of.
    int m_max_depth = 17;
    /// Number of hosts that own the pools of a zone; 0 means all its hosts.
    int m_max_owners_per_zone = 0;
    /// How long callers may keep a connection without a request.
    duration m_caller_idle_timeout = std::chrono::seconds(60);
    std::vector<service_config> m_services;
    /// Empty if requests name their service.
    std::vector<route_config> m_routes;
    /// Null if requests need no access keys.
    customer_table_ptr m_customers;
    /// Entries without effect. They do not keep the others from taking effect.
    std::vector<left_out_entry> m_left_out;
    /// A route was left out whose paths are unknown. Requests that match no
    /// route may belong to it.
    bool m_has_unknown_routes = false;
    /// An entry that does not say what it describes may be a customer, and
    /// there is no other sign that requests need keys.
    bool m_may_need_keys = false;
};

/// Returns the service with this name, or null.
service_config const* find_service(configuration const& document,
                                   std::string const& name) noexcept;

/// Returns the zone with this name, or null.
zone_config const* find_zone(configuration const& document,
                             std::string const& name) noexcept;

} // namespace hawthornspur::core

#endif
