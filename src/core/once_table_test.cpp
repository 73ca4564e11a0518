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

once_key key_of(std::uint64_t sequence, std::uint64_t epoch = 1)
{
    return {{"h1.zone-a", incarnation, epoch, 7}, sequence};
}

template <class T>
bool is(once_decision const& decision)
{
    return std::holds_alternative<T>(decision);
}

result_code refusal(once_decision const& decision)
{
    auto const* refuse = std::get_if<once_refuse>(&decision);
    return refuse == nullptr ? result_code::ok : refuse->m_code;
}

time_point at(int seconds)
{
    return time_point{} + std::chrono::seconds(seconds);
}

} // namespace

// Guards against a session that is accepted in a spelling that is not the one
// issued, and against a wrong code for a key without a session.
TEST_CASE("keys are accepted in exactly one spelling")
{
    auto const text = to_string(key_of(42));
    CHECK(text == "h1.zone-a.000000000000abcd.1.0000000000000007.42");
    auto const parsed = parse_once_key(text);
    REQUIRE(has_value(parsed));
    CHECK(value(parsed) == key_of(42));
    auto const session_text = to_string(key_of(1).m_session);
    CHECK(value(parse_session(session_text)) == key_of(1).m_session);
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
    for (auto const& each : rows)
    {
        CAPTURE(each.m_text);
        auto const outcome = parse_once_key(each.m_text);
        REQUIRE(!has_value(outcome));
        CHECK(failure(outcome).m_code == each.m_code);
    }
}

// Guards against a second run of a key in any state but released.
TEST_CASE("a key runs once and its copies join, replay or are refused")
{
    auto table = make_once_table(small_settings(), at(0));
    auto const key = key_of(1);
    CHECK(is<once_run>(begin_request(*table, key, 5, request_id{1}, at(0))));
    auto const second = begin_request(*table, key, 5, request_id{2}, at(0));
    REQUIRE(is<once_join>(second));
    CHECK(std::get<once_join>(second).m_first == request_id{1});
    CHECK(refusal(begin_request(*table, key, 6, request_id{3}, at(0))) ==
          result_code::once_key_reused);

    CHECK(release_key(*table, key) == std::vector{request_id{2}});
    CHECK(is<once_run>(begin_request(*table, key, 5, request_id{4}, at(1))));
    mark_dispatched(*table, key);
    CHECK(is<once_join>(begin_request(*table, key, 5, request_id{5}, at(1))));
    CHECK(is<once_join>(begin_request(*table, key, 5, request_id{6}, at(1))));
    remove_copy(*table, key, request_id{5});
    CHECK(finish_request(*table, key, kept_answer{201, {}, "done"},
                         result_code::ok, at(2)) == std::vector{request_id{6}});
    auto const replayed = begin_request(*table, key, 5, request_id{7}, at(60));
    REQUIRE(is<once_replay>(replayed));
    CHECK(std::get<once_replay>(replayed).m_answer.m_body == "done");
    // The request ran, so a late release must not free the key.
    CHECK(release_key(*table, key).empty());
    CHECK(
        is<once_replay>(begin_request(*table, key, 5, request_id{8}, at(60))));
}

// Guards against a copy that is told "not run" or run again after a request
// whose outcome is not known.
TEST_CASE("copies of a request without an answer get its code")
{
    auto table = make_once_table(small_settings(), at(0));
    (void)begin_request(*table, key_of(1), 5, request_id{1}, at(0));
    mark_dispatched(*table, key_of(1));
    (void)finish_request(*table, key_of(1), std::nullopt,
                         result_code::target_silent, at(1));
    CHECK(refusal(begin_request(*table, key_of(1), 5, request_id{2}, at(1))) ==
          result_code::target_silent);
    // An answer streamed without being kept.
    (void)begin_request(*table, key_of(2), 5, request_id{3}, at(1));
    (void)finish_request(*table, key_of(2), std::nullopt, result_code::ok,
                         at(1));
    CHECK(refusal(begin_request(*table, key_of(2), 5, request_id{4}, at(1))) ==
          result_code::answer_not_kept);
}

// Guards against a table or kept answers that grow without bound, and against
// eviction of a key that may still be used.
TEST_CASE("a full table refuses new keys and forgets none early")
{
    auto table = make_once_table(small_settings(), at(0));
    kept_answer const large{200, {}, std::string(600, 'x')};
    for (std::uint64_t i = 1; i <= 3; ++i)
    {
        CHECK(is<once_run>(
            begin_request(*table, key_of(i), 5, request_id{i}, at(0))));
        (void)finish_request(*table, key_of(i), large, result_code::ok, at(0));
        CHECK(kept_bytes(*table) <= small_settings().m_max_kept_bytes);
    }
    CHECK(refusal(begin_request(*table, key_of(4), 5, request_id{4},
                                at(119))) == result_code::once_table_full);
    CHECK(is<once_replay>(
        begin_request(*table, key_of(1), 5, request_id{5}, at(119))));
    CHECK(refusal(begin_request(*table, key_of(3), 5, request_id{6},
                                at(119))) == result_code::answer_not_kept);
    // The second epoch after that of the keys: they are expired and leave room.
    CHECK(refusal(begin_request(*table, key_of(1), 5, request_id{7},
                                at(120))) == result_code::once_key_expired);
    CHECK(is<once_run>(
        begin_request(*table, key_of(9, 3), 5, request_id{8}, at(120))));
    CHECK(size(*table) == 1);
    CHECK(kept_bytes(*table) == 0);
}

// Guards against keys of another process, of an epoch that was never issued or
// of one that is over.
TEST_CASE("keys that are not of this incarnation and time are refused")
{
    auto table = make_once_table(small_settings(), at(0));
    auto other_incarnation = key_of(1);
    other_incarnation.m_session.m_incarnation = 1;
    CHECK(refusal(begin_request(*table, other_incarnation, 5, request_id{1},
                                at(0))) ==
          result_code::once_key_other_incarnation);
    auto other_home = key_of(1);
    other_home.m_session.m_home = "h2";
    CHECK(refusal(begin_request(*table, other_home, 5, request_id{1}, at(0))) ==
          result_code::once_key_other_incarnation);
    CHECK(refusal(begin_request(*table, key_of(1, 2), 5, request_id{1},
                                at(59))) == result_code::once_key_malformed);
    CHECK(is<once_run>(
        begin_request(*table, key_of(1, 1), 5, request_id{1}, at(119))));
    // Still running when its epoch ends: kept, and copies are refused.
    remove_expired_keys(*table, at(200));
    CHECK(size(*table) == 1);
    CHECK(refusal(begin_request(*table, key_of(1, 1), 5, request_id{2},
                                at(200))) == result_code::once_key_expired);
    (void)finish_request(*table, key_of(1, 1), kept_answer{}, result_code::ok,
                         at(201));
    CHECK(size(*table) == 0);
}

// Guards against an epoch that goes back when the configuration changes the
// key lifetime, which would accept given-up keys again.
TEST_CASE("a new key lifetime never turns the epoch back")
{
    auto table = make_once_table(small_settings(), at(0));
    CHECK(current_epoch(*table, at(179)) == 3);
    set_key_lifetime(*table, std::chrono::seconds(600), at(179));
    CHECK(current_epoch(*table, at(179)) == 3);
    CHECK(current_epoch(*table, at(778)) == 3);
    set_key_lifetime(*table, std::chrono::seconds(1), at(778));
    CHECK(current_epoch(*table, at(778)) == 3);
    CHECK(current_epoch(*table, at(779)) == 4);
}

} // namespace hawthornspur::core
