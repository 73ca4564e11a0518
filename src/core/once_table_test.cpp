#include "core/once_table.hpp"

#include <doctest/doctest.h>

#include <array>

namespace hawthornspur::core
{

namespace
{

constexpr std::uint64_t incarnation = 0xabcd;

once_table_settings small_settings()
{
    once_table_settings settings;
    settings.m_home = "h1.zone-a";
    settings.m_incarnation = incarnation;
    settings.m_max_keys = 3;
    settings.m_max_kept_answer_bytes = 1000;
    settings.m_max_kept_bytes = 1500;
    return settings;
}

once_key make_key(std::uint64_t sequence, std::uint64_t epoch = 1)
{
    return {{"h1.zone-a", incarnation, epoch, 7}, sequence};
}

template <class T>
bool is(once_decision const& decision)
{
    return std::holds_alternative<T>(decision);
}

// The code of a refusal, ok for other decisions.
result_code refusal_code(once_decision const& decision)
{
    auto const* refuse = std::get_if<once_refuse>(&decision);
    return refuse == nullptr ? result_code::ok : refuse->m_code;
}

time_point at_second(int seconds)
{
    return time_point{} + std::chrono::seconds(seconds);
}

} // namespace

// Guards against sessions that are accepted in another spelling than the issued
// one, and against a wrong code for a key without a session.
TEST_CASE("keys are accepted in one spelling only")
{
    auto const text = to_string(make_key(42));
    CHECK(text == "h1.zone-a.000000000000abcd.1.0000000000000007.42");
    auto const parsed = parse_once_key(text);
    REQUIRE(has_value(parsed));
    CHECK(value(parsed) == make_key(42));
    auto const session_text = to_string(make_key(1).m_session);
    CHECK(value(parse_session(session_text)) == make_key(1).m_session);
    struct row
    {
        char const* m_text;
        result_code m_code;
    };
    auto const malformed = result_code::once_key_malformed;
    auto const rows = std::to_array<row>({
        {"17", result_code::once_session_required},
        {"", malformed},
        {"h1", malformed},
        {".000000000000abcd.1.0000000000000007.42", malformed},
        {"h1.000000000000ABCD.1.0000000000000007.42", malformed},
        {"h1.abcd.1.0000000000000007.42", malformed},
        {"h1.000000000000abcd.01.0000000000000007.42", malformed},
        {"h1.000000000000abcd.1.0000000000000007.042", malformed},
        {"h1.000000000000abcd.1.0000000000000007.-1", malformed},
        {"h1.000000000000abcd.1.0000000000000007.", malformed},
        {"h 1.000000000000abcd.1.0000000000000007.42", malformed},
        {"h1.000000000000abcd.1.0000000000000007.99999999999999999999",
         malformed},
    });
    for (auto const& entry : rows)
    {
        CAPTURE(entry.m_text);
        auto const parsed_key = parse_once_key(entry.m_text);
        REQUIRE(!has_value(parsed_key));
        CHECK(failure(parsed_key).m_code == entry.m_code);
    }
}

// Guards against a request that runs again although its key was not released.
TEST_CASE(
    "a request runs once; its copies join it, get its answer or are refused")
{
    auto table = make_once_table(small_settings(), at_second(0));
    auto const key = make_key(1);
    CHECK(is<once_run>(
        begin_request(*table, key, 5, request_id{1}, at_second(0))));
    auto const second =
        begin_request(*table, key, 5, request_id{2}, at_second(0));
    REQUIRE(is<once_join>(second));
    CHECK(std::get<once_join>(second).m_first_request == request_id{1});
    CHECK(refusal_code(
              begin_request(*table, key, 6, request_id{3}, at_second(0))) ==
          result_code::once_key_reused);

    CHECK(release_key(*table, key) == std::vector{request_id{2}});
    CHECK(is<once_run>(
        begin_request(*table, key, 5, request_id{4}, at_second(1))));
    mark_dispatched(*table, key);
    CHECK(is<once_join>(
        begin_request(*table, key, 5, request_id{5}, at_second(1))));
    CHECK(is<once_join>(
        begin_request(*table, key, 5, request_id{6}, at_second(1))));
    remove_copy(*table, key, request_id{5});
    CHECK(finish_request(*table, key, kept_answer{201, {}, "done"},
                         result_code::ok,
                         at_second(2)) == std::vector{request_id{6}});
    auto const replayed =
        begin_request(*table, key, 5, request_id{7}, at_second(60));
    REQUIRE(is<once_replay>(replayed));
    CHECK(std::get<once_replay>(replayed).m_answer.m_body == "done");
    // The request ran, so a late release must not remove the key.
    CHECK(release_key(*table, key).empty());
    CHECK(is<once_replay>(
        begin_request(*table, key, 5, request_id{8}, at_second(60))));
}

// Guards against a copy that runs, or gets a code that means "not run", after a
// request whose outcome is unknown.
TEST_CASE("copies of a request that ended without an answer get its code")
{
    auto table = make_once_table(small_settings(), at_second(0));
    (void)begin_request(*table, make_key(1), 5, request_id{1}, at_second(0));
    mark_dispatched(*table, make_key(1));
    (void)finish_request(*table, make_key(1), std::nullopt,
                         result_code::target_silent, at_second(1));
    CHECK(refusal_code(begin_request(*table, make_key(1), 5, request_id{2},
                                     at_second(1))) ==
          result_code::target_silent);
    // The answer was streamed to the caller and not kept.
    (void)begin_request(*table, make_key(2), 5, request_id{3}, at_second(1));
    (void)finish_request(*table, make_key(2), std::nullopt, result_code::ok,
                         at_second(1));
    CHECK(refusal_code(begin_request(*table, make_key(2), 5, request_id{4},
                                     at_second(1))) ==
          result_code::answer_not_kept);
}

// Guards against unbounded growth of the table and the kept answers, and
// against eviction of a key that is still accepted.
TEST_CASE("a full table refuses new keys and keeps the ones in use")
{
    auto table = make_once_table(small_settings(), at_second(0));
    kept_answer const large{200, {}, std::string(600, 'x')};
    for (std::uint64_t i = 1; i <= 3; ++i)
    {
        CHECK(is<once_run>(begin_request(*table, make_key(i), 5, request_id{i},
                                         at_second(0))));
        (void)finish_request(*table, make_key(i), large, result_code::ok,
                             at_second(0));
        CHECK(kept_bytes(*table) <= small_settings().m_max_kept_bytes);
    }
    CHECK(refusal_code(begin_request(*table, make_key(4), 5, request_id{4},
                                     at_second(119))) ==
          result_code::once_table_full);
    CHECK(is<once_replay>(
        begin_request(*table, make_key(1), 5, request_id{5}, at_second(119))));
    CHECK(refusal_code(begin_request(*table, make_key(3), 5, request_id{6},
                                     at_second(119))) ==
          result_code::answer_not_kept);
    // Two epochs later the keys have expired and make room for new ones.
    CHECK(refusal_code(begin_request(*table, make_key(1), 5, request_id{7},
                                     at_second(120))) ==
          result_code::once_key_expired);
    CHECK(is<once_run>(begin_request(*table, make_key(9, 3), 5, request_id{8},
                                     at_second(120))));
    CHECK(size(*table) == 1);
    CHECK(kept_bytes(*table) == 0);
}

// Guards against keys of another process, of a future epoch or of an expired
// one.
TEST_CASE("keys of another incarnation or epoch are refused")
{
    auto table = make_once_table(small_settings(), at_second(0));
    auto other_incarnation = make_key(1);
    other_incarnation.m_session.m_incarnation = 1;
    CHECK(refusal_code(begin_request(*table, other_incarnation, 5,
                                     request_id{1}, at_second(0))) ==
          result_code::once_key_other_incarnation);
    auto other_home = make_key(1);
    other_home.m_session.m_home = "h2";
    CHECK(refusal_code(begin_request(*table, other_home, 5, request_id{1},
                                     at_second(0))) ==
          result_code::once_key_other_incarnation);
    CHECK(refusal_code(begin_request(*table, make_key(1, 2), 5, request_id{1},
                                     at_second(59))) ==
          result_code::once_key_malformed);
    CHECK(is<once_run>(begin_request(*table, make_key(1, 1), 5, request_id{1},
                                     at_second(119))));
    // The request still runs when its key expires: the key stays in the table,
    // copies are refused.
    remove_expired_keys(*table, at_second(200));
    CHECK(size(*table) == 1);
    CHECK(refusal_code(begin_request(*table, make_key(1, 1), 5, request_id{2},
                                     at_second(200))) ==
          result_code::once_key_expired);
    (void)finish_request(*table, make_key(1, 1), kept_answer{}, result_code::ok,
                         at_second(201));
    CHECK(size(*table) == 0);
}

// Guards against an epoch that decreases when the configuration changes the key
// lifetime: expired keys would be accepted again.
TEST_CASE("a new key lifetime never decreases the epoch")
{
    auto table = make_once_table(small_settings(), at_second(0));
    CHECK(current_epoch(*table, at_second(179)) == 3);
    set_key_lifetime(*table, std::chrono::seconds(600), at_second(179));
    CHECK(current_epoch(*table, at_second(179)) == 3);
    CHECK(current_epoch(*table, at_second(778)) == 3);
    set_key_lifetime(*table, std::chrono::seconds(1), at_second(778));
    CHECK(current_epoch(*table, at_second(778)) == 3);
    CHECK(current_epoch(*table, at_second(779)) == 4);
}

} // namespace hawthornspur::core
