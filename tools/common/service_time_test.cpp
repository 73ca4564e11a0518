#include "common/service_time.hpp"

#include <doctest/doctest.h>

namespace hawthornspur::tools
{

// Guards against a path that gets the times of another kind.
TEST_CASE("the longest prefix decides")
{
    std::vector<service_time> rows(2);
    rows[0].m_prefix = "/";
    rows[1].m_prefix = "/tally";
    CHECK(find_row(rows, "/tally/1") == &rows[1]);
    CHECK(find_row(rows, "/map") == rows.data());
    CHECK(find_row({}, "/map") == nullptr);
}

// Guards against a distribution with another median or without its tail.
TEST_CASE("service times have the median and the tail that were asked for")
{
    service_time row;
    row.m_median = std::chrono::milliseconds(10);
    row.m_sigma = 0.3;
    row.m_tail_probability = 0.01;
    row.m_tail_factor = 50;
    std::mt19937_64 random(1);
    int below = 0;
    int tail = 0;
    constexpr int draws = 100000;
    for (int i = 0; i < draws; ++i)
    {
        auto const time = draw(row, random);
        below += time < row.m_median ? 1 : 0;
        tail += time > 10 * row.m_median ? 1 : 0;
    }
    CHECK(below == doctest::Approx(draws * 0.5 * 0.99).epsilon(0.01));
    CHECK(tail == doctest::Approx(draws * 0.01).epsilon(0.1));
    row.m_sigma = 0;
    row.m_tail_probability = 0;
    CHECK(draw(row, random) == row.m_median);
}

} // namespace hawthornspur::tools
