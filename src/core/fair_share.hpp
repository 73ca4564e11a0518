#ifndef HAWTHORNSPUR_CORE_FAIR_SHARE_HPP
#define HAWTHORNSPUR_CORE_FAIR_SHARE_HPP

#include "core/ids.hpp"
#include "core/kind_queue.hpp"
#include "core/ramp_sum.hpp"
#include "core/time.hpp"
#include "core/usual_rate.hpp"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <utility>
#include <vector>

namespace hawthornspur::core
{

// Start-time fair queueing over the customers of a pool. It answers loads above
// the capacity of the pool that last for seconds, in which one customer may
// send many times its usual load: in the order of arrival, that customer would
// take the slots of all others.

/// The requests of one kind that a customer sends.
struct flow_key
{
    customer_id m_customer;
    kind_id m_kind;
    friend auto operator<=>(flow_key const&, flow_key const&) = default;
};

/// Lower values are more urgent; the priority of the customer precedes that of
/// the kind.
struct flow_rank
{
    int m_customer_priority = 0;
    int m_kind_priority = 0;
    friend auto operator<=>(flow_rank const&, flow_rank const&) = default;
};

/// Least urgent priority of a customer that is distinguished.
constexpr int max_customer_priority = 9;

/// Largest ratio of the weights of two flows with the same usual rate. If both
/// have waiting requests, the shares of their requests that are started differ
/// by this factor at most, so no flow is served less than a quarter as often as
/// all.
constexpr double max_weight_ratio = 4;

/// Weight of a flow relative to the most urgent one, 1/max_weight_ratio to 1.
/// `kind_position` (0 to below 1) is the share of kinds that are more urgent.
/// Each step of the customer's priority counts as much as all kinds together,
/// so the priority of the customer precedes that of the kind.
double rank_weight(int customer_priority, double kind_position);

struct flow
{
    flow_rank m_rank;
    /// Requests that the flow starts per unit of virtual time: the weight of
    /// its rank times the usual rate of the customer times the share of this
    /// kind in the customer's recent requests.
    double m_weight = 1;
    decaying_count m_recent;
    /// Virtual time of the next start.
    double m_start = 0;
    kind_queue m_queue;
    /// Position in the order in which flows became idle.
    std::uint64_t m_idle_position = 0;
};

struct customer_usage
{
    usual_rate m_usual_rate;
    decaying_count m_recent;
    /// Flows that are kept.
    std::size_t m_flows = 0;
};

/// Number of idle flows whose virtual time and usual rate are kept.
constexpr std::size_t max_idle_flows = 1024;

/// Flows of one pool. Only the functions below change it.
struct fair_share
{
    std::map<flow_key, flow> m_flows;
    /// Customers that have a flow.
    std::map<customer_id, customer_usage> m_customers;
    /// Flows with waiting requests by the virtual time of their next start, for
    /// each kind, so that kinds that hold all slots they may have are skipped.
    std::vector<std::set<std::pair<double, flow_key>>> m_by_start;
    /// Requests that start until a virtual time, for each kind.
    std::vector<ramp_sum> m_starts;
    /// Flows with waiting requests by rank and length.
    std::set<std::pair<std::pair<flow_rank, std::size_t>, flow_key>> m_by_rank;
    std::set<std::pair<std::size_t, flow_key>> m_by_length;
    /// Flows without waiting requests, the longest idle one first.
    std::set<std::pair<std::uint64_t, flow_key>> m_idle;
    /// Virtual time of the last start.
    double m_virtual_time = 0;
    std::uint64_t m_next_idle_position = 0;
};

/// Returns the flow, creating it if it is not known, and sets its weight.
/// Counts an arrival, which the usual rate of the flow follows.
flow& record_arrival(fair_share& share, flow_key key, flow_rank rank,
                     double rank_weight, time_point now);

/// Adds a waiting request to a flow that record_arrival() has returned before.
/// A flow that was idle starts at the virtual time of the last start, so that
/// it gains nothing by having been idle.
void push(fair_share& share, flow_key key, queued_request const& request,
          queue_order order);

/// Removes a waiting request. Returns false if it does not wait in this flow.
bool remove(fair_share& share, flow_key key, request_id request);

/// Advances the flow's virtual time, since one of its waiting requests starts.
/// Called before the request is removed.
void record_start(fair_share& share, flow_key key);

/// The waiting flow of this kind that goes next, or null.
flow_key const* next_flow(fair_share const& share, kind_id kind);

/// Virtual time at which a request that joins the flow now would start.
double start_of_new_request(fair_share const& share, flow_key key);

/// Waiting requests of this kind, of all flows, that start until the virtual
/// time `start`. Flows are taken as fluid, so the number may have a fraction.
double count_before(fair_share const& share, kind_id kind, double start);

/// The flow that gives up its last request so that one of the flow `key` can
/// wait: the longest flow of the least urgent rank if that is less urgent,
/// otherwise the longest flow if it is longer by more than one. A less urgent
/// flow keeps one request, so that flows of urgent customers cannot keep it out
/// of the queue. Null if there is none.
flow_key const* flow_to_shorten(fair_share const& share, flow_key key,
                                flow_rank rank);

/// Orders the waiting requests of each flow anew.
void set_order(fair_share& share, queue_order order);

/// Renumbers the kinds: kind i becomes kind new_indices[i]. Flows of a
/// kind whose new number is the largest value of the type are forgotten.
void renumber_kinds(fair_share& share,
                    std::vector<std::size_t> const& new_indices);

} // namespace hawthornspur::core

#endif
