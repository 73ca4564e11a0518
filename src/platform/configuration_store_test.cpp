#include "platform/call_limiter.hpp"
#include "platform/configuration_store.hpp"
#include "platform/fake_platform_test.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <random>

namespace hawthornspur::platform
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A document whose two services depend on a number, so that numbers that
/// come back bring back old parts.
core::configuration make_document(int number, std::string change_id)
{
    core::configuration document;
    document.m_change_id = std::move(change_id);
    document.m_zones.push_back({"a", "r", {}, {}});
    for (int i = 0; i < 2; ++i)
    {
        core::service_config service;
        service.m_name = "service-" + std::to_string(i);
        service.m_max_queue = static_cast<std::size_t>(number / (i + 1));
        core::kind_config kind;
        kind.m_name = "read";
        kind.m_method = "GET";
        kind.m_path_prefix = "/";
        kind.m_execution = core::execution_rule::idempotent;
        service.m_kinds.push_back(std::move(kind));
        document.m_services.push_back(std::move(service));
    }
    return document;
}

/// Every head that ever took effect, with a check that its parts were there.
struct head_log
{
    std::vector<config::document_head> m_heads;
    bool m_is_broken = false;

    void watch(fake_platform& platform)
    {
        platform.m_on_write =
            [this, &platform](std::string const& key, std::string const& value)
        {
            if (key.ends_with("/head"))
            {
                m_heads.push_back(
                    std::get<config::document_head>(config::parse_head(value)));
            }
            m_is_broken = m_is_broken || (!m_heads.empty() &&
                                          !is_whole(platform, m_heads.back()));
        };
    }

    static bool is_whole(fake_platform const& platform,
                         config::document_head const& head)
    {
        return std::all_of(
            head.m_parts.begin(), head.m_parts.end(),
            [&](std::string const& hash)
            {
                auto const* part =
                    platform.newest("hawthornspur/parts/" + hash);
                return part != nullptr &&
                       config::content_hash(part->m_value) == hash;
            });
    }

    bool has(std::string const& change_id) const
    {
        return std::any_of(m_heads.begin(), m_heads.end(),
                           [&](auto const& head)
                           { return head.m_change_id == change_id; });
    }
};

struct fixture
{
    fake_platform m_platform;
    std::unique_ptr<call_limiter> m_limiter;
    std::unique_ptr<configuration_store> m_store;
    head_log m_log;

    explicit fixture(configuration_store_settings settings = {})
        : m_limiter(call_limiter::create(
              m_platform.make_calls(), m_platform.make_scheduler(),
              {.m_calls_per_second = 1000, .m_burst = 1000}, 1))
        , m_store(configuration_store::create(m_limiter->calls(), settings))
    {
        m_log.watch(m_platform);
    }

    result<apply_result> apply(core::configuration document,
                               std::uint64_t based_on)
    {
        std::optional<result<apply_result>> seen;
        m_store->apply(std::move(document), based_on,
                       [&](auto r) { seen = std::move(r); });
        m_platform.run();
        REQUIRE(seen.has_value());
        return *seen;
    }

    void must_apply(int number, std::uint64_t based_on)
    {
        auto const outcome = apply(
            make_document(number, "c" + std::to_string(based_on)), based_on);
        REQUIRE(has_value(outcome));
        REQUIRE(value(outcome).m_outcome == apply_outcome::stored);
    }

    result<loaded_configuration> load()
    {
        std::optional<result<loaded_configuration>> seen;
        m_store->load([&](auto r) { seen = std::move(r); });
        m_platform.run();
        REQUIRE(seen.has_value());
        return *seen;
    }

    /// What a new process without any cache finds.
    result<loaded_configuration> load_fresh()
    {
        m_store = configuration_store::create(m_limiter->calls(), {});
        return load();
    }
};

} // namespace

// Guards against documents that come back changed and against parts that are
// fetched again although they are known.
TEST_CASE("a stored document is loaded with only the missing parts")
{
    fixture f;
    CHECK(failure(f.load()).m_code == result_code::not_found);
    f.must_apply(10, 0);
    auto const first = f.load_fresh();
    REQUIRE(has_value(first));
    auto expected = make_document(10, "c0");
    expected.m_generation = 1;
    CHECK(config::print_document(value(first).m_document) ==
          config::print_document(expected));
    CHECK(f.m_store->counters().m_parts_fetched == 3);
    auto const other = configuration_store::create(f.m_limiter->calls(), {});
    std::optional<result<apply_result>> changed;
    // 11 / 2 is 10 / 2, so the second service keeps its part.
    other->apply(make_document(11, "c1"), 1,
                 [&](auto r) { changed = std::move(r); });
    f.m_platform.run();
    REQUIRE(has_value(*changed));
    auto const second = f.load();
    REQUIRE(has_value(second));
    CHECK(value(second).m_document.m_services[0].m_max_queue == 11);
    CHECK(f.m_store->counters().m_parts_fetched == 4);
}

// Guards against a second operator who overwrites the first without a notice.
TEST_CASE("a change that is based on an older generation is a conflict")
{
    fixture f;
    f.must_apply(10, 0);
    f.must_apply(12, 1);
    auto const late = f.apply(make_document(14, "late"), 1);
    REQUIRE(has_value(late));
    CHECK(value(late).m_outcome == apply_outcome::conflict);
    CHECK(value(late).m_generation == 2);
    REQUIRE(value(late).m_stored.has_value());
    CHECK(value(late).m_stored->m_services[0].m_max_queue == 12);
    CHECK_FALSE(f.m_log.has("late"));
    // The base of both changes is still there to compare them with.
    std::optional<result<core::configuration>> base;
    f.m_store->load_generation(1, [&](auto r) { base = std::move(r); });
    f.m_platform.run();
    REQUIRE(has_value(*base));
    CHECK(value(*base).m_services[0].m_max_queue == 10);
}

// Guards against documents that every host would refuse.
TEST_CASE("an invalid document is not stored")
{
    fixture f;
    auto document = make_document(1, "bad");
    document.m_services[1].m_name = document.m_services[0].m_name;
    auto const outcome = f.apply(document, 0);
    REQUIRE_FALSE(has_value(outcome));
    CHECK(failure(outcome).m_code == result_code::duplicate_name);
    CHECK(f.m_platform.m_calls == 0);
}

// Guards against a fault at any one call that makes `apply` say something
// untrue, leaves a head whose parts are missing, or blocks later changes.
TEST_CASE("one fault at any call of apply leaves a true answer")
{
    for (auto const kind :
         {fault::down, fault::slow, fault::stale_read, fault::answer_lost,
          fault::silent, fault::damaged_read})
    {
        for (std::uint64_t at = 0; at < 14; ++at)
        {
            CAPTURE(static_cast<int>(kind));
            CAPTURE(at);
            fixture f;
            f.must_apply(10, 0);
            f.must_apply(20, 1);
            auto const before = f.m_platform.m_calls;
            f.m_platform.m_fault = [&](std::uint64_t call, auto const&)
            {
                return call == before + at ? kind : fault::none;
            };
            auto const outcome = f.apply(make_document(30, "new"), 2);
            f.m_platform.m_fault = [](auto, auto const&)
            {
                return fault::none;
            };
            CHECK_FALSE(f.m_log.m_is_broken);
            if (has_value(outcome))
            {
                CHECK(value(outcome).m_outcome == apply_outcome::stored);
                CHECK(f.m_log.has("new"));
            }
            else
            {
                // Only a damaged head ends the command; the operator sees it.
                CHECK(kind == fault::damaged_read);
                CHECK_FALSE(f.m_log.has("new"));
            }
            auto const loaded = f.load_fresh();
            REQUIRE(has_value(loaded));
            f.must_apply(40, value(loaded).m_document.m_generation);
        }
    }
}

// Guards against a lost answer after which the change is stored twice or is
// reported as lost.
TEST_CASE("a lost answer is resolved by reading back the change id")
{
    fixture f;
    f.must_apply(10, 0);
    // The first call on the head reads it, the second one writes it.
    std::uint64_t head_calls = 0;
    f.m_platform.m_fault = [&](auto, std::string const& key)
    {
        return key.ends_with("/head") && head_calls++ == 1 ? fault::answer_lost
                                                           : fault::none;
    };
    auto const outcome = f.apply(make_document(20, "lost"), 1);
    REQUIRE(has_value(outcome));
    CHECK(value(outcome).m_outcome == apply_outcome::stored);
    CHECK(value(outcome).m_generation == 2);
    CHECK(f.m_store->counters().m_answers_resolved == 1);
    CHECK(f.m_log.m_heads.size() == 2);
}

// Guards against an operator who is told "not stored" while the write may
// still have happened.
TEST_CASE("an outage during apply says whether the change may be stored")
{
    fixture f;
    f.must_apply(10, 0);
    f.m_platform.m_fault = [](auto, auto const&)
    {
        return fault::down;
    };
    auto const early = f.apply(make_document(20, "early"), 1);
    REQUIRE_FALSE(has_value(early));
    CHECK(failure(early).m_code == result_code::store_unavailable);
    CHECK(failure(early).m_message.ends_with("did not take effect"));
    bool is_down = false;
    // The first read of the head must work, then its write is lost.
    std::uint64_t calls = 0;
    f.m_platform.m_fault = [&](auto, std::string const& key)
    {
        auto const is_head = key.ends_with("/head");
        calls += is_head ? 1 : 0;
        is_down = is_down || calls > 2;
        return is_down                 ? fault::down
               : is_head && calls == 2 ? fault::answer_lost
                                       : fault::none;
    };
    auto const late = f.apply(make_document(20, "late"), 1);
    REQUIRE_FALSE(has_value(late));
    CHECK(failure(late).m_message.find("may have taken effect") !=
          std::string::npos);
    CHECK(f.m_log.has("late"));
}

// Guards against a store that grows without bound, and against pruning that
// takes parts which a kept head still names.
TEST_CASE("the history keeps the last heads and prunes what only older named")
{
    fixture f({.m_kept_heads = 3});
    for (int i = 0; i < 12; ++i)
    {
        // Every fourth document brings the parts of an older one back.
        f.must_apply(100 * (i % 4 == 3 ? 0 : i), static_cast<std::uint64_t>(i));
    }
    CHECK_FALSE(f.m_log.m_is_broken);
    std::optional<result<std::vector<config::document_head>>> heads;
    f.m_store->history([&](auto r) { heads = std::move(r); });
    f.m_platform.run();
    REQUIRE(has_value(*heads));
    REQUIRE(value(*heads).size() == 3);
    CHECK(value(*heads).front().m_generation == 12);
    std::size_t full_parts = 0;
    for (auto const& [key, entry] : f.m_platform.m_entries)
    {
        full_parts += key.find("/parts/") != std::string::npos &&
                              !entry.m_versions.back().m_value.empty()
                          ? 1
                          : 0;
    }
    // Three documents of two services with the shared first part, and the
    // two parts of the document that was dropped by the last change.
    CHECK(full_parts <= 9);
    for (auto const& head : value(*heads))
    {
        CHECK(head_log::is_whole(f.m_platform, head));
    }
}

// Guards against damaged values that reach a host or stop later changes.
TEST_CASE("a damaged part is reported and the next apply writes it again")
{
    fixture f;
    f.must_apply(10, 0);
    auto const hash = f.m_log.m_heads.back().m_parts[1];
    auto& versions =
        f.m_platform.m_entries["hawthornspur/parts/" + hash].m_versions;
    versions.push_back({"{}", ++f.m_platform.m_revision});
    f.m_platform.m_entries["hawthornspur/history"].m_versions.push_back(
        {"[[[", ++f.m_platform.m_revision});
    auto const damaged = f.load_fresh();
    REQUIRE_FALSE(has_value(damaged));
    CHECK(failure(damaged).m_code == result_code::store_answer_malformed);
    f.m_log.m_is_broken = false;
    auto const outcome = f.apply(make_document(10, "again"), 1);
    REQUIRE(has_value(outcome));
    CHECK(value(outcome).m_is_in_history);
    CHECK(has_value(f.load_fresh()));
}

// Guards against a host that does not learn of a change because its watch
// stopped answering, and against one that takes the end of a wait for a change.
TEST_CASE("a watch reports changes, silence and the end of its wait")
{
    fixture f;
    f.must_apply(10, 0);
    auto const revision = value(f.load()).m_head_revision;
    std::vector<result<loaded_configuration>> seen;
    auto const note = [&](auto r)
    {
        seen.push_back(std::move(r));
    };
    f.m_store->watch(revision, seconds(1), note);
    f.m_platform.run();
    f.m_store->watch(revision, seconds(10), note);
    auto const other = configuration_store::create(f.m_limiter->calls(), {});
    other->apply(make_document(20, "c1"), 1, [](auto const&) {});
    f.m_platform.run();
    f.m_platform.m_fault = [](auto, auto const&)
    {
        return fault::silent;
    };
    f.m_store->watch(revision, seconds(10), note);
    f.m_platform.run();
    REQUIRE(seen.size() == 3);
    CHECK(failure(seen[0]).m_code == result_code::not_found);
    REQUIRE(has_value(seen[1]));
    CHECK(value(seen[1]).m_document.m_generation == 2);
    CHECK(failure(seen[2]).m_code == result_code::store_unavailable);
}

namespace
{

/// An operator who changes the configuration again and again on the newest
/// generation that it has seen.
struct racing_writer
{
    std::unique_ptr<call_limiter> m_limiter;
    std::unique_ptr<configuration_store> m_store;
    std::mt19937_64* m_random = nullptr;
    int m_left = 0;
    int m_number = 0;
    std::vector<std::string> m_stored;
    std::vector<std::string> m_refused;

    void go_on(std::uint64_t based_on)
    {
        if (m_left-- == 0)
        {
            return;
        }
        auto const id =
            "w" + std::to_string(m_number) + "-" + std::to_string(m_left);
        auto const document = static_cast<int>((*m_random)() % 4) * 10;
        m_store->apply(make_document(document, id), based_on,
                       [this, id, based_on](result<apply_result> outcome)
                       {
                           if (!has_value(outcome))
                           {
                               go_on(based_on);
                               return;
                           }
                           auto const is_stored = value(outcome).m_outcome ==
                                                  apply_outcome::stored;
                           (is_stored ? m_stored : m_refused).push_back(id);
                           go_on(value(outcome).m_generation);
                       });
    }
};

} // namespace

// Guards against changes that overwrite each other, are reported wrongly or
// leave a head whose parts another writer pruned, under any order of calls
// and any mixture of faults.
TEST_CASE("racing writers and faults never lose or invent a change")
{
    CHECK(rc::check(
        [](std::uint64_t seed)
        {
            std::mt19937_64 random(seed);
            fixture f;
            f.m_platform.m_delay = [&]
            {
                return core::duration(milliseconds(random() % 50));
            };
            f.m_platform.m_fault = [&](auto, auto const&)
            {
                constexpr std::uint64_t kinds = 7;
                return random() % 8 == 0 ? static_cast<fault>(random() % kinds)
                                         : fault::none;
            };
            std::vector<racing_writer> writers(3);
            for (auto& writer : writers)
            {
                writer.m_number = static_cast<int>(&writer - writers.data());
                writer.m_limiter = call_limiter::create(
                    f.m_platform.make_calls(), f.m_platform.make_scheduler(),
                    {.m_calls_per_second = 1000, .m_burst = 1000}, random());
                // Few kept heads make pruning race with the writers.
                writer.m_store = configuration_store::create(
                    writer.m_limiter->calls(),
                    {.m_kept_heads = 2, .m_attempts = 4});
                writer.m_random = &random;
                writer.m_left = 8;
                writer.go_on(0);
            }
            f.m_platform.run();
            RC_ASSERT_FALSE(f.m_log.m_is_broken);
            for (std::size_t i = 0; i < f.m_log.m_heads.size(); ++i)
            {
                RC_ASSERT(f.m_log.m_heads[i].m_generation == i + 1);
            }
            for (auto const& writer : writers)
            {
                RC_ASSERT(std::all_of(
                    writer.m_stored.begin(), writer.m_stored.end(),
                    [&](auto const& id) { return f.m_log.has(id); }));
                RC_ASSERT(std::none_of(
                    writer.m_refused.begin(), writer.m_refused.end(),
                    [&](auto const& id) { return f.m_log.has(id); }));
            }
        }));
}

} // namespace hawthornspur::platform
