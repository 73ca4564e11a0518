#include "common/http_helpers.hpp"
#include "target_emulator/target_state.hpp"

#include <nlohmann/json.hpp>

namespace hawthornspur::tools
{

namespace
{

void change_group_faults(target_state& state, bool all, std::string const& text,
                         target_exchange& exchange)
{
    auto changed = success();
    for (auto* member : state.m_group)
    {
        if (has_value(changed) &&
            (all || member->port() == state.m_server->port()))
        {
            changed = member->change_faults(text);
        }
    }
    has_value(changed) ? reply_json(exchange, 200, to_json(state.m_faults))
                       : reply_error(exchange, failure(changed));
}

void reply_runs(target_state& state, bool all, bool clear,
                target_exchange& exchange)
{
    run_record merged;
    for (auto* member : state.m_group)
    {
        if (all || member->port() == state.m_server->port())
        {
            merge(merged, member->runs());
            if (clear)
            {
                member->clear_runs();
            }
        }
    }
    reply_json(exchange, 200, to_json(merged));
}

} // namespace

void answer_control(target_state& state, net::http_request const& request,
                    target_exchange& exchange)
{
    auto const target = parse_target(request.m_uri);
    bool const all = query_number(target, "all", 0) != 0;
    if (target.m_path == "/control/faults")
    {
        if (request.m_method == "PUT")
        {
            change_group_faults(state, all, request.m_body, exchange);
            return;
        }
        reply_json(exchange, 200, to_json(state.m_faults));
        return;
    }
    if (target.m_path == "/control/runs")
    {
        reply_runs(state, all, request.m_method == "DELETE", exchange);
        return;
    }
    if (target.m_path == "/control/crashes")
    {
        reply_json(exchange, 200, to_json(state.m_crashes));
        return;
    }
    if (target.m_path == "/control/silence_connections" &&
        request.m_method == "PUT")
    {
        state.m_server->silence_connections();
        reply_json(exchange, 200, nlohmann::json::object());
        return;
    }
    if (target.m_path == "/control/counters")
    {
        nlohmann::json counters = state.m_counters;
        counters["connections"] = state.m_server->connections_accepted();
        counters["deadly_runs"] = state.m_crashes.m_deadly_runs.size();
        counters["crashes"] = state.m_crashes.m_crashes.size();
        counters["running"] = state.m_running.size();
        counters["queued"] = state.m_queue.size();
        counters["standstill_ms"] =
            std::chrono::duration<double, std::milli>(state.m_total_standstill)
                .count();
        reply_json(exchange, 200, counters);
        return;
    }
    reply_json(exchange, 404, {{"message", "no such path"}});
}

} // namespace hawthornspur::tools
