#ifndef HAWTHORNSPUR_CORE_QUOTA_LEDGER_HPP
#define HAWTHORNSPUR_CORE_QUOTA_LEDGER_HPP

#include "core/name_map.hpp"
#include "core/quota_limits.hpp"
#include "core/time.hpp"
#include "core/token_bucket.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hawthornspur::core
{

/// A customer whose home is this host.
struct quota_customer
{
    std::string m_name;
    quota_limits m_limits;
};

namespace detail
{

/// Tokens of one host that it has not reported as used or unused.
struct outstanding_grant
{
    std::string m_host;
    double m_tokens = 0;
    time_point m_ends_at;
};

/// The state of one customer at its home.
struct quota_account
{
    quota_limits m_limits;
    /// Its capacity is that of the customer less the outstanding tokens beyond
    /// the transit.
    token_bucket m_bucket;
    std::vector<outstanding_grant> m_outstanding;
    time_point m_home_since;
};

} // namespace detail

/// The credit of the customers whose home is this host. Tokens in the bucket
/// plus tokens granted and not yet ended never exceed the capacity and the
/// transit of a customer. Its size is bounded by the number of customers in the
/// document, and per customer by the hosts that asked within the last second.
struct quota_ledger
{
    quota_margin m_margin;
    /// The part of the limits that this host may grant, from 0 to 1.
    double m_share = 0;
    /// Start of this process while the whole fleet starts with it; see
    /// core::fleet_start.
    std::optional<time_point> m_joint_start;
    name_map<detail::quota_account> m_accounts;
};

/// Question of a host. The numbers of tokens are not negative.
struct quota_demand
{
    std::string_view m_customer;
    std::string_view m_host;
    double m_wanted = 0;
    /// Tokens used since its last question.
    double m_used = 0;
    /// Tokens that ended or were returned without use since its last question.
    double m_unused = 0;
};

struct granted_tokens
{
    /// A whole number.
    double m_tokens = 0;
    /// Delay until the next token arises; 0 if all wanted tokens are granted.
    duration m_next_token{0};
};

/// Whether this host is the home of the customer.
bool is_home_of(quota_ledger const& ledger, std::string_view customer);

/// Sets the customers whose home is this host. A customer that is new here
/// starts without tokens, and at half its rate for 2 s, because other hosts may
/// still ask the former home. If the whole fleet starts, there is no former
/// home: the customer has what arose since the start of this process. Lower
/// limits truncate the tokens at once.
void set_limits(quota_ledger& ledger,
                std::vector<quota_customer> const& customers,
                quota_margin const& margin, time_point now);

/// Sets the start of the whole fleet, or that it did not start now. If it is
/// found out after accounts were created, they are started again.
void set_joint_start(quota_ledger& ledger, std::optional<time_point> start,
                     time_point now);

/// Sets the part of the rates and capacities that this host may grant.
void set_share(quota_ledger& ledger, double share, time_point now);

/// Drops all tokens after a time in which this process did not run: another
/// host may have become the home meanwhile.
void reset_after_pause(quota_ledger& ledger, time_point now);

/// Takes back unused tokens and takes note of used ones.
void report_unused(quota_ledger& ledger, quota_demand const& demand,
                   time_point now);

/// Grants up to the wanted number of tokens, after report_unused(). Grants
/// nothing if this host is not the home.
granted_tokens grant(quota_ledger& ledger, quota_demand const& demand,
                     time_point now);

} // namespace hawthornspur::core

#endif
