#ifndef HAWTHORNSPUR_CORE_TOKEN_BUCKET_HPP
#define HAWTHORNSPUR_CORE_TOKEN_BUCKET_HPP

#include "core/time.hpp"

namespace hawthornspur::core
{

/// Rate limiter. The bucket starts empty, so that a restarted process does not
/// exceed the rate together with its predecessor.
struct token_bucket
{
    double m_tokens_per_second = 0;
    double m_capacity = 0;
    double m_tokens = 0;
    time_point m_updated_at{};
};

token_bucket make_token_bucket(double tokens_per_second, double capacity,
                               time_point now);

/// Changes the rate and the capacity. Tokens above the new capacity are lost.
void set_rate(token_bucket& bucket, double tokens_per_second, double capacity,
              time_point now);

/// Tokens that the bucket holds at this time.
double tokens(token_bucket const& bucket, time_point now);

/// Takes the tokens if the bucket holds all of them; returns whether it did. A
/// time before the last update adds no tokens.
bool try_take(token_bucket& bucket, double tokens, time_point now);

} // namespace hawthornspur::core

#endif
