#ifndef HAWTHORNSPUR_CORE_REPEAT_BUDGET_HPP
#define HAWTHORNSPUR_CORE_REPEAT_BUDGET_HPP

#include "core/time.hpp"
#include "core/token_bucket.hpp"

#include <deque>

namespace hawthornspur::core
{

/// What a deployment allows in any span of `m_window` to all hosts together.
struct repeat_limits
{
    /// Repeats for each request.
    double m_ratio = 0.1;
    /// Repeats in addition.
    double m_burst = 10;
    duration m_window = std::chrono::seconds(10);
};

/// Limits the repeats of a service's requests, that is their arrivals at
/// targets beyond each first one, in any span of a given length over all hosts.
///
/// Each request pays for a part of a repeat, at the host that took it from its
/// caller and for an eighth of the span. Since a request is counted at one host
/// only, the bound holds however many hosts there are and while they come, go,
/// freeze or exchange their roles: nothing is handed over, and what a lost host
/// could have spent is lost with it.
struct repeat_budget
{
    /// Requests of one period, which are counted together.
    struct period
    {
        time_point m_start{};
        double m_unspent = 0;
    };

    double m_per_request = 0;
    duration m_lifetime{0};
    /// Oldest first, none older than the lifetime.
    std::deque<period> m_periods;
    /// This host's part of the repeats that are allowed besides. A service with
    /// few requests could never afford a whole repeat without it. It is empty
    /// when the first requests reach a host, so that hosts which take over
    /// callers one after the other add nothing.
    token_bucket m_spare;
    time_point m_last_request{};
};

/// An empty budget of one of `hosts` hosts that share the spare repeats: those
/// that take requests of the service from callers at the same time.
repeat_budget make_repeat_budget(repeat_limits const& limits, int hosts,
                                 time_point now);

/// Applies changed limits or another number of hosts. What earlier requests
/// have paid for stays.
void set_limits(repeat_budget& budget, repeat_limits const& limits, int hosts,
                time_point now);

/// Counts a request that this host took from a caller.
void record_request(repeat_budget& budget, time_point now);

/// Pays for a repeat. Returns false, and spends nothing, if the budget does not
/// suffice.
bool try_spend(repeat_budget& budget, time_point now);

} // namespace hawthornspur::core

#endif
