#ifndef HAWTHORNSPUR_CORE_POOL_SHARING_HPP
#define HAWTHORNSPUR_CORE_POOL_SHARING_HPP

#include "core/pool_state.hpp"

#include <cstddef>
#include <optional>

namespace hawthornspur::core
{

/// Starts to share the slots among customers if the request names one. Requests
/// that wait already, and later ones without a customer, then form flows of
/// their own. Counts the arrival for its flow.
void record_arrival_of_customer(pool& pool, arrival const& request,
                                time_point now);

/// Adds the request to the queue of its flow or, in a pool without customers,
/// of its kind.
void add_waiting(pool& pool, arrival const& request,
                 queued_request const& waiting);

/// Removes a waiting request. Returns false if it does not wait for its first
/// attempt.
bool remove_waiting(pool& pool, arrival const& request);

/// Removes a waiting request whose first attempt starts, charges its flow and
/// counts the start.
void start_waiting(pool& pool, arrival const& request, time_point enqueued_at,
                   time_point now);

/// Requests of this kind that wait for their first attempt.
std::size_t count_waiting(pool const& pool, kind_id kind);

/// Waiting requests that go before a new one.
struct work_ahead
{
    double m_requests = 0;
    /// Of the same kind.
    double m_requests_of_kind = 0;
    /// Sum of their usual service times.
    double m_seconds = 0;
};

/// Work before a new request of this flow.
work_ahead measure_work_ahead(pool const& pool, flow_key flow);

/// The flow of a request in a pool that shares its slots among customers.
flow_key flow_of(arrival const& request);

/// The flow that goes next among those whose kind may hold further slots, or
/// null. `slots` is the number of slots of the pool.
flow_key const* pick_flow(pool const& pool, int slots);

/// The queues of all flows whose kind may hold further slots, in the order in
/// which the flows go.
std::vector<kind_queue const*> list_queues(pool const& pool, int slots);

/// The waiting request that has to leave a full queue for this one; empty if
/// this one has to be refused.
std::optional<request_id> pick_request_to_evict(pool const& pool,
                                                arrival const& request);

/// Gives the flows the new numbers of their kinds. See renumber_kinds().
void renumber_flows(pool& pool, std::vector<std::size_t> const& new_indices);

} // namespace hawthornspur::core

#endif
