#include "core/fair_share.hpp"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <limits>

namespace hawthornspur::core
{

namespace
{

// Ten priorities of customers, each with positions of kinds below 1.
constexpr double rank_span = max_customer_priority + 1;

/// Ids of the two ramps of a flow.
std::uint64_t first_ramp(flow_key key)
{
    return std::uint64_t{key.m_customer.m_value} * 2;
}

std::uint64_t last_ramp(flow_key key)
{
    return first_ramp(key) + 1;
}

/// Virtual time at which the last waiting request of the flow starts.
double last_start(flow const& flow)
{
    return flow.m_start +
           static_cast<double>(flow.m_queue.size() - 1) / flow.m_weight;
}

/// Enters the flow into the indexes of the flows that wait or are idle.
void add_to_indexes(fair_share& share, flow_key key, flow& flow)
{
    auto const length = flow.m_queue.size();
    if (length == 0)
    {
        flow.m_idle_position = share.m_next_idle_position++;
        share.m_idle.emplace(flow.m_idle_position, key);
        return;
    }
    if (key.m_kind.m_value >= share.m_by_start.size())
    {
        share.m_by_start.resize(key.m_kind.m_value + 1);
        share.m_starts.resize(key.m_kind.m_value + 1);
    }
    share.m_by_start[key.m_kind.m_value].emplace(flow.m_start, key);
    auto& starts = share.m_starts[key.m_kind.m_value];
    starts.insert({flow.m_start, flow.m_weight, 1, first_ramp(key)});
    starts.insert({last_start(flow), -flow.m_weight, 0, last_ramp(key)});
    share.m_by_rank.emplace(std::pair(flow.m_rank, length), key);
    share.m_by_length.emplace(length, key);
}

void remove_from_indexes(fair_share& share, flow_key key, flow const& flow)
{
    auto const length = flow.m_queue.size();
    if (length == 0)
    {
        share.m_idle.erase({flow.m_idle_position, key});
        return;
    }
    share.m_by_start[key.m_kind.m_value].erase({flow.m_start, key});
    auto& starts = share.m_starts[key.m_kind.m_value];
    starts.remove(flow.m_start, first_ramp(key));
    starts.remove(last_start(flow), last_ramp(key));
    share.m_by_rank.erase({{flow.m_rank, length}, key});
    share.m_by_length.erase({length, key});
}

void count_arrival(decaying_count& count, time_point now)
{
    decay(count, now);
    ++count.m_value;
}

void forget_flow_of(fair_share& share, customer_id customer)
{
    auto const found = share.m_customers.find(customer);
    if (--found->second.m_flows == 0)
    {
        share.m_customers.erase(found);
    }
}

void forget_longest_idle(fair_share& share)
{
    while (share.m_idle.size() > max_idle_flows)
    {
        auto const oldest = share.m_idle.begin();
        forget_flow_of(share, oldest->second.m_customer);
        share.m_flows.erase(oldest->second);
        share.m_idle.erase(oldest);
    }
}

} // namespace

double rank_weight(int customer_priority, double kind_position)
{
    auto const priority =
        std::clamp(customer_priority, 0, max_customer_priority);
    return std::pow(max_weight_ratio, -(priority + kind_position) / rank_span);
}

flow& record_arrival(fair_share& share, flow_key key, flow_rank rank,
                     double rank_weight, time_point now)
{
    auto const [found, is_new] = share.m_flows.try_emplace(key);
    auto& entry = found->second;
    if (!is_new)
    {
        remove_from_indexes(share, key, entry);
    }
    entry.m_rank = rank;
    auto& customer = share.m_customers[key.m_customer];
    customer.m_flows += is_new ? 1 : 0;
    record_arrival(customer.m_usual_rate, now);
    count_arrival(customer.m_recent, now);
    count_arrival(entry.m_recent, now);
    entry.m_weight = rank_weight * customer.m_usual_rate.m_per_second *
                     entry.m_recent.m_value / customer.m_recent.m_value;
    add_to_indexes(share, key, entry);
    forget_longest_idle(share);
    return entry;
}

void push(fair_share& share, flow_key key, queued_request const& request,
          queue_order order)
{
    auto& entry = share.m_flows.at(key);
    remove_from_indexes(share, key, entry);
    if (entry.m_queue.empty())
    {
        entry.m_start = std::max(entry.m_start, share.m_virtual_time);
    }
    push(entry.m_queue, request, order);
    add_to_indexes(share, key, entry);
}

bool remove(fair_share& share, flow_key key, request_id request)
{
    auto const found = share.m_flows.find(key);
    if (found == share.m_flows.end())
    {
        return false;
    }
    auto& entry = found->second;
    remove_from_indexes(share, key, entry);
    bool const is_removed = remove(entry.m_queue, request);
    add_to_indexes(share, key, entry);
    forget_longest_idle(share);
    return is_removed;
}

void record_start(fair_share& share, flow_key key)
{
    auto& entry = share.m_flows.at(key);
    remove_from_indexes(share, key, entry);
    share.m_virtual_time = std::max(share.m_virtual_time, entry.m_start);
    entry.m_start += 1 / entry.m_weight;
    add_to_indexes(share, key, entry);
}

flow_key const* next_flow(fair_share const& share, kind_id kind)
{
    if (kind.m_value >= share.m_by_start.size() ||
        share.m_by_start[kind.m_value].empty())
    {
        return nullptr;
    }
    return &share.m_by_start[kind.m_value].begin()->second;
}

double start_of_new_request(fair_share const& share, flow_key key)
{
    auto const found = share.m_flows.find(key);
    if (found == share.m_flows.end())
    {
        return share.m_virtual_time;
    }
    auto const& entry = found->second;
    return std::max(entry.m_start, share.m_virtual_time) +
           static_cast<double>(entry.m_queue.size()) / entry.m_weight;
}

double count_before(fair_share const& share, kind_id kind, double start)
{
    return kind.m_value < share.m_starts.size()
               ? share.m_starts[kind.m_value].value_at(start)
               : 0;
}

flow_key const* flow_to_shorten(fair_share const& share, flow_key key,
                                flow_rank rank)
{
    if (share.m_by_length.empty())
    {
        return nullptr;
    }
    auto const& [least_urgent, least_urgent_key] = *share.m_by_rank.rbegin();
    if (least_urgent.first > rank && least_urgent.second > 1)
    {
        return &least_urgent_key;
    }
    auto const own = share.m_flows.find(key);
    auto const own_length =
        own == share.m_flows.end() ? 0 : own->second.m_queue.size();
    auto const& [length, longest] = *share.m_by_length.rbegin();
    return length > own_length + 1 ? &longest : nullptr;
}

void set_order(fair_share& share, queue_order order)
{
    for (auto& [key, entry] : share.m_flows)
    {
        auto const waiting = std::exchange(entry.m_queue, {});
        for (auto const& request : waiting)
        {
            push(entry.m_queue, request, order);
        }
    }
}

void renumber_kinds(fair_share& share,
                    std::vector<std::size_t> const& new_indices)
{
    auto const flows = std::exchange(share.m_flows, {});
    share.m_by_start.clear();
    share.m_starts.clear();
    share.m_by_rank.clear();
    share.m_by_length.clear();
    share.m_idle.clear();
    for (auto const& [key, entry] : flows)
    {
        auto const old_index = key.m_kind.m_value;
        if (old_index >= new_indices.size() ||
            new_indices[old_index] == std::numeric_limits<std::size_t>::max())
        {
            forget_flow_of(share, key.m_customer);
            continue;
        }
        flow_key const renumbered{
            key.m_customer,
            {static_cast<std::uint32_t>(new_indices[old_index])}};
        auto const [added, is_new] =
            share.m_flows.try_emplace(renumbered, entry);
        assert(is_new);
        add_to_indexes(share, renumbered, added->second);
    }
}

} // namespace hawthornspur::core
