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

struct pool_instance
{
    core::pool_ptr m_pool;
    int m_service = 0;
    int m_zone = 0;
    int m_owner = 0;
    /// Counts owners, so that messages for an earlier one are dropped.
    int m_epoch = 0;
    time_point m_timer = time_point::max();
};

struct core_state
{
    fleet* m_fleet = nullptr;
    core::queue_order m_order = core::queue_order::first_come;
    std::shared_ptr<core_counts> m_counts;
    core::configuration m_document;
    std::vector<pool_instance> m_pools;
    std::map<std::pair<int, int>, core::service_budgets> m_budgets;
    /// Requests sent to an owner that is dead but not yet known to be.
    std::vector<std::uint32_t> m_stranded;
    /// By request: the entry host and the pool that holds the request.
    std::vector<int> m_entry;
    std::vector<int> m_holder;
    /// By request: the pool that spilled it, or -1.
    std::vector<int> m_spilled_from;
    core::pool_effects m_effects;
};

using state_ptr = std::shared_ptr<core_state>;
using pool_step = std::function<void(core::pool&, core::service_budgets&,
                                     core::pool_effects&)>;

duration from_ms(double value);
std::string zone_name(int zone);
pool_instance& pool_at(core_state& s, int index);
int pool_index(core_state const& s, int service, int zone);
bool is_alive(core_state const& s, int host);

/// Delay of a message between two entry hosts.
duration hop(core_state& s, int from_host, int to_host);

/// Calls into the core, then carries out its effects and sets its timer.
void call(state_ptr const& s, int index, pool_step const& step);

/// Schedules a call into the pool, dropped if its owner is gone by then.
void call_later(state_ptr const& s, int index, duration delay, pool_step step);

/// Sends the request from its entry host to the pool's owner.
void forward(state_ptr const& s, std::uint32_t request, int host);

/// Sets up the pool at its first live owner.
void start_pool(state_ptr const& s, int index, core::pool_start how);

/// The calls that the host held fail at once; its pools are taken over when
/// the other hosts notice.
void on_host_killed(state_ptr const& s, int host);

/// Lets owners exchange summaries twice a second from now on.
void exchange_summaries(state_ptr const& s);

core::configuration make_document(deployment const& plan);

} // namespace hawthornspur::bench

#endif
