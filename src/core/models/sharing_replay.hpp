#ifndef HAWTHORNSPUR_CORE_MODELS_SHARING_REPLAY_HPP
#define HAWTHORNSPUR_CORE_MODELS_SHARING_REPLAY_HPP

#include "core/time.hpp"

#include <cstdint>
#include <vector>

namespace hawthornspur::core
{

/// Of the replayed pool: 20 slots that take 100 ms for a request.
constexpr double replay_capacity_per_second = 200;

/// The requests of one kind that a customer sends.
struct load_source
{
    std::uint32_t m_customer = 0;
    int m_priority = 4;
    std::uint32_t m_kind = 0;
    /// In the warm-up, in requests per second.
    double m_usual_rate = 0;
    /// Factor by which the load rises after the warm-up.
    double m_factor = 1;
    /// Callers return at once after each refusal instead of once after the
    /// given delay.
    bool m_ignores_delay = false;
};

/// Results of a source for the requests first sent after the warm-up.
struct replay_counts
{
    int m_asked = 0;
    /// Answered within their deadline.
    int m_served = 0;
    /// Answered within half of their deadline.
    int m_in_time = 0;
    /// Refused after having waited in the queue.
    int m_refused_late = 0;
};

struct sharing_scenario
{
    std::vector<load_source> m_sources;
    std::vector<int> m_kind_priorities = {0};
    /// A quarter of the targets is slower by a factor of 4, others each 500 ms.
    bool m_has_neighbours = false;
    /// The pool is told the customers of the requests.
    bool m_names_customers = true;
    /// Kinds have a target latency of half the deadline.
    bool m_has_objective = false;
};

/// Replays the load on one pool in virtual time: 5 s of the usual load, then 8
/// s in which it is raised. Returns the results of each source.
std::vector<replay_counts> play_sharing(sharing_scenario const& scenario);

/// Share of the requests that were served, 0 to 1.
double share_served(replay_counts const& counts);

} // namespace hawthornspur::core

#endif
