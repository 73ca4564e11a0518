#ifndef HAWTHORNSPUR_BENCH_POLICY_CORE_STATE_HPP
#define HAWTHORNSPUR_BENCH_POLICY_CORE_STATE_HPP

#include "core/configuration.hpp"
#include "core/pool.hpp"
#include "routers.hpp"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace hawthornspur::bench
{

/// The pool of one service and zone, with its current owner.
struct pool_instance
{
    core::pool_ptr m_pool;
    int m_service = 0;
    int m_zone = 0;
    int m_owner = 0;
    /// Incremented with each new owner. Messages to an earlier owner are
    /// discarded.
    int m_epoch = 0;
    /// Time of the scheduled timer event, max() if there is none.
    time_point m_timer = time_point::max();
};

/// State of the core router.
struct core_state
{
    simulated_fleet* m_fleet = nullptr;
    core::queue_order m_order = core::queue_order::first_come;
    std::shared_ptr<core_counts> m_counts;
    core::configuration m_configuration;
    std::vector<pool_instance> m_pools;
    std::map<std::pair<int, int>, core::service_budgets> m_budgets;
    /// Requests sent to a killed owner before its loss was detected.
    std::vector<std::uint32_t> m_undelivered;
    /// By request: the entry host, and the pool that the request was delivered
    /// to; -1 if none.
    std::vector<int> m_entry_host;
    std::vector<int> m_holding_pool;
    /// By request: the pool that spilled it, or -1.
    std::vector<int> m_spilled_from;
    core::pool_effects m_effects;
};

using state_ptr = std::shared_ptr<core_state>;
using pool_operation = std::function<void(core::pool&, core::service_budgets&,
                                          core::pool_effects&)>;

duration from_ms(double value);
std::string zone_name(int zone);
pool_instance& get_pool(core_state& state, int index);
int pool_index(core_state const& state, int service, int zone);
bool is_alive(core_state const& state, int host);

/// Returns the delay of a message between two entry hosts.
duration host_link_delay(core_state& state, int from_host, int to_host);

/// Runs an operation of the pool, applies its effects and schedules its timer.
void call_pool(state_ptr const& state, int index,
               pool_operation const& operation);

/// Schedules an operation of the pool. It is discarded if the owner has been
/// killed or replaced by then.
void call_pool_later(state_ptr const& state, int index, duration delay,
                     pool_operation operation);

/// Sends the request from its entry host to the pool's owner.
void forward(state_ptr const& state, std::uint32_t request, int host);

/// Creates the pool at the first live host of its owner order.
void create_pool_at_owner(state_ptr const& state, int index,
                          core::pool_start start);

/// Fails the pending requests of a killed host at once and, after the detection
/// time, creates its pools at new owners.
void on_host_killed(state_ptr const& state, int host);

/// Sends the summaries of all pools to the owners of the same service in other
/// zones, and repeats this every 500 ms.
void exchange_summaries(state_ptr const& state);

core::configuration make_configuration(deployment const& plan);

} // namespace hawthornspur::bench

#endif
