#include "core/quota_allowance.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

namespace hawthornspur::core
{

namespace
{

using detail::allowance_batch;
using seconds_f = std::chrono::duration<double>;

/// Span over which the demand is averaged.
constexpr seconds_f demand_span = std::chrono::seconds(1);

/// Span of demand that a batch covers.
constexpr seconds_f batch_span = std::chrono::milliseconds(200);
constexpr double min_batch = 2;

/// Largest part of the capacity of a customer that a host holds.
constexpr double batch_share = 0.125;

/// The home is asked for more when the tokens cover less than this span, which
/// is several round trips between zones.
constexpr seconds_f low_water_span = std::chrono::milliseconds(100);

/// A question without an answer is repeated after this time, several round
/// trips between zones.
constexpr duration answer_timeout = std::chrono::milliseconds(50);

/// The home is asked again after this time, since another host may have become
/// the home, or its share may have grown.
constexpr duration max_refusal = std::chrono::milliseconds(500);

constexpr duration max_retry_spread = std::chrono::seconds(1);

double tokens(quota_allowance const& allowance)
{
    double sum = 0;
    for (auto const& batch : allowance.m_batches)
    {
        sum += batch.m_tokens;
    }
    return sum;
}

void end_batches(quota_allowance& allowance, time_point now)
{
    std::erase_if(allowance.m_batches,
                  [&](allowance_batch const& batch)
                  {
                      if (batch.m_ends_at > now)
                      {
                          return false;
                      }
                      allowance.m_unused += batch.m_tokens;
                      return true;
                  });
}

double demand(quota_allowance const& allowance, time_point now)
{
    seconds_f const elapsed =
        std::max(duration::zero(), now - allowance.m_demand_at);
    return allowance.m_demand * std::exp(-elapsed / demand_span);
}

bool is_waiting_for_answer(quota_allowance const& allowance, time_point now)
{
    return allowance.m_asked_at && now < *allowance.m_asked_at + answer_timeout;
}

/// Whether the home counts tokens as outstanding that this host does not have
/// any more. They leave no room in the bucket of a customer with a small burst.
bool has_report(quota_allowance const& allowance)
{
    return allowance.m_unused >= 1 ||
           (allowance.m_used >= 1 && allowance.m_batches.empty());
}

/// Tokens below which the home is asked. 0 for a demand whose tokens would
/// mostly end unused.
double low_water(quota_allowance const& allowance, time_point now)
{
    return std::min(std::floor(demand(allowance, now) * low_water_span.count()),
                    allowance.m_max_batch / 2);
}

} // namespace

void record_demand(quota_allowance& allowance, time_point now)
{
    allowance.m_demand = demand(allowance, now) + 1 / demand_span.count();
    allowance.m_demand_at = now;
}

quota_decision take(quota_allowance& allowance, time_point now)
{
    end_batches(allowance, now);
    // The batches are in the order in which they end.
    if (!allowance.m_batches.empty())
    {
        auto& first = allowance.m_batches.front();
        first.m_tokens -= 1;
        allowance.m_used += 1;
        if (first.m_tokens < 1)
        {
            allowance.m_batches.erase(allowance.m_batches.begin());
        }
        return quota_decision::admitted;
    }
    return now < allowance.m_refused_until ? quota_decision::refused
                                           : quota_decision::wait;
}

void put_back(quota_allowance& allowance, time_point now)
{
    end_batches(allowance, now);
    if (allowance.m_used >= 1)
    {
        allowance.m_used -= 1;
    }
    // A queue that is refused at once may return more than the burst, which the
    // home limits.
    if (allowance.m_last_end <= now ||
        tokens(allowance) >= std::max(min_batch, allowance.m_last_grant))
    {
        allowance.m_unused += 1;
        return;
    }
    if (allowance.m_batches.empty())
    {
        allowance.m_batches.push_back({0, allowance.m_last_end});
    }
    allowance.m_batches.back().m_tokens += 1;
}

duration retry_delay(quota_allowance& allowance, double rate, time_point now)
{
    auto const first = std::max(now, allowance.m_next_token_at);
    auto const retry =
        std::clamp(allowance.m_next_retry, first, first + max_retry_spread);
    allowance.m_next_retry =
        retry + std::chrono::ceil<duration>(seconds_f(1 / rate));
    return retry - now;
}

bool is_question_due(quota_allowance& allowance, std::size_t waiting,
                     time_point now)
{
    end_batches(allowance, now);
    if (is_waiting_for_answer(allowance, now))
    {
        return false;
    }
    if (has_report(allowance))
    {
        return true;
    }
    return now >= allowance.m_refused_until &&
           (waiting > 0 || tokens(allowance) < low_water(allowance, now));
}

double max_batch(quota_limits const& limits, quota_margin const& margin)
{
    return std::max(min_batch,
                    std::min(quota_rate(limits, margin) * batch_span.count(),
                             batch_share * (quota_capacity(limits, margin) +
                                            quota_transit(limits, margin))));
}

quota_need make_question(quota_allowance& allowance, std::size_t waiting,
                         time_point now)
{
    end_batches(allowance, now);
    quota_need need;
    need.m_used = std::exchange(allowance.m_used, 0);
    need.m_unused = std::exchange(allowance.m_unused, 0);
    auto const held = tokens(allowance);
    bool const needs_tokens = now >= allowance.m_refused_until &&
                              (waiting > 0 || held < low_water(allowance, now));
    if (needs_tokens)
    {
        auto const expected =
            std::ceil(demand(allowance, now) * batch_span.count());
        auto const batch =
            std::max(min_batch, std::min(expected, allowance.m_max_batch));
        need.m_wanted =
            std::max(0.0, std::max(batch, static_cast<double>(waiting)) - held);
        allowance.m_asked_at = now;
    }
    return need;
}

void on_grant(quota_allowance& allowance, time_point asked_at, double tokens,
              duration next_token, time_point now)
{
    if (allowance.m_asked_at && *allowance.m_asked_at <= asked_at)
    {
        allowance.m_asked_at.reset();
        allowance.m_next_token_at = now + next_token;
        allowance.m_refused_until = now + std::min(next_token, max_refusal);
    }
    auto const whole = std::floor(tokens);
    if (whole < 1)
    {
        return;
    }
    auto const end = asked_at + quota_allowance_lifetime;
    if (end <= now)
    {
        allowance.m_unused += whole;
        return;
    }
    allowance.m_last_grant = whole;
    allowance.m_last_end = std::max(allowance.m_last_end, end);
    auto const next = std::find_if(
        allowance.m_batches.begin(), allowance.m_batches.end(),
        [&](allowance_batch const& batch) { return batch.m_ends_at > end; });
    allowance.m_batches.insert(next, {whole, end});
}

std::optional<time_point> next_check(quota_allowance const& allowance,
                                     std::size_t waiting)
{
    std::optional<time_point> next;
    auto const add = [&](time_point time)
    {
        next = next ? std::min(*next, time) : time;
    };
    if (!allowance.m_batches.empty())
    {
        add(allowance.m_batches.front().m_ends_at);
    }
    if (waiting > 0 || has_report(allowance))
    {
        add(std::max(allowance.m_refused_until,
                     allowance.m_asked_at
                         ? *allowance.m_asked_at + answer_timeout
                         : time_point{}));
    }
    return next;
}

} // namespace hawthornspur::core
