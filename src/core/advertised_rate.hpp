#ifndef HAWTHORNSPUR_CORE_ADVERTISED_RATE_HPP
#define HAWTHORNSPUR_CORE_ADVERTISED_RATE_HPP

#include "core/ids.hpp"
#include "core/pool_effects.hpp"
#include "core/time.hpp"
#include "core/token_bucket.hpp"

#include <optional>
#include <span>
#include <vector>

namespace hawthornspur::core
{

struct pool;

/// Rate limit that one target advertises in its answers or that holds while it
/// is cold, for the requests of all hosts together, and what this host sent to
/// the target under it. Health checks are not requests and do not count.
struct advertised_rate
{
    /// Requests per second; empty if the target advertises no limit.
    std::optional<double> m_limit;
    /// Part of the limit that this host may use, from 0 to 1.
    double m_share = 1;
    /// Requests per second while the target is cold; empty if it is not, or if
    /// its service has no cold rate.
    std::optional<double> m_cold_limit;
    /// One token per request. Used only while there is a limit.
    token_bucket m_bucket;
    /// Last report of the target to this host.
    time_point m_reported_at{};
    /// Health answers of this target advertise the limit, so that one without
    /// it ends the limit.
    bool m_is_in_health_answers = false;
    /// Sent since the last call of take_rate_usage().
    int m_attempts = 0;
    int m_probes = 0;
};

/// Where a target advertised its limit, or did not.
enum class rate_source : std::uint8_t
{
    /// The head of an answer to a request that the target ran.
    answer,
    /// A refusal or a server error, which may come without the limit although
    /// it still holds.
    failure,
    /// A successful answer to a health check.
    health_answer,
};

/// What an answer of a target says about its rate limit.
struct rate_report
{
    target_id m_target;
    /// Requests per second, at least 0; empty if the answer names no limit.
    std::optional<double> m_limit;
    rate_source m_source = rate_source::answer;
    /// Start of the request or health check. An answer without a limit to one
    /// that began before the limit was reported says nothing.
    time_point m_started_at{};
};

/// What a report changes.
enum class rate_change : std::uint8_t
{
    none,
    /// Another limit. A target may adjust its limit with each answer.
    adjusted,
    /// The target began or ceased to advertise a limit.
    begun_or_ended,
};

/// Applies a report to the pool, which sends the target at most as many
/// requests as the limit allows from now on. Requests that wait may be
/// dispatched.
rate_change on_rate_report(pool& pool, rate_report const& report,
                           time_point now, pool_effects& out);

/// The advertised limit of one target, as hosts tell each other.
struct target_rate_limit
{
    target_id m_target;
    /// Requests per second.
    double m_limit = 0;
};

/// The limits that the targets of the pool advertise.
std::vector<target_rate_limit> rate_limits(pool const& pool);

/// Takes over the limits that another host knows. Targets that have reported to
/// this host recently keep theirs, and only a report to this host ends a limit
/// that was reported to it.
void adopt_rate_limits(pool& pool, std::span<target_rate_limit const> limits,
                       time_point now);

/// Sets the part of all limits that this host may use, from 0 to 1. With 0, it
/// uses only targets without a limit.
void set_rate_share(pool& pool, double share, time_point now,
                    pool_effects& out);

/// Limits the targets that are cold now to the cold rate of their service, and
/// ends the limit of the others. To be called after each change of the rules or
/// of the time until which a target is cold, and when next_cold_end() is due.
void update_cold_limits(pool& pool, time_point now);

/// Records how much longer a target reports to be cold, zero if it is not. No
/// effect without a report, or if its service has no cold rate.
void record_cold_report(pool& pool, target_id target,
                        std::optional<duration> left, time_point now);

/// When the next target ceases to be cold; time_point::max() if none is limited
/// as cold.
time_point next_cold_end(pool const& pool);

/// The limit that holds, in requests per second: the lower of the advertised
/// limit and that of a cold target.
std::optional<double> limit_in_force(advertised_rate const& rate);

/// Whether the limit allows a request now.
bool has_token(advertised_rate const& rate, time_point now);

/// Counts a request against the limit. has_token() must be true.
void take_token(advertised_rate& rate, time_point now);

/// When the limit allows the next request; `now` if there is no limit, and
/// time_point::max() if this host has no share of it.
time_point next_token(advertised_rate const& rate, time_point now);

/// Requests in flight that suffice to use the limit, if each takes
/// `service_duration`; `slots` without a limit, if it exceeds them or if the
/// duration is still zero, that is unknown. None if this host has no share of
/// the limit.
double usable_slots(advertised_rate const& rate, int slots,
                    duration service_duration);

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
