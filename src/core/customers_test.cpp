#include "core/customers.hpp"

#include <doctest/doctest.h>

#include <string>

namespace hawthornspur::core
{

namespace
{

std::vector<customer_config> two_customers()
{
    return {{"harbour", {"key-a", "key-b"}, 1, 10, 5},
            {"market", {"key-c"}, 2, 0, 0}};
}

} // namespace

// Guards against a request that runs in the name of another customer, or with
// a part of a key.
TEST_CASE("a key is found only as a whole and for its own customer")
{
    auto const table = make_customer_table(two_customers());
    REQUIRE(find_customer_by_key(*table, "key-b") != nullptr);
    CHECK(find_customer_by_key(*table, "key-b")->m_name == "harbour");
    CHECK(find_customer_by_key(*table, "key-c")->m_name == "market");
    for (auto const* key : {"", "key", "key-", "key-aa", "KEY-A", "key-d"})
    {
        CAPTURE(key);
        CHECK(find_customer_by_key(*table, key) == nullptr);
    }
    CHECK(find_customer(*table, "market")->m_priority == 2);
    CHECK(find_customer(*table, "nobody") == nullptr);
}

// Guards against requests without a key that run in the name of a customer
// whose list has an empty one.
TEST_CASE("an empty key belongs to no customer")
{
    std::vector<customer_config> const list{{"harbour", {"", ""}, 1, 0, 0}};
    CHECK(find_repeated_keys(list).empty());
    CHECK(find_customer_by_key(*make_customer_table(list), "") == nullptr);
}

// Guards against a key that is used, or refused for good, although the document
// does not tell who holds it.
TEST_CASE("an undecided key is neither held nor unknown")
{
    auto const table = make_customer_table(two_customers(), {{"key-b"}, false});
    CHECK(is_undecided(*table, "key-b"));
    CHECK(find_customer_by_key(*table, "key-b") == nullptr);
    CHECK(!is_undecided(*table, "key-a"));
    CHECK(!is_undecided(*table, "key-x"));

    auto const open = make_customer_table(two_customers(), {{}, true});
    CHECK(is_undecided(*open, "key-x"));
    CHECK(!is_undecided(*open, "key-a"));
    CHECK(find_customer_by_key(*open, "key-a") != nullptr);
    // A request without a key needs one, whatever the others are.
    CHECK(!is_undecided(*open, ""));
    CHECK(is_undecided(*make_customer_table({}, {{}, true}), ""));
    CHECK(!is_undecided(*make_customer_table({}), ""));
}

// Guards against a document in which the holder of a key depends on the order
// of its customers.
TEST_CASE("repeated keys are found within a customer and across customers")
{
    auto list = two_customers();
    CHECK(find_repeated_keys(list).empty());
    list[1].m_access_keys = {"key-b", "key-d", "key-d"};
    auto const repeated = find_repeated_keys(list);
    REQUIRE(repeated.size() == 2);
    CHECK(repeated[0].m_first_customer == 0);
    CHECK(repeated[0].m_first_key == 1);
    CHECK(repeated[1].m_customer == 1);
    CHECK(repeated[1].m_key == 2);
    CHECK(find_customer_by_key(*make_customer_table(list), "key-b")->m_name ==
          "harbour");
}

} // namespace hawthornspur::core
