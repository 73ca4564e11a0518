#include "core/pool_evacuation.hpp"

#include "core/pool_dispatch.hpp"

#include <algorithm>
#include <tuple>
#include <vector>

namespace hawthornspur::core
{

namespace
{

/// Waiting requests, the most urgent and then the oldest first. The first ones
/// get the free slots of other zones.
std::vector<request_id> waiting_requests(pool const& pool)
{
    std::vector<std::tuple<int, std::uint64_t, std::uint64_t>> order;
    for (auto const& [id, request] : pool.m_requests)
    {
        if (request.m_queued)
        {
            auto const kind = request.m_arrival.m_kind.m_value;
            order.emplace_back(pool.m_kinds[kind].m_config.m_priority,
                               request.m_sequence, id.m_value);
        }
    }
    std::sort(order.begin(), order.end());
    std::vector<request_id> ids;
    ids.reserve(order.size());
    for (auto const& entry : order)
    {
        ids.push_back(request_id{std::get<2>(entry)});
    }
    return ids;
}

} // namespace

bool is_evacuated(pool const& pool)
{
    return std::any_of(pool.m_targets.begin(), pool.m_targets.end(),
                       [](target_entry const& target) {
                           return target.m_listed &&
                                  target.m_spec.m_is_evacuated;
                       }) &&
           std::all_of(pool.m_targets.begin(), pool.m_targets.end(),
                       [](target_entry const& target)
                       { return is_leaving(target); });
}

void release_waiting(pool& pool, time_point now, pool_effects& out)
{
    if ((pool.m_queued_count == 0 && pool.m_retry_queue.empty()) ||
        !is_evacuated(pool))
    {
        return;
    }
    for (auto const id : waiting_requests(pool))
    {
        auto const found = pool.m_requests.find(id);
        remove_from_queue(pool, found->second);
        found->second.m_queued = false;
        if (!spill_waiting(pool, found, now, out))
        {
            refuse(pool, found, result_code::no_target_available, out);
        }
    }
}

} // namespace hawthornspur::core
