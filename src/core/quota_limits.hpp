#ifndef HAWTHORNSPUR_CORE_QUOTA_LIMITS_HPP
#define HAWTHORNSPUR_CORE_QUOTA_LIMITS_HPP

namespace hawthornspur::core
{

/// Limit of a customer over all hosts: requests per second above 0, and
/// requests that may exceed the rate at once.
struct quota_limits
{
    double m_rate = 0;
    double m_burst = 0;
    friend bool operator==(quota_limits const&, quota_limits const&) = default;
};

/// What the hosts together may exceed the limits of customers by.
struct quota_margin
{
    /// Share of the limit.
    double m_overage = 0;
    /// Number of requests.
    double m_slack = 0;
    friend bool operator==(quota_margin const&, quota_margin const&) = default;
};

/// Tokens per second that the home grants over all hosts. It uses half of the
/// margin, so that rounding and delays do not refuse what is within the limit;
/// the other half covers changes of the home.
constexpr double quota_rate(quota_limits const& limits,
                            quota_margin const& margin) noexcept
{
    return (1 + margin.m_overage / 2) * limits.m_rate;
}

/// Tokens that the home grants at once over all hosts.
constexpr double quota_capacity(quota_limits const& limits,
                                quota_margin const& margin) noexcept
{
    return (1 + margin.m_overage / 2) * limits.m_burst + margin.m_slack / 2;
}

/// Tokens that hosts may hold besides quota_capacity(): what is on the way and
/// in use in 50 ms, several round trips between zones. Without them, a customer
/// with a high rate and a small burst gets half of its rate, because the bucket
/// is full while its tokens are on the way.
constexpr double quota_transit(quota_limits const& limits,
                               quota_margin const& margin) noexcept
{
    constexpr double transit_seconds = 0.05;
    return transit_seconds * quota_rate(limits, margin);
}

} // namespace hawthornspur::core

#endif
