#ifndef HAWTHORNSPUR_CORE_ADVERTISED_RATE_HPP
#define HAWTHORNSPUR_CORE_ADVERTISED_RATE_HPP

#include "core/ids.hpp"
#include "core/time.hpp"

#include <optional>
#include <vector>

namespace hawthornspur::core
{

struct pool;

/// Rate limit that one target advertises in its answers, for the requests of
/// all hosts together, and what this host sent to the target under it.
struct advertised_rate
{
    /// Requests per second; empty if the target advertises no limit.
    std::optional<double> m_limit;
    time_point m_reported_at{};
    /// Sent since the last call of take_rate_usage().
    int m_attempts = 0;
    int m_probes = 0;
};

/// Records the rate limit that an answer of the target advertises, in requests
/// per second, or empty if it advertises none. Returns whether it changed.
bool on_rate_report(pool& pool, target_id target, std::optional<double> limit,
                    time_point now);

/// What this host sent to a target that advertises a rate limit.
struct rate_usage
{
    target_id m_target;
    double m_limit = 0;
    int m_attempts = 0;
    int m_probes = 0;
};

/// Returns the usage of the targets that advertise a rate limit since the last
/// call, and resets it.
std::vector<rate_usage> take_rate_usage(pool& pool);

} // namespace hawthornspur::core

#endif
