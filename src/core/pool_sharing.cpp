#include "core/pool_sharing.hpp"

#include "core/pool_returns.hpp"

#include <algorithm>
#include <utility>

namespace hawthornspur::core
{

namespace
{

// Requests without a customer share the flow of this one, whose priority is the
// default of customers. Hosts number customers from 1.
constexpr customer_id no_customer{0};
constexpr int default_customer_priority = 4;

flow_rank rank_of(pool const& pool, arrival const& request)
{
    auto const& kind = pool.m_kinds[request.m_kind.m_value].m_config;
    return {request.m_customer ? request.m_customer_priority
                               : default_customer_priority,
            kind.m_priority};
}

/// Share of the pool's kinds that are more urgent.
double kind_position(pool const& pool, kind_id id)
{
    auto const priority = pool.m_kinds[id.m_value].m_config.m_priority;
    auto const more_urgent =
        std::count_if(pool.m_kinds.begin(), pool.m_kinds.end(),
                      [&](kind_entry const& kind)
                      { return kind.m_config.m_priority < priority; });
    return static_cast<double>(more_urgent) /
           static_cast<double>(pool.m_kinds.size());
}

void record_in_flow(pool& pool, arrival const& request, time_point now)
{
    auto const rank = rank_of(pool, request);
    record_arrival(pool.m_share, flow_of(request), rank,
                   rank_weight(rank.m_customer_priority,
                               kind_position(pool, request.m_kind)),
                   now);
}

/// Moves the requests that wait by kind to flows.
void share_by_customer(pool& pool, time_point now)
{
    pool.m_is_shared_by_customer = true;
    for (auto& kind : pool.m_kinds)
    {
        for (auto const& waiting : std::exchange(kind.m_queue, {}))
        {
            auto const& request =
                pool.m_requests.at(waiting.m_request).m_arrival;
            record_in_flow(pool, request, now);
            push(pool.m_share, flow_of(request), waiting, pool.m_rules.m_order);
            ++kind.m_waiting_in_flows;
        }
    }
}

} // namespace

flow_key flow_of(arrival const& request)
{
    return {request.m_customer.value_or(no_customer), request.m_kind};
}

void record_arrival_of_customer(pool& pool, arrival const& request,
                                time_point now)
{
    if (request.m_customer && !pool.m_is_shared_by_customer)
    {
        share_by_customer(pool, now);
    }
    if (pool.m_is_shared_by_customer)
    {
        record_in_flow(pool, request, now);
    }
}

void add_waiting(pool& pool, arrival const& request,
                 queued_request const& waiting)
{
    if (pool.m_is_shared_by_customer)
    {
        push(pool.m_share, flow_of(request), waiting, pool.m_rules.m_order);
        ++pool.m_kinds[request.m_kind.m_value].m_waiting_in_flows;
    }
    else
    {
        push(pool.m_kinds[request.m_kind.m_value].m_queue, waiting,
             pool.m_rules.m_order);
    }
    ++pool.m_queued_count;
}

bool remove_waiting(pool& pool, arrival const& request)
{
    auto& kind = pool.m_kinds[request.m_kind.m_value];
    if (pool.m_is_shared_by_customer)
    {
        if (!remove(pool.m_share, flow_of(request), request.m_request))
        {
            return false;
        }
        --kind.m_waiting_in_flows;
    }
    else if (!remove(kind.m_queue, request.m_request))
    {
        return false;
    }
    --pool.m_queued_count;
    return true;
}

void start_waiting(pool& pool, arrival const& request, time_point enqueued_at,
                   time_point now)
{
    if (pool.m_is_shared_by_customer)
    {
        record_start(pool.m_share, flow_of(request));
        record_start(pool.m_returns, now);
        count_start(pool, request, now - enqueued_at);
    }
    remove_waiting(pool, request);
}

std::size_t count_waiting(pool const& pool, kind_id kind)
{
    auto const& entry = pool.m_kinds[kind.m_value];
    return pool.m_is_shared_by_customer ? entry.m_waiting_in_flows
                                        : entry.m_queue.size();
}

work_ahead measure_work_ahead(pool const& pool, flow_key flow)
{
    auto const start = start_of_new_request(pool.m_share, flow);
    work_ahead ahead;
    for (std::uint32_t i = 0; i < pool.m_kinds.size(); ++i)
    {
        auto const count = count_before(pool.m_share, {i}, start);
        ahead.m_requests += count;
        ahead.m_requests_of_kind += i == flow.m_kind.m_value ? count : 0;
        ahead.m_seconds +=
            count * pool.m_kinds[i].m_service_time.m_mean_seconds;
    }
    return ahead;
}

flow_key const* pick_flow(pool const& pool, int slots)
{
    flow_key const* best = nullptr;
    double best_start = 0;
    for (std::uint32_t i = 0; i < pool.m_kinds.size(); ++i)
    {
        auto const& kind = pool.m_kinds[i];
        auto const* next = next_flow(pool.m_share, {i});
        if (next == nullptr || kind.m_in_flight >= kind_cap(pool, kind, slots))
        {
            continue;
        }
        auto const start = pool.m_share.m_flows.at(*next).m_start;
        if (best == nullptr || start < best_start)
        {
            best = next;
            best_start = start;
        }
    }
    return best;
}

std::vector<kind_queue const*> list_queues(pool const& pool, int slots)
{
    std::vector<std::pair<double, flow_key>> starts;
    auto const& by_kind = pool.m_share.m_by_start;
    for (std::size_t i = 0; i < by_kind.size(); ++i)
    {
        auto const& kind = pool.m_kinds[i];
        if (kind.m_in_flight < kind_cap(pool, kind, slots))
        {
            starts.insert(starts.end(), by_kind[i].begin(), by_kind[i].end());
        }
    }
    std::sort(starts.begin(), starts.end());
    std::vector<kind_queue const*> queues;
    queues.reserve(starts.size());
    for (auto const& [start, key] : starts)
    {
        queues.push_back(&pool.m_share.m_flows.at(key).m_queue);
    }
    return queues;
}

std::optional<request_id> pick_request_to_evict(pool const& pool,
                                                arrival const& request)
{
    auto const* flow =
        flow_to_shorten(pool.m_share, flow_of(request), rank_of(pool, request));
    return flow == nullptr
               ? std::nullopt
               : std::optional(
                     pool.m_share.m_flows.at(*flow).m_queue.back().m_request);
}

void renumber_flows(pool& pool, std::vector<std::size_t> const& new_indices)
{
    bool is_changed = false;
    for (std::size_t i = 0; i < new_indices.size(); ++i)
    {
        is_changed = is_changed || new_indices[i] != i;
    }
    // The rules are set at each change of the targets, mostly unchanged.
    if (is_changed)
    {
        renumber_kinds(pool.m_share, new_indices);
    }
}

} // namespace hawthornspur::core
