#include "serve/rate_limits.hpp"

#include "base/logging.hpp"
#include "core/configuration.hpp"
#include "core/rate_share.hpp"
#include "core/routing.hpp"
#include "serve/host.hpp"
#include "serve/pools.hpp"

#include <absl/strings/str_format.h>

#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace hawthornspur::serve
{

namespace
{

// Longer than the loss of an owner remains undetected; it informs the other
// hosts every second.
constexpr auto max_limit_age = std::chrono::seconds(10);

std::string rate_text(std::optional<double> requests_per_second)
{
    return requests_per_second ? absl::StrFormat("%.3f", *requests_per_second)
                               : std::string("none");
}

net::rate_limits_message make_message(entry_host const& host,
                                      local_pool const& pool)
{
    net::rate_limits_message message{pool.m_id.m_service, pool.m_id.m_zone, {}};
    for (auto const& limit : core::rate_limits(*pool.m_core_pool))
    {
        message.m_limits.push_back(
            {host.m_targets.at(limit.m_target).m_name, limit.m_limit});
    }
    return message;
}

/// Informs the next owners, and once more after the last limit has ended.
void share_limits_of_pool(entry_host& host, local_pool& pool)
{
    auto const message = make_message(host, pool);
    bool const has_limits = !message.m_limits.empty();
    if (!pool.m_is_owned || (!has_limits && !pool.m_has_shared_rate_limits))
    {
        return;
    }
    pool.m_has_shared_rate_limits = has_limits;
    auto const& order = core::ranked_owners(
        host.m_routing, *host.m_configuration.m_in_force, pool.m_id);
    for (auto const& successor :
         core::rate_limit_successors(order, host.m_settings.m_name))
    {
        if (host.m_peer_network->is_linked(successor))
        {
            static_cast<void>(host.m_peer_network->send(successor, message));
        }
    }
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
    auto const change =
        core::on_rate_report(*pool->m_core_pool, report, now(), effects);
    if (change == core::rate_change::begun_or_ended)
    {
        host.m_metrics.count_event("target_rate_limit_changed");
        logging::write(logging::level::info, "serve.rates",
                       report.m_limit ? "target rate limit begins"
                                      : "target rate limit ends",
                       {{"service", pool_id.m_service},
                        {"zone", pool_id.m_zone},
                        {"target", host.m_targets.at(report.m_target).m_name},
                        {"per_second", rate_text(report.m_limit)}});
        share_limits_of_pool(host, *pool);
    }
    if (change != core::rate_change::none)
    {
        apply_effects(host, *pool, std::move(effects));
    }
}

void share_rate_limits(entry_host& host)
{
    for (auto const& [id, pool] : host.m_pools)
    {
        share_limits_of_pool(host, *pool);
    }
}

void hand_over_rate_limits(entry_host& host, local_pool const& pool,
                           std::string const& owner)
{
    auto const message = make_message(host, pool);
    if (!message.m_limits.empty())
    {
        static_cast<void>(host.m_peer_network->send(owner, message));
    }
}

void on_rate_limits_message(entry_host& host,
                            net::rate_limits_message const& message)
{
    core::pool_id const id{message.m_service, message.m_zone};
    host.m_received_rate_limits[id] = {now(), message.m_limits};
    if (auto* pool = find_pool(host, id))
    {
        apply_received_rate_limits(host, *pool);
    }
}

void apply_received_rate_limits(entry_host& host, local_pool& pool)
{
    auto const received = host.m_received_rate_limits.find(pool.m_id);
    auto const* service = core::find_service(*host.m_configuration.m_in_force,
                                             pool.m_id.m_service);
    if (received == host.m_received_rate_limits.end() || service == nullptr)
    {
        return;
    }
    if (now() - received->second.m_received_at > max_limit_age)
    {
        host.m_received_rate_limits.erase(received);
        return;
    }
    std::vector<core::target_rate_limit> limits;
    for (auto const& target : service->m_targets)
    {
        for (auto const& limit : received->second.m_limits)
        {
            if (limit.m_target == target.m_name &&
                target.m_zone == pool.m_id.m_zone)
            {
                limits.push_back({intern_target(host, service->m_name, target),
                                  limit.m_limit});
            }
        }
    }
    core::adopt_rate_limits(*pool.m_core_pool, limits, now());
}

void update_rate_share(entry_host& host, local_pool& pool)
{
    core::pool_effects effects;
    core::set_rate_share(
        *pool.m_core_pool,
        core::rate_share(pool.m_is_owned, pool.m_ownership_changed_at,
                         core::make_fleet_view(host.m_routing.m_hosts), now()),
        now(), effects);
    apply_effects(host, pool, std::move(effects));
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
