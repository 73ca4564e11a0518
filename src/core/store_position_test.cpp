#include "core/store_position.hpp"

#include <doctest/doctest.h>

namespace hawthornspur::core
{

// Guards against revisions that are compared although the store has given them
// out again, and against a new state that is discarded as old.
TEST_CASE("reads are ordered by epoch before revision")
{
    store_position const known{2, 50};
    CHECK(compare_read(known, 2, 50, false) == read_order::current);
    CHECK(compare_read(known, 2, 51, true) == read_order::current);
    CHECK(compare_read(known, 2, 49, true) == read_order::outdated);
    CHECK(compare_read(known, 1, 99, true) == read_order::outdated);
    CHECK(compare_read(known, 1, 99, false) == read_order::outdated);
    CHECK(compare_read(known, 3, 40, true) == read_order::restored);
    CHECK(compare_read(known, 3, 99, false) == read_order::restored);
}

TEST_CASE("the first read and the first one of an epoch are current")
{
    CHECK(compare_read({}, 4, 7, true) == read_order::current);
    CHECK(compare_read({4, {}}, 4, 7, true) == read_order::current);
    CHECK(compare_read({4, {}}, 3, 9, true) == read_order::outdated);
}

// Guards against a store without epochs that loses changes unnoticed.
TEST_CASE("a store without epochs went back if its latest revision did")
{
    store_position const known{0, 50};
    CHECK(compare_read(known, 0, 49, false) == read_order::restored);
    CHECK(compare_read(known, 0, 49, true) == read_order::outdated);
    CHECK(compare_read(known, 0, 50, false) == read_order::current);
}

} // namespace hawthornspur::core
