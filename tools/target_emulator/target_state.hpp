#ifndef HAWTHORNSPUR_TOOLS_TARGET_EMULATOR_TARGET_STATE_HPP
#define HAWTHORNSPUR_TOOLS_TARGET_EMULATOR_TARGET_STATE_HPP

#include "common/scheduler.hpp"
#include "target_emulator/connection_server.hpp"
#include "target_emulator/faults.hpp"
#include "target_emulator/run_record.hpp"
#include "target_emulator/target_emulator.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace hawthornspur::tools
{

/// A request that runs or waits for a slot.
struct target_run
{
    net::http_request m_request;
    std::shared_ptr<target_exchange> m_exchange;
    connection_record* m_connection = nullptr;
    core::time_point m_arrived{};
    task_id m_end = 0;
    /// Total standstill of the target that m_end takes into account.
    core::duration m_standstill_seen{0};
    bool m_deadline_passes = false;
};

using run_id = std::uint64_t;

/// What a target is and does at the moment.
struct target_state
{
    target_settings m_settings;
    target_faults m_faults;
    /// When the cold start or the faults were last set.
    core::time_point m_faults_set{};
    std::unique_ptr<scheduler> m_tasks;
    std::mt19937_64 m_random;
    run_record m_runs;
    std::map<std::string, std::uint64_t> m_counters;
    std::map<run_id, target_run> m_running;
    std::deque<std::pair<run_id, target_run>> m_queue;
    run_id m_next = 1;
    /// The target stands still until this time, because of connections and
    /// probes.
    core::time_point m_still_until{};
    core::duration m_standstill{0};
    /// Number of running requests over time, for lagging load reports.
    std::deque<std::pair<core::time_point, std::size_t>> m_load_history;
    /// Draining state over time, for lagging health answers.
    std::deque<std::pair<core::time_point, bool>> m_health_history;
    /// Exchanges that are never answered in whole: on silent connections, or
    /// cut short.
    std::vector<std::shared_ptr<target_exchange>> m_held;
    std::vector<target_emulator*> m_group;
    std::unique_ptr<connection_server> m_server;
};

/// Makes the target stand still for this much longer.
void add_standstill(target_state& s, core::duration cost);

/// Runs, queues or sheds a request of a caller.
void take_request(target_state& s, net::http_request request,
                  std::shared_ptr<target_exchange> exchange,
                  connection_record& connection);

/// Answers a health check.
void answer_probe(target_state& s, std::shared_ptr<target_exchange> exchange);

/// Answers a path under /control/.
void answer_control(target_state& s, net::http_request const& request,
                    target_exchange& exchange);

/// The load headers of an answer that is sent now.
net::http_headers status_headers(target_state const& s);

} // namespace hawthornspur::tools

#endif
