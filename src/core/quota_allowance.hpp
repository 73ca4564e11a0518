#ifndef HAWTHORNSPUR_CORE_QUOTA_ALLOWANCE_HPP
#define HAWTHORNSPUR_CORE_QUOTA_ALLOWANCE_HPP

#include "core/quota_limits.hpp"
#include "core/time.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace hawthornspur::core
{

/// Time after its question at which an allowance ends. Bounds how long the
/// hosts use what a former home granted.
inline constexpr duration quota_allowance_lifetime = std::chrono::seconds(1);

namespace detail
{

struct allowance_batch
{
    double m_tokens = 0;
    time_point m_ends_at;
};

} // namespace detail

/// The tokens of one customer at a host that admits requests. The default
/// value is the state of a host that has not admitted any.
struct quota_allowance
{
    std::vector<detail::allowance_batch> m_batches;
    /// The most tokens to hold in advance of demand; see max_batch().
    double m_max_batch = 2;
    /// Exponentially weighted requests per second.
    double m_demand = 0;
    time_point m_demand_at;
    /// Not reported yet.
    double m_used = 0;
    double m_unused = 0;
    /// Size of the last grant, which limits what is put back.
    double m_last_grant = 0;
    /// End of the grant that ends last.
    time_point m_last_end;
    /// The last question without an answer.
    std::optional<time_point> m_asked_at;
    /// When the next token arises at the home.
    time_point m_next_token_at;
    /// The home is not asked before this time.
    time_point m_refused_until;
    /// When the next caller may be told to retry, after those that were told
    /// before.
    time_point m_next_retry;
};

enum class quota_decision : std::uint8_t
{
    admitted,
    /// A question to the home is due or on its way.
    wait,
    /// The home has no token.
    refused,
};

/// What a host asks the home, and reports to it.
struct quota_need
{
    /// 0 if there are only tokens to report.
    double m_wanted = 0;
    double m_used = 0;
    double m_unused = 0;
};

/// Counts a request of the customer, once, before the first take().
void record_demand(quota_allowance& allowance, time_point now);

/// Takes a token for a request.
quota_decision take(quota_allowance& allowance, time_point now);

/// Returns the token of a request that ended without a run.
void put_back(quota_allowance& allowance, time_point now);

/// Delay after which a refused caller may retry, when a token arises after
/// those for the callers refused before. `rate` is the limit in requests per
/// second, above 0. At most 1 s later than the next token.
duration retry_delay(quota_allowance& allowance, double rate, time_point now);

/// Whether the home is to be asked now, given the number of requests that wait
/// for a token.
bool is_question_due(quota_allowance& allowance, std::size_t waiting,
                     time_point now);

/// The most tokens to hold in advance of demand. Demand above the limit must
/// not take the tokens of other hosts, and those that lie unused at hosts leave
/// no room in the bucket of a customer with a small burst.
double max_batch(quota_limits const& limits, quota_margin const& margin);

/// Returns what to ask the home, and takes note that it is asked.
quota_need make_question(quota_allowance& allowance, std::size_t waiting,
                         time_point now);

/// Applies an answer to the question sent at `asked_at`: tokens, and the delay
/// until the next token if they are fewer than wanted. Tokens that arrive after
/// the end of their allowance are reported as unused.
void on_grant(quota_allowance& allowance, time_point asked_at, double tokens,
              duration next_token, time_point now);

/// When is_question_due() is to be called again without a further request, or
/// nothing if the allowance is empty.
std::optional<time_point> next_check(quota_allowance const& allowance,
                                     std::size_t waiting);

} // namespace hawthornspur::core

#endif
