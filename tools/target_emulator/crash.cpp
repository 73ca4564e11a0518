#include "common/answer_check.hpp"
#include "net/event_loop.hpp"
#include "target_emulator/target_state.hpp"

#include <utility>

namespace hawthornspur::tools
{

void crash_target(target_state& state)
{
    if (!state.m_server->is_open())
    {
        return;
    }
    state.m_crashes.m_crashes.push_back(net::event_loop::now());
    // Runs that end with the target are not cancelled by their callers and do
    // not make room for queued ones.
    auto const running = std::exchange(state.m_running, {});
    auto const queued = std::exchange(state.m_queue, {});
    for (auto const& [id, run] : running)
    {
        state.m_tasks->cancel(run.m_end_task);
        run.m_exchange->set_on_closed(nullptr);
    }
    for (auto const& [id, run] : queued)
    {
        run.m_exchange->set_on_closed(nullptr);
    }
    state.m_load_history.clear();
    state.m_server->close();
    state.m_tasks->run_after(state.m_faults.m_crash_time,
                             [&state]
                             {
                                 state.m_standstill_end = {};
                                 state.m_faults_change_time =
                                     net::event_loop::now();
                                 state.m_server->open();
                             });
}

bool is_deadly(target_state const& state, net::http_request const& request)
{
    return !state.m_faults.m_deadly_path.empty() &&
           request.m_uri.starts_with(state.m_faults.m_deadly_path);
}

void begin_deadly_run(target_state& state, net::http_request const& request)
{
    state.m_crashes.m_deadly_runs.push_back(
        {net::event_loop::now(),
         std::string(net::find_header(request.m_headers, request_id_header)
                         .value_or(""))});
    // The connection cannot be closed while its request is being handled. The
    // target may have crashed under another request by the time of the task.
    state.m_tasks->run_after(
        state.m_faults.m_deadly_time,
        [&state, crashes = state.m_crashes.m_crashes.size()]
        {
            if (state.m_crashes.m_crashes.size() == crashes)
            {
                crash_target(state);
            }
        });
}

} // namespace hawthornspur::tools
