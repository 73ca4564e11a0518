#include "serve/rate_limits.hpp"

#include "base/logging.hpp"
#include "core/advertised_rate.hpp"
#include "serve/host.hpp"
#include "serve/pools.hpp"

#include <absl/strings/str_format.h>

#include <string>

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
                       core::target_id target,
                       std::optional<double> requests_per_second, bool is_run)
{
    auto* pool = find_pool(host, pool_id);
    if (pool == nullptr || (!requests_per_second && !is_run))
    {
        return;
    }
    if (core::on_rate_report(*pool->m_core_pool, target, requests_per_second,
                             now()))
    {
        host.m_metrics.count_event("target_rate_limit_changed");
        logging::write(logging::level::info, "serve.rates",
                       "target rate limit changed",
                       {{"service", pool_id.m_service},
                        {"zone", pool_id.m_zone},
                        {"target", host.m_targets.at(target).m_name},
                        {"per_second", rate_text(requests_per_second)}});
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
