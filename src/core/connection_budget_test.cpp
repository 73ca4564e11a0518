#include "core/connection_budget.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>

namespace hawthornspur::core
{

// Guards against an owner that its callers leave without descriptors: their
// connections grow by 450 a second, and its targets are replaced meanwhile.
TEST_CASE("growing numbers of callers leave descriptors for everything else")
{
    constexpr std::size_t limit = 8192;
    constexpr std::size_t files = 200;
    constexpr std::size_t links = 120;
    std::size_t callers = 0;
    for (std::size_t second = 0; second < 120; ++second)
    {
        auto const targets = 300 + 40 * std::min<std::size_t>(second, 60);
        // Accepted within an iteration of the event loop that is a second late.
        callers += 450;
        CHECK(callers + targets + links + files < limit);
        callers =
            std::min(callers, max_caller_connections({limit, targets, links}));
    }
    CHECK(callers > limit / 4);
}

TEST_CASE("callers keep a part of the descriptors and never take all")
{
    CHECK(rc::check(
        []
        {
            auto const limit = *rc::gen::inRange<std::size_t>(1, 2'000'000);
            auto const targets = *rc::gen::inRange<std::size_t>(0, limit * 2);
            auto const links = *rc::gen::inRange<std::size_t>(0, limit * 2);
            auto const callers =
                max_caller_connections({limit, targets, links});
            RC_ASSERT(callers >= 1);
            RC_ASSERT(callers >= limit / 8);
            RC_ASSERT(limit < 4 || callers <= limit - limit / 4);
            RC_ASSERT(max_caller_connections({limit, targets + 1, links}) <=
                      callers);
        }));
}

} // namespace hawthornspur::core
