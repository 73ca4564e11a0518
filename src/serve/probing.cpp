#include "serve/probing.hpp"

#include "core/pool.hpp"
#include "serve/crash_reports.hpp"
#include "serve/host.hpp"
#include "serve/leaving_targets.hpp"
#include "serve/pools.hpp"
#include "serve/rate_limits.hpp"

#include <memory>
#include <utility>

namespace hawthornspur::serve
{

namespace
{

constexpr auto probe_timeout = std::chrono::seconds(1);
constexpr std::size_t max_probe_answer_bytes = std::size_t{64} << 10U;
constexpr int first_error_status = 400;

void on_probe_end(entry_host& host, core::pool_id const& pool_id,
                  core::target_process const& process,
                  core::probe_answer const& answer)
{
    auto* pool = find_pool(host, pool_id);
    if (pool == nullptr)
    {
        return;
    }
    core::pool_effects effects;
    core::on_probe_answer(*pool->m_core_pool, answer, now(),
                          get_or_create_budgets(host, pool_id.m_service),
                          effects);
    apply_effects(host, *pool, std::move(effects));
    if (answer.m_draining)
    {
        announce_leaving_target(host, process);
    }
}

} // namespace

void send_probe(entry_host& host, core::pool_id const& pool_id,
                core::target_id target)
{
    auto const found = host.m_targets.find(target);
    auto const* service =
        core::find_service(*host.m_configuration.m_in_force, pool_id.m_service);
    if (found == host.m_targets.end() || service == nullptr)
    {
        return;
    }
    host.m_metrics.count_event("probe");
    auto answer = std::make_shared<core::probe_answer>();
    answer->m_target = target;
    net::exchange_options options;
    options.m_timeout = probe_timeout;
    options.m_max_connections = found->second.m_max_connections;
    options.m_max_answer_bytes = max_probe_answer_bytes;
    // Probes have no id that would tell a copy of a refusal from an answer to
    // the next request on the connection.
    options.m_read_reuse =
        [&read = host.m_adapter.m_caller_interface.m_read_probe_signals,
         name = found->second.m_name](net::http_response_head const& head)
    {
        return head.m_status < first_error_status &&
                       !read(head, name).m_is_crossed
                   ? net::reuse::allowed
                   : net::reuse::forbidden;
    };
    net::http_request const request{"GET",
                                    service->m_probe_budget.m_path,
                                    {{"Host", pool_id.m_service}},
                                    {}};
    auto on_head = [&host, pool_id, answer, name = found->second.m_name,
                    started_at = now()](net::http_response_head const& head,
                                        std::optional<std::uint64_t> /*length*/)
    {
        auto const signals =
            host.m_adapter.m_caller_interface.m_read_probe_signals(head, name);
        if (signals.m_is_crossed)
        {
            // Of an earlier request, so that nothing is known of the target.
            host.m_metrics.count_event("crossed_answer");
            answer->m_is_unsent = true;
            return;
        }
        answer->m_healthy = head.m_status < first_error_status;
        answer->m_healthy = answer->m_healthy && !signals.m_is_other_target;
        answer->m_draining =
            signals.m_is_draining && !signals.m_is_other_target;
        answer->m_load = signals.m_load;
        // Another target's answer says nothing about this one.
        answer->m_cold_left =
            signals.m_is_other_target ? std::nullopt : signals.m_cold_left;
        if (signals.m_is_other_target)
        {
            on_target_ended(host, answer->m_target);
        }
        else
        {
            on_target_alive(host, answer->m_target, started_at);
            report_rate_limit(host, pool_id,
                              {answer->m_target, signals.m_rate_limit,
                               answer->m_healthy
                                   ? core::rate_source::health_answer
                                   : core::rate_source::failure,
                               started_at});
        }
    };
    auto on_end =
        [&host, pool_id, answer,
         process = core::target_process{pool_id.m_service, found->second.m_name,
                                        found->second.m_incarnation}](
            net::exchange_outcome outcome)
    {
        answer->m_is_unsent =
            answer->m_is_unsent || outcome == net::exchange_outcome::not_sent;
        answer->m_healthy =
            answer->m_healthy && outcome == net::exchange_outcome::complete;
        on_probe_end(host, pool_id, process, *answer);
    };
    host.m_http_client->send(found->second.m_endpoint, request, options,
                             {.m_on_head = std::move(on_head),
                              .m_on_data = {},
                              .m_on_end = std::move(on_end)});
}

} // namespace hawthornspur::serve
