#include "core/token_bucket.hpp"

#include <algorithm>
#include <cassert>

namespace hawthornspur::core
{

token_bucket make_token_bucket(double tokens_per_second, double capacity,
                               time_point now)
{
    assert(tokens_per_second >= 0 && capacity >= 0);
    return {.m_tokens_per_second = tokens_per_second,
            .m_capacity = capacity,
            .m_tokens = 0,
            .m_updated_at = now};
}

void set_rate(token_bucket& bucket, double tokens_per_second, double capacity,
              time_point now)
{
    assert(tokens_per_second >= 0 && capacity >= 0);
    bucket.m_tokens = std::min(capacity, tokens(bucket, now));
    bucket.m_updated_at = std::max(bucket.m_updated_at, now);
    bucket.m_tokens_per_second = tokens_per_second;
    bucket.m_capacity = capacity;
}

double tokens(token_bucket const& bucket, time_point now)
{
    std::chrono::duration<double> const elapsed =
        std::max(duration::zero(), now - bucket.m_updated_at);
    return std::min(bucket.m_capacity,
                    bucket.m_tokens +
                        elapsed.count() * bucket.m_tokens_per_second);
}

bool try_take(token_bucket& bucket, double tokens, time_point now)
{
    assert(tokens >= 0);
    bucket.m_tokens = core::tokens(bucket, now);
    bucket.m_updated_at = std::max(bucket.m_updated_at, now);
    if (bucket.m_tokens < tokens)
    {
        return false;
    }
    bucket.m_tokens -= tokens;
    return true;
}

} // namespace hawthornspur::core
