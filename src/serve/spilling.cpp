#include "serve/spilling.hpp"

#include "core/routing.hpp"
#include "serve/host.hpp"
#include "serve/pools.hpp"

#include <algorithm>
#include <vector>

namespace hawthornspur::serve
{

namespace
{

/// Share of used slots above which pools exchange summaries.
constexpr double min_busy_share = 0.6;

constexpr std::size_t max_remote_pools = 2;

/// Shortest interval at which a pool replies to the summaries of others.
constexpr auto min_reply_interval = std::chrono::milliseconds(150);

/// Time after which slots that a former owner reported as used count as free.
/// Its calls have passed their deadlines by then.
constexpr auto handover_hold_time = std::chrono::seconds(2);

bool is_busy(core::pool_summary const& summary)
{
    return summary.m_queued > 0 ||
           summary.m_free_slots < (1 - min_busy_share) * summary.m_slots;
}

net::pool_summary_message to_message(core::pool_id const& id,
                                     core::pool_summary const& summary)
{
    return {id.m_service,    id.m_zone,        summary.m_free_slots,
            summary.m_slots, summary.m_queued, summary.m_expected_wait};
}

std::vector<core::remote_pool> find_spill_pools(entry_host& host,
                                                core::pool_id const& id)
{
    auto const& document = *host.m_configuration.m_in_force;
    auto const* service = core::find_service(document, id.m_service);
    if (service == nullptr)
    {
        return {};
    }
    return core::remote_pools(host.m_routing, document, *service, id.m_zone,
                              max_remote_pools);
}

bool is_owner(entry_host& host, core::pool_id const& id)
{
    auto const& order = core::ranked_owners(
        host.m_routing, *host.m_configuration.m_in_force, id);
    return !order.empty() && order.front() == host.m_settings.m_name;
}

void apply_summary(entry_host& host, core::pool_id const& id,
                   std::string const& from, core::pool_summary const& summary)
{
    auto* pool = get_or_create_pool(host, id);
    if (pool == nullptr)
    {
        return;
    }
    for (auto const& remote : find_spill_pools(host, id))
    {
        if (remote.m_pool.m_zone == summary.m_zone)
        {
            core::on_summary(*pool->m_core_pool, summary, remote.m_cost, now());
        }
    }
    auto const own = core::summarize(*pool->m_core_pool, id.m_zone, now());
    if (!is_busy(own) &&
        now() - pool->m_last_summary_reply >= min_reply_interval)
    {
        pool->m_last_summary_reply = now();
        static_cast<void>(host.m_peer_network->send(from, to_message(id, own)));
    }
}

} // namespace

void send_summaries(entry_host& host)
{
    if (host.m_configuration.m_in_force == nullptr)
    {
        return;
    }
    for (auto const& [id, pool] : host.m_pools)
    {
        auto const summary =
            core::summarize(*pool->m_core_pool, id.m_zone, now());
        if (!pool->m_is_owned || !is_busy(summary))
        {
            continue;
        }
        for (auto const& remote : find_spill_pools(host, id))
        {
            if (remote.m_owner != host.m_settings.m_name)
            {
                static_cast<void>(host.m_peer_network->send(
                    remote.m_owner, to_message(id, summary)));
            }
        }
    }
}

void on_summary_message(entry_host& host, std::string const& from,
                        net::pool_summary_message const& message)
{
    if (host.m_configuration.m_in_force == nullptr)
    {
        return;
    }
    core::pool_summary summary;
    summary.m_zone = message.m_zone;
    summary.m_free_slots = message.m_free_slots;
    summary.m_slots = message.m_slots;
    summary.m_queued = message.m_queued;
    summary.m_expected_wait = message.m_expected_wait;
    for (auto const& zone : host.m_configuration.m_in_force->m_zones)
    {
        core::pool_id const id{message.m_service, zone.m_name};
        if (zone.m_name != message.m_zone && is_owner(host, id))
        {
            apply_summary(host, id, from, summary);
        }
    }
}

void on_handover(entry_host& host, net::handover_message const& message)
{
    if (host.m_configuration.m_in_force == nullptr)
    {
        return;
    }
    core::pool_id const id{message.m_service, message.m_zone};
    auto* pool = get_or_create_pool(host, id);
    auto const* service =
        core::find_service(*host.m_configuration.m_in_force, id.m_service);
    if (pool == nullptr || service == nullptr)
    {
        return;
    }
    std::vector<core::target_handover> counts;
    for (auto const& target : service->m_targets)
    {
        auto const found =
            std::find_if(message.m_targets.begin(), message.m_targets.end(),
                         [&](net::handover_target const& entry)
                         { return entry.m_target == target.m_name; });
        if (target.m_zone == id.m_zone && found != message.m_targets.end())
        {
            counts.push_back({intern_target(host, id.m_service, target),
                              found->m_in_flight, found->m_limit});
        }
    }
    core::apply_handover(*pool->m_core_pool, counts, now() + handover_hold_time,
                         now());
    host.m_metrics.count_event("pool_taken_over");
}

} // namespace hawthornspur::serve
