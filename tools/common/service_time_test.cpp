#include "common/service_time.hpp"

#include <doctest/doctest.h>

namespace hawthornspur::tools
{

// Guards against a path that gets the service times of another request kind.
TEST_CASE("the distribution with the longest matching prefix is used")
{
    std::vector<service_time_distribution> distributions(2);
    distributions[0].m_prefix = "/";
    distributions[1].m_prefix = "/tally";
    CHECK(find_distribution(distributions, "/tally/1") == &distributions[1]);
    CHECK(find_distribution(distributions, "/map") == distributions.data());
    CHECK(find_distribution({}, "/map") == nullptr);
}

// Guards against a distribution with a wrong median or without its tail.
TEST_CASE("service times have the configured median and tail")
{
    service_time_distribution distribution;
    distribution.m_median = std::chrono::milliseconds(10);
    distribution.m_sigma = 0.3;
    distribution.m_tail_probability = 0.01;
    distribution.m_tail_factor = 50;
    std::mt19937_64 random(1);
    int below_median = 0;
    int in_tail = 0;
    constexpr int draw_count = 100000;
    for (int i = 0; i < draw_count; ++i)
    {
        auto const time = draw_service_time(distribution, random);
        below_median += time < distribution.m_median ? 1 : 0;
        in_tail += time > 10 * distribution.m_median ? 1 : 0;
    }
    CHECK(below_median ==
          doctest::Approx(draw_count * 0.5 * 0.99).epsilon(0.01));
    CHECK(in_tail == doctest::Approx(draw_count * 0.01).epsilon(0.1));
    distribution.m_sigma = 0;
    distribution.m_tail_probability = 0;
    CHECK(draw_service_time(distribution, random) == distribution.m_median);
}

} // namespace hawthornspur::tools
