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

/// A request that is running or queued.
struct target_run
{
    net::http_request m_request;
    std::shared_ptr<target_exchange> m_exchange;
    connection_record* m_connection = nullptr;
    core::time_point m_arrival{};
    task_id m_end_task = 0;
    /// Value of target_state::m_total_standstill that the time of m_end_task
    /// accounts for.
    core::duration m_accounted_standstill{0};
    bool m_exceeds_deadline = false;
};

using run_id = std::uint64_t;

/// Settings and current state of a target.
struct target_state
{
    target_settings m_settings;
    target_faults m_faults;
    /// Time of the last change of the faults, at which the cold start begins.
    core::time_point m_faults_change_time{};
    std::unique_ptr<scheduler> m_tasks;
    std::mt19937_64 m_random;
    run_record m_runs;
    std::map<std::string, std::uint64_t> m_counters;
    std::map<run_id, target_run> m_running;
    std::deque<std::pair<run_id, target_run>> m_queue;
    run_id m_next_id = 1;
    /// End of the current standstill, which new connections and probes cause.
    core::time_point m_standstill_end{};
    core::duration m_total_standstill{0};
    /// Number of running requests over time, for load reports with a lag.
    std::deque<std::pair<core::time_point, std::size_t>> m_load_history;
    /// Draining state over time, for health answers with a lag.
    std::deque<std::pair<core::time_point, bool>> m_health_history;
    /// Exchanges whose answer is never completed: on silent connections, or
    /// truncated.
    std::vector<std::shared_ptr<target_exchange>> m_unanswered;
    std::vector<target_emulator*> m_group;
    crash_record m_crashes;
    std::unique_ptr<connection_server> m_server;
    /// Serves only control requests, also while the target is down.
    std::unique_ptr<connection_server> m_control_server;
};

/// Extends the standstill of the target by `cost`.
void add_standstill(target_state& state, core::duration cost);

/// Runs, queues or sheds a request.
void handle_request(target_state& state, net::http_request request,
                    std::shared_ptr<target_exchange> exchange,
                    connection_record& connection);

/// Whether the request crashes the target.
bool is_deadly(target_state const& state, net::http_request const& request);

/// Records a deadly run that begins, and lets the target crash.
void begin_deadly_run(target_state& state, net::http_request const& request);

/// Closes all connections and refuses new ones for the crash time. Must not be
/// called while a request is being handled.
void crash_target(target_state& state);

/// Answers a health check.
void answer_probe(target_state& state,
                  std::shared_ptr<target_exchange> exchange);

/// Answers a request to a path under /control/.
void answer_control(target_state& state, net::http_request const& request,
                    target_exchange& exchange);

/// Returns the headers with the name, current load and draining state of the
/// target.
net::http_headers status_headers(target_state const& state);

} // namespace hawthornspur::tools

#endif
