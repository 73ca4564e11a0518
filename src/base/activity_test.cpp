#include "base/activity.hpp"

#include <doctest/doctest.h>

#include <string>
#include <thread>

namespace hawthornspur::diagnostics
{

// Guards against a late event loop whose cause is not named.
TEST_CASE("the longest activity and the longest one within it are kept")
{
    take_longest_activities();
    {
        activity_scope const outer("outer", 7);
        {
            activity_scope const inner("inner");
            std::this_thread::sleep_for(std::chrono::milliseconds(2));
        }
        activity_scope const shorter("shorter");
    }
    {
        activity_scope const next("next");
    }
    auto const longest = take_longest_activities();
    CHECK(longest.m_outer.m_activity.m_name == std::string("outer"));
    CHECK(longest.m_outer.m_activity.m_id == 7);
    CHECK(longest.m_inner.m_activity.m_name == std::string("inner"));
    CHECK(longest.m_outer.m_time >= longest.m_inner.m_time);
    CHECK(longest.m_inner.m_time >= std::chrono::milliseconds(2));
    // Taken once.
    CHECK(take_longest_activities().m_outer.m_activity.m_name == nullptr);
}

} // namespace hawthornspur::diagnostics
