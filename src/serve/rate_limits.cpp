#include "serve/rate_limits.hpp"

#include "base/logging.hpp"
#include "serve/host.hpp"
#include "serve/pools.hpp"

#include <absl/strings/str_format.h>

#include <optional>
#include <string>
#include <utility>

namespace hawthornspur::serve
{

namespace
{

std::string rate_text(std::optional<double> requests_per_second)
{
    return requests_per_second ? absl::StrFormat("%.3f", *requests_per_second)
                               : std::string("none");
}

} // namespace

void report_rate_limit(entry_host& host, core::pool_id const& pool_id,
                       core::rate_report const& report)
{
    auto* pool = find_pool(host, pool_id);
    if (pool == nullptr)
    {
        return;
    }
    core::pool_effects effects;
    if (core::on_rate_report(*pool->m_core_pool, report, now(), effects))
    {
        host.m_metrics.count_event("target_rate_limit_changed");
        logging::write(logging::level::info, "serve.rates",
                       "target rate limit changed",
                       {{"service", pool_id.m_service},
                        {"zone", pool_id.m_zone},
                        {"target", host.m_targets.at(report.m_target).m_name},
                        {"per_second", rate_text(report.m_limit)}});
        apply_effects(host, *pool, std::move(effects));
    }
}

void log_rate_usage(entry_host& host)
{
    for (auto const& [id, pool] : host.m_pools)
    {
        for (auto const& usage : core::take_rate_usage(*pool->m_core_pool))
        {
            logging::write(
                logging::level::info, "serve.rates", "target rate limit usage",
                {{"service", id.m_service},
                 {"zone", id.m_zone},
                 {"target", host.m_targets.at(usage.m_target).m_name},
                 {"per_second", rate_text(usage.m_limit)},
                 {"attempts", std::to_string(usage.m_attempts)},
                 {"probes", std::to_string(usage.m_probes)},
                 {"owned", pool->m_is_owned ? "yes" : "no"}});
        }
    }
}

} // namespace hawthornspur::serve
