#include "core/pool_returns.hpp"

#include <algorithm>

namespace hawthornspur::core
{

namespace
{

// After a quiet time few starts are measured. At least this share of what the
// usable slots allow is then assumed.
constexpr double min_share_of_slots = 0.5;

rank_counters& counters_of(pool& pool, arrival const& request)
{
    auto const last = static_cast<int>(customer_priority_count) - 1;
    return pool.m_rank_counters[static_cast<std::size_t>(
        std::clamp(request.m_customer_priority, 0, last))];
}

/// Starts per second that the usable slots allow; 0 while the service time is
/// not known.
double starts_allowed_by_slots(pool const& pool, time_point now)
{
    auto const mean = pool.m_service_time.m_mean_seconds;
    return mean > 0 ? count_slots(pool, now).m_effective / mean : 0;
}

} // namespace

duration retry_after_delay(pool const& pool, kind_id kind, time_point now)
{
    if (kind.m_value >= pool.m_kinds.size())
    {
        return min_retry_after;
    }
    return std::clamp(expected_wait(pool, pool.m_kinds[kind.m_value], now),
                      min_retry_after, max_retry_after);
}

duration retry_after_delay(pool& pool, arrival const& request, time_point now)
{
    if (!request.m_customer || !pool.m_is_shared_by_customer ||
        request.m_kind.m_value >= pool.m_kinds.size())
    {
        return retry_after_delay(pool, request.m_kind, now);
    }
    auto const wait = expected_wait(pool, request, now);
    if (wait == duration::max())
    {
        return max_retry_after;
    }
    auto const remaining = request.m_deadline - now;
    auto const usual_time =
        median(pool.m_kinds[request.m_kind.m_value].m_service_time);
    return_request wanted;
    wanted.m_rank = request.m_customer_priority;
    wanted.m_wait = wait;
    wanted.m_max_delay = remaining - usual_time;
    wanted.m_min_starts_per_second =
        min_share_of_slots * starts_allowed_by_slots(pool, now);
    wanted.m_is_promised = request.m_earlier_attempts == 0;
    return find_return(pool.m_returns, wanted, now);
}

void record_return(pool& pool, arrival const& request, time_point now)
{
    if (request.m_customer && request.m_earlier_attempts > 0)
    {
        record_return(pool.m_returns, now);
    }
}

void count_start(pool& pool, arrival const& request, duration waited)
{
    if (request.m_customer)
    {
        auto& counters = counters_of(pool, request);
        ++counters.m_starts;
        counters.m_waited += waited;
    }
}

void count_refusal(pool& pool, arrival const& request, result_code code)
{
    if (request.m_customer)
    {
        ++counters_of(pool, request).m_refusals[code];
    }
}

sharing_counters read_sharing_counters(pool const& pool)
{
    return {pool.m_rank_counters, pool.m_returns.m_promised,
            pool.m_returns.m_kept};
}

} // namespace hawthornspur::core
