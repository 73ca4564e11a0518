#include "core/crash_suspects.hpp"

#include <doctest/doctest.h>

#include <cstdint>
#include <vector>

namespace hawthornspur::core
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr content_id deadly{1};
constexpr content_id harmless{2};

struct fixture
{
    crash_suspects m_suspects;
    time_point m_now{std::chrono::hours(1)};
    std::uint64_t m_next_target = 1;
};

/// One target ends; each of the requests that it ran has the same weight.
void end_target(fixture& test, std::vector<content_id> const& contents)
{
    auto const target = test.m_next_target++;
    for (auto const content : contents)
    {
        record_crash(
            test.m_suspects, content,
            {target, test.m_now, 1 / static_cast<double>(contents.size())},
            test.m_now);
    }
}

bool is_refused(fixture& test, content_id content)
{
    return judge_request(test.m_suspects, content, {}, test.m_now).m_is_refused;
}

} // namespace

// Guards against refusing requests that were lost with a target by chance.
TEST_CASE("one target that ends accuses none of its requests alone")
{
    fixture test;
    end_target(test, {harmless});
    CHECK_FALSE(is_refused(test, harmless));
    CHECK(judge_request(test.m_suspects, harmless, {}, test.m_now)
              .m_target_ends == 1);
}

TEST_CASE("a request that ends two targets without neighbours is refused")
{
    fixture test;
    end_target(test, {deadly});
    end_target(test, {deadly, harmless});
    CHECK(is_refused(test, deadly));
    CHECK_FALSE(is_refused(test, harmless));
}

// Guards against copies that end further targets while the first ends are being
// confirmed.
TEST_CASE("unconfirmed ends refuse a request until they are confirmed")
{
    fixture test;
    CHECK_FALSE(judge_request(test.m_suspects, deadly, {1, 1}, test.m_now)
                    .m_is_refused);
    auto const verdict =
        judge_request(test.m_suspects, deadly, {2, 1}, test.m_now);
    CHECK(verdict.m_is_refused);
    CHECK(verdict.m_retry_after < seconds(1));
    end_target(test, {deadly});
    CHECK(judge_request(test.m_suspects, deadly, {1, 0.5}, test.m_now)
              .m_is_refused);
    CHECK_FALSE(is_refused(test, deadly));
}

// Guards against a deadly request that hides among others at full targets.
TEST_CASE("a request that ends three full targets is refused")
{
    fixture test;
    for (std::uint64_t i = 0; i < 3; ++i)
    {
        CHECK_FALSE(is_refused(test, deadly));
        end_target(test, {deadly,
                          {10 + 5 * i},
                          {11 + 5 * i},
                          {12 + 5 * i},
                          {13 + 5 * i},
                          {14 + 5 * i}});
    }
    CHECK(is_refused(test, deadly));
    CHECK_FALSE(is_refused(test, {10}));
}

TEST_CASE("an end that several hosts report counts once, with the least weight")
{
    fixture test;
    end_target(test, {deadly});
    record_crash(test.m_suspects, deadly, {7, test.m_now, 1}, test.m_now);
    REQUIRE(is_refused(test, deadly));
    auto const later = test.m_now + milliseconds(80);
    CHECK(record_crash(test.m_suspects, deadly, {7, later, 0.25}, later) ==
          record_change::changed);
    CHECK(record_crash(test.m_suspects, deadly, {7, later, 0.5}, later) ==
          record_change::none);
    CHECK(judge_request(test.m_suspects, deadly, {}, later).m_target_ends == 2);
    CHECK(is_refused(test, deadly));
    CHECK(test.m_suspects.m_records.at(deadly).m_reports.back().m_weight ==
          0.25);
}

// Guards against a host that keeps to itself that it answers the content.
TEST_CASE("reports of content that is answered here are contradicted")
{
    fixture test;
    record_answer(test.m_suspects, harmless, test.m_now);
    test.m_now += seconds(1);
    CHECK(record_crash(test.m_suspects, harmless, {7, test.m_now, 1},
                       test.m_now) == record_change::contradicted);
    auto const& record = test.m_suspects.m_records.at(harmless);
    CHECK(record.m_last_answer == test.m_now - seconds(1));
    fixture other;
    end_target(other, {harmless});
    other.m_next_target = 50;
    end_target(other, {harmless});
    REQUIRE(is_refused(other, harmless));
    other.m_now = test.m_now;
    CHECK(merge_record(other.m_suspects, harmless, record, other.m_now) ==
          record_change::changed);
    CHECK_FALSE(is_refused(other, harmless));
}

TEST_CASE("an answer clears a content, and late reports do not accuse it")
{
    fixture test;
    end_target(test, {harmless});
    end_target(test, {harmless});
    REQUIRE(is_refused(test, harmless));
    test.m_now += milliseconds(10);
    CHECK(record_answer(test.m_suspects, harmless, test.m_now));
    CHECK_FALSE(is_refused(test, harmless));
    record_crash(test.m_suspects, harmless,
                 {99, test.m_now - milliseconds(5), 1}, test.m_now);
    CHECK_FALSE(is_refused(test, harmless));
}

// Guards against blocking the most frequent request when a rack is lost.
TEST_CASE("content that is answered all the time is not suspected")
{
    fixture test;
    record_answer(test.m_suspects, harmless, test.m_now);
    test.m_now += seconds(1);
    for (int i = 0; i < 5; ++i)
    {
        end_target(test, {harmless});
    }
    CHECK_FALSE(is_refused(test, harmless));
}

TEST_CASE("a suspicion ends with one trial, and is renewed by another end")
{
    fixture test;
    for (int i = 0; i < 3; ++i)
    {
        end_target(test, {deadly});
    }
    auto verdict = judge_request(test.m_suspects, deadly, {}, test.m_now);
    REQUIRE(verdict.m_is_refused);
    test.m_now += verdict.m_retry_after;
    verdict = judge_request(test.m_suspects, deadly, {}, test.m_now);
    CHECK(verdict.m_is_trial);
    CHECK(verdict.m_target_ends == 3);
    CHECK(is_refused(test, deadly));
    end_target(test, {deadly});
    CHECK(
        judge_request(test.m_suspects, deadly, {}, test.m_now).m_retry_after ==
        minutes(2));
    test.m_now += minutes(40);
    CHECK_FALSE(is_refused(test, deadly));
    remove_expired_records(test.m_suspects, test.m_now);
    CHECK(test.m_suspects.m_records.empty());
}

// Guards against hosts that each need three ends of their own.
TEST_CASE("reports of several hosts add up, in any order and repeated")
{
    fixture a;
    fixture b;
    end_target(a, {deadly, harmless, {3}});
    b.m_next_target = 100;
    end_target(b, {deadly, {4}, {5}});
    end_target(b, {deadly, {6}, {7}});
    auto const from_b = b.m_suspects.m_records.at(deadly);
    CHECK(merge_record(a.m_suspects, deadly, from_b, a.m_now) ==
          record_change::changed);
    CHECK(merge_record(a.m_suspects, deadly, from_b, a.m_now) ==
          record_change::none);
    CHECK(is_refused(a, deadly));
    CHECK(merge_record(b.m_suspects, deadly, a.m_suspects.m_records.at(deadly),
                       b.m_now));
    CHECK(is_refused(b, deadly));
    CHECK_FALSE(is_refused(a, harmless));
}

TEST_CASE("an answer at another host clears a content here")
{
    fixture a;
    fixture b;
    end_target(a, {harmless});
    end_target(a, {harmless});
    merge_record(b.m_suspects, harmless, a.m_suspects.m_records.at(harmless),
                 b.m_now);
    REQUIRE(is_refused(b, harmless));
    a.m_now += milliseconds(1);
    record_answer(a.m_suspects, harmless, a.m_now);
    b.m_now = a.m_now;
    CHECK(merge_record(b.m_suspects, harmless,
                       a.m_suspects.m_records.at(harmless),
                       b.m_now) == record_change::changed);
    CHECK_FALSE(is_refused(b, harmless));
}

// Guards against state that grows with the requests of a lost rack.
TEST_CASE("the number of records is bounded, and suspects stay")
{
    fixture test;
    for (int i = 0; i < 3; ++i)
    {
        end_target(test, {deadly});
    }
    for (std::uint64_t i = 0; i < 3 * max_suspect_records; ++i)
    {
        test.m_now += milliseconds(1);
        end_target(test, {{100 + i}});
    }
    CHECK(test.m_suspects.m_records.size() == max_suspect_records);
    CHECK(is_refused(test, deadly));
}

} // namespace hawthornspur::core
