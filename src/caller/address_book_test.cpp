#include "caller/address_book.hpp"

#include <doctest/doctest.h>

namespace hawthornspur::calling
{

namespace
{

using namespace std::chrono_literals;

std::string const session = "entry-1.00000000000000aa.7.00000000000000bb";

address_answer make_answer()
{
    return {10s,
            {{"entry-1", "127.0.0.1", 1}, {"entry-2", "127.0.0.1", 2}},
            session};
}

constexpr core::time_point start{};

} // namespace

// Guards against crashes on malformed address answers and against their use.
TEST_CASE("malformed address answers are rejected as a whole")
{
    std::string const good =
        R"({"service":"map","zone":"a","lifetime_ms":10000,"addresses":[)"
        R"({"host":"entry-1","zone":"a","address":"127.0.0.1","port":8080}],)"
        R"("session":")" +
        session + "\"}";
    auto const read = parse_address_answer(good);
    REQUIRE(has_value(read));
    CHECK(value(read).m_lifetime == 10s);
    CHECK(value(read).m_addresses.at(0).m_port == 8080);
    CHECK(value(read).m_session == session);
    for (
        auto const* bad :
        {"", "[]", "{}", R"({"addresses":[]})",
         R"({"lifetime_ms":1,"addresses":[{"host":"a","address":"b"}]})",
         R"({"lifetime_ms":1,"addresses":[{"host":"a","address":"b","port":0}]})",
         R"({"lifetime_ms":1,"addresses":[{"host":"a","address":"b","port":70000}]})",
         R"({"lifetime_ms":-1,"addresses":[{"host":"a","address":"b","port":1}]})",
         R"({"lifetime_ms":1,"addresses":[{"host":"a","address":"b","port":1}],"session":"x"})"})
    {
        CAPTURE(bad);
        CHECK_FALSE(has_value(parse_address_answer(bad)));
    }
}

// Guards against calls that are still sent first to an unreachable host.
TEST_CASE("unreachable hosts are tried last for a limited time")
{
    address_book book;
    update(book, make_answer(), start);
    CHECK(choose_address(book, {}, start)->m_host == "entry-1");
    CHECK(choose_address(book, {"entry-1"}, start)->m_host == "entry-2");
    CHECK(choose_address(book, {"entry-1", "entry-2"}, start) == nullptr);
    mark_unreachable(book, "entry-1", start);
    CHECK(choose_address(book, {}, start)->m_host == "entry-2");
    CHECK(choose_address(book, {"entry-2"}, start)->m_host == "entry-1");
    CHECK(choose_address(book, {}, start + 1h)->m_host == "entry-1");
}

// Guards against one slow target that makes its entry host count as
// unreachable.
TEST_CASE("only consecutive timeouts mark a host as unreachable")
{
    address_book book;
    update(book, make_answer(), start);
    record_silent_attempt(book, "entry-1", start);
    record_silent_attempt(book, "entry-1", start);
    clear_failures(book, "entry-1");
    record_silent_attempt(book, "entry-1", start);
    CHECK(choose_address(book, {}, start)->m_host == "entry-1");
    record_silent_attempt(book, "entry-1", start);
    record_silent_attempt(book, "entry-1", start);
    CHECK(choose_address(book, {}, start)->m_host == "entry-2");
}

// Guards against two requests with the same key, and against keys of a home
// that was marked as unreachable.
TEST_CASE("keys are numbered within a session and end with it")
{
    address_book book;
    CHECK(needs_refresh(book, start));
    update(book, make_answer(), start);
    CHECK_FALSE(needs_refresh(book, start + 7s));
    CHECK(needs_refresh(book, start + 9s));
    CHECK(make_key(book) == session + ".0");
    CHECK(make_key(book) == session + ".1");
    // An answer with the same session does not restart the numbers.
    update(book, make_answer(), start);
    CHECK(make_key(book) == session + ".2");
    mark_unreachable(book, "entry-2", start);
    CHECK(make_key(book) == session + ".3");
    mark_unreachable(book, "entry-1", start);
    CHECK(make_key(book).empty());
    CHECK(needs_refresh(book, start));
}

} // namespace hawthornspur::calling
