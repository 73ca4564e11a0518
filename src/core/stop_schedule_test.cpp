#include "core/stop_schedule.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

namespace hawthornspur::core
{

// Guards against a stop that accepts a request and then cuts it, or cuts
// earlier requests while users still count them as lost.
TEST_CASE("a planned stop cuts no call that it has accepted")
{
    using std::chrono::milliseconds;
    CHECK(rc::check(
        []
        {
            auto const gen_time = [](int longest)
            {
                return milliseconds(*rc::gen::inRange(0, longest));
            };
            stop_limits const limits{gen_time(120'000), gen_time(60'000),
                                     gen_time(20'000)};
            auto const start = time_point(std::chrono::hours(1));
            auto const schedule = make_stop_schedule(limits, start);
            RC_ASSERT(schedule.m_cut <= start + limits.m_stop_bound);
            RC_ASSERT(schedule.m_cut <= start + *limits.m_kill_delay);
            RC_ASSERT(schedule.m_address_answers_expire <= schedule.m_cut);
            if (limits.m_stop_bound >= *limits.m_kill_delay)
            {
                RC_ASSERT(6 * (schedule.m_cut - start) >=
                          5 * *limits.m_kill_delay);
            }
            auto const arrival = start + gen_time(60'000);
            auto const deadline = arrival + gen_time(100'000);
            // A call that waits for another host ends a little later.
            auto const end = deadline + milliseconds(100);
            RC_ASSERT(is_accepted(schedule, arrival, deadline) ==
                      (end <= schedule.m_cut));
            RC_ASSERT(is_accepted(schedule, start - milliseconds(1), deadline));
        }));
}

} // namespace hawthornspur::core
