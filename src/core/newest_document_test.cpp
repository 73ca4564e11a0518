#include "core/newest_document.hpp"

#include <doctest/doctest.h>

namespace hawthornspur::core
{

namespace
{

using std::chrono::seconds;

constexpr time_point start{seconds(100)};
constexpr document_position older{1, 50};
constexpr document_position newer{1, 60};

} // namespace

// Guards against a host that uses and confirms access keys although it has read
// a newer document that it could not put in force.
TEST_CASE("a host is in doubt from a version that it cannot use to the next")
{
    newest_document newest;
    CHECK(!is_in_doubt(newest));
    CHECK(!record_read_document(newest, older, true, start));
    CHECK(!is_in_doubt(newest));
    CHECK(record_read_document(newest, newer, false, start));
    CHECK(is_in_doubt(newest));
    // The same version again is no news.
    CHECK(!record_read_document(newest, newer, false, start));
    // A stale copy of the one before shows nothing.
    CHECK(!record_read_document(newest, older, true, start));
    CHECK(is_in_doubt(newest));
    CHECK(!record_read_document(newest, {1, 61}, true, start));
    CHECK(!is_in_doubt(newest));
}

// Guards against hosts that do not read the store and therefore go on, and
// against one faulty host that makes hosts doubt which know better.
TEST_CASE("the report of another host counts unless this one has read later")
{
    newest_document newest;
    record_read_document(newest, older, true, start);
    CHECK(record_reported_document(newest, newer, start));
    CHECK(is_in_doubt(newest));
    CHECK(!record_reported_document(newest, newer, start));
    // This host can read the version itself.
    record_read_document(newest, newer, true, start);
    CHECK(!is_in_doubt(newest));
    CHECK(!record_reported_document(newest, newer, start));
    CHECK(!record_reported_document(newest, older, start));
    CHECK(!is_in_doubt(newest));
}

// Guards against a host that never uses keys again because its own store is
// silent, and against a confirmation from before the doubt.
TEST_CASE("a later confirmation of another host ends the doubt")
{
    newest_document newest;
    record_read_document(newest, older, true, start);
    record_reported_document(newest, newer, start);
    record_confirmed_document(newest, start);
    CHECK(is_in_doubt(newest));
    record_confirmed_document(newest, start + seconds(1));
    CHECK(!is_in_doubt(newest));
}

// Guards against a host without the store that stays in doubt after the other
// hosts have put a later version in force.
TEST_CASE(
    "a version in force elsewhere ends the doubt once it is in force here")
{
    newest_document newest;
    record_reported_document(newest, newer, start);
    record_used_document(newest, older, 7);
    settle_doubt(newest, 7);
    CHECK(is_in_doubt(newest));
    record_used_document(newest, {1, 61}, 9);
    settle_doubt(newest, 7);
    CHECK(is_in_doubt(newest));
    settle_doubt(newest, 9);
    CHECK(!is_in_doubt(newest));
    // A third host that has not heard of the later version yet.
    CHECK(!record_reported_document(newest, newer, start));
    CHECK(!is_in_doubt(newest));
}

// Guards against doubts for good after a restore, in which a store without
// epochs gives out lower revisions.
TEST_CASE("a version that is read after a restore counts whatever its revision")
{
    newest_document newest;
    record_read_document(newest, {0, 60}, false, start);
    record_restored_store(newest);
    CHECK(is_in_doubt(newest));
    record_read_document(newest, {0, 20}, true, start);
    CHECK(!is_in_doubt(newest));

    record_read_document(newest, {0, 30}, true, start);
    record_restored_store(newest);
    CHECK(!is_in_doubt(newest));
    CHECK(record_read_document(newest, {0, 10}, false, start));
    CHECK(is_in_doubt(newest));
}

} // namespace hawthornspur::core
