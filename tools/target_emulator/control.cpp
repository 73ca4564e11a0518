#include "common/http_text.hpp"
#include "target_emulator/target_state.hpp"

#include <nlohmann/json.hpp>

namespace hawthornspur::tools
{

namespace
{

void change(target_state& s, bool all, std::string const& text,
            target_exchange& exchange)
{
    auto changed = success();
    for (auto* member : s.m_group)
    {
        if (has_value(changed) && (all || member->port() == s.m_server->port()))
        {
            changed = member->change_faults(text);
        }
    }
    has_value(changed) ? reply_json(exchange, 200, to_json(s.m_faults))
                       : reply_error(exchange, failure(changed));
}

void show_runs(target_state& s, bool all, bool forget,
               target_exchange& exchange)
{
    run_record merged;
    for (auto* member : s.m_group)
    {
        if (all || member->port() == s.m_server->port())
        {
            merge(merged, member->runs());
            if (forget)
            {
                member->forget_runs();
            }
        }
    }
    reply_json(exchange, 200, to_json(merged));
}

} // namespace

void answer_control(target_state& s, net::http_request const& request,
                    target_exchange& exchange)
{
    auto const target = parse_target(request.m_uri);
    bool const all = query_number(target, "all", 0) != 0;
    if (target.m_path == "/control/faults")
    {
        if (request.m_method == "PUT")
        {
            change(s, all, request.m_body, exchange);
            return;
        }
        reply_json(exchange, 200, to_json(s.m_faults));
        return;
    }
    if (target.m_path == "/control/runs")
    {
        show_runs(s, all, request.m_method == "DELETE", exchange);
        return;
    }
    if (target.m_path == "/control/silence_connections" &&
        request.m_method == "PUT")
    {
        s.m_server->silence_connections();
        reply_json(exchange, 200, nlohmann::json::object());
        return;
    }
    if (target.m_path == "/control/counters")
    {
        nlohmann::json counters = s.m_counters;
        counters["connections"] = s.m_server->connections_accepted();
        counters["running"] = s.m_running.size();
        counters["queued"] = s.m_queue.size();
        counters["standstill_ms"] =
            std::chrono::duration<double, std::milli>(s.m_standstill).count();
        reply_json(exchange, 200, counters);
        return;
    }
    reply_json(exchange, 404, {{"message", "no such path"}});
}

} // namespace hawthornspur::tools
