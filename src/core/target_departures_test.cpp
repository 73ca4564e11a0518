#include "core/target_departures.hpp"

#include <doctest/doctest.h>

namespace hawthornspur::core
{

// Guards against a leaving target that is used again because an old entry still
// lists it, and against a new process that a late word takes out of use.
TEST_CASE("a departure holds for its process and earlier ones only")
{
    time_point const now{std::chrono::hours(1)};
    target_departures departures;
    CHECK(record_departure(departures, {"map", "t1", 7}, now));
    CHECK(!record_departure(departures, {"map", "t1", 7}, now));
    CHECK(is_departing(departures, {"map", "t1", 7}));
    CHECK(is_departing(departures, {"map", "t1", 6}));
    CHECK(!is_departing(departures, {"map", "t1", 8}));
    CHECK(!is_departing(departures, {"pay", "t1", 7}));
    CHECK(record_departure(departures, {"map", "t1", 8}, now));
    CHECK(!record_departure(departures, {"map", "t1", 7}, now));
    CHECK(is_departing(departures, {"map", "t1", 8}));
}

} // namespace hawthornspur::core
