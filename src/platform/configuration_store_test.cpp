#include "core/configuration_state.hpp"
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

/// A document whose two services depend on `number`. Reusing a number reuses
/// its parts.
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

/// Records every head that took effect and checks that its parts are stored.
struct head_log
{
    std::vector<config::document_head> m_heads;
    bool m_has_missing_parts = false;

    void record_writes(fake_platform& platform)
    {
        platform.m_on_write =
            [this, &platform](std::string const& key, std::string const& value)
        {
            if (key.ends_with("/head"))
            {
                m_heads.push_back(
                    std::get<config::document_head>(config::parse_head(value)));
            }
            m_has_missing_parts =
                m_has_missing_parts ||
                (!m_heads.empty() && !has_all_parts(platform, m_heads.back()));
        };
    }

    static bool has_all_parts(fake_platform const& platform,
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

    bool contains(std::string const& change_id) const
    {
        return std::any_of(m_heads.begin(), m_heads.end(),
                           [&](auto const& head)
                           { return head.m_change_id == change_id; });
    }
};

struct store_fixture
{
    fake_platform m_platform;
    std::unique_ptr<call_limiter> m_limiter;
    std::unique_ptr<configuration_store> m_store;
    head_log m_log;

    explicit store_fixture(configuration_store_settings settings = {})
        : m_limiter(call_limiter::create(
              m_platform.make_calls(), m_platform.make_scheduler(),
              {.m_calls_per_second = 1000, .m_burst = 1000}, 1))
        , m_store(configuration_store::create(m_limiter->calls(), settings))
    {
        m_log.record_writes(m_platform);
    }

    result<apply_result> apply(core::configuration document,
                               std::uint64_t based_on)
    {
        std::optional<result<apply_result>> answer;
        m_store->apply(std::move(document), based_on,
                       [&](auto result) { answer = std::move(result); });
        m_platform.run();
        REQUIRE(answer.has_value());
        return *answer;
    }

    void require_apply(int number, std::uint64_t based_on)
    {
        auto const outcome = apply(
            make_document(number, "c" + std::to_string(based_on)), based_on);
        REQUIRE(has_value(outcome));
        REQUIRE(value(outcome).m_outcome == apply_outcome::stored);
    }

    result<loaded_configuration> load()
    {
        std::optional<result<loaded_configuration>> answer;
        m_store->load([&](auto result) { answer = std::move(result); });
        m_platform.run();
        REQUIRE(answer.has_value());
        return *answer;
    }

    /// Loads as a new process does, without cached parts.
    result<loaded_configuration> load_without_cache()
    {
        m_store = configuration_store::create(m_limiter->calls(), {});
        return load();
    }
};

} // namespace

// Guards against documents that are altered by storing them, and against cached
// parts that are fetched again.
TEST_CASE("a stored document is loaded with only the missing parts")
{
    store_fixture fixture;
    CHECK(failure(fixture.load()).m_code == result_code::not_found);
    fixture.require_apply(10, 0);
    auto const first = fixture.load_without_cache();
    REQUIRE(has_value(first));
    auto expected = make_document(10, "c0");
    expected.m_generation = 1;
    CHECK(config::print_document(value(first).m_document) ==
          config::print_document(expected));
    CHECK(fixture.m_store->counters().m_parts_fetched == 3);
    auto const other =
        configuration_store::create(fixture.m_limiter->calls(), {});
    std::optional<result<apply_result>> changed;
    // 11 / 2 is 10 / 2, so the second service keeps its part.
    other->apply(make_document(11, "c1"), 1,
                 [&](auto result) { changed = std::move(result); });
    fixture.m_platform.run();
    REQUIRE(has_value(*changed));
    auto const second = fixture.load();
    REQUIRE(has_value(second));
    CHECK(value(second).m_document.m_services[0].m_max_queue == 11);
    CHECK(fixture.m_store->counters().m_parts_fetched == 4);
}

// Guards against an operator who unknowingly overwrites another one's change.
TEST_CASE("a change that is based on an older generation is a conflict")
{
    store_fixture fixture;
    fixture.require_apply(10, 0);
    fixture.require_apply(12, 1);
    auto const late = fixture.apply(make_document(14, "late"), 1);
    REQUIRE(has_value(late));
    CHECK(value(late).m_outcome == apply_outcome::conflict);
    CHECK(value(late).m_generation == 2);
    REQUIRE(value(late).m_stored.has_value());
    CHECK(value(late).m_stored->m_services[0].m_max_queue == 12);
    CHECK_FALSE(fixture.m_log.contains("late"));
    // The base of both changes is still stored, for a comparison.
    std::optional<result<core::configuration>> base;
    fixture.m_store->load_generation(1, [&](auto result)
                                     { base = std::move(result); });
    fixture.m_platform.run();
    REQUIRE(has_value(*base));
    CHECK(value(*base).m_services[0].m_max_queue == 10);
}

// Guards against a confirmed change that hosts discard as old after the store
// has lost the changes that they have in force.
TEST_CASE("a change after a restore of the store is newer than the lost ones")
{
    store_fixture fixture;
    fixture.require_apply(10, 0);
    auto const restored_revision = fixture.m_platform.m_revision;
    fixture.require_apply(11, 1);
    fixture.require_apply(12, 2);
    fixture.m_platform.restore(restored_revision);
    auto const outcome = fixture.apply(make_document(13, "after"), 1);
    REQUIRE(has_value(outcome));
    CHECK(value(outcome).m_outcome == apply_outcome::stored);
    CHECK(value(outcome).m_generation > 3);
    auto const loaded = fixture.load_without_cache();
    REQUIRE(has_value(loaded));
    CHECK(value(loaded).m_document.m_generation == value(outcome).m_generation);
}

// Guards against a write that overwrites another change, because the store has
// given out again the revision that the writer had read.
TEST_CASE("a write based on a read from before a restore is a conflict")
{
    store_fixture fixture;
    fixture.require_apply(10, 0);
    auto const restored_revision = fixture.m_platform.m_revision;
    fixture.require_apply(11, 1);
    auto const head_revision =
        fixture.m_platform.newest("hawthornspur/head")->m_version.m_revision;
    std::uint64_t head_calls = 0;
    fixture.m_platform.m_choose_fault = [&](auto, std::string const& key)
    {
        // The second call on the head is the write.
        if (key.ends_with("/head") && ++head_calls == 2)
        {
            auto& platform = fixture.m_platform;
            platform.restore(restored_revision);
            auto head = std::get<config::document_head>(
                config::parse_head(platform.newest(key)->m_value));
            head.m_generation = core::next_generation(1, platform.m_epoch);
            head.m_change_id = "other";
            platform.m_entries[key].m_versions.push_back(
                {config::print_head(head), {head_revision, 0}});
            platform.m_revision = head_revision;
        }
        return fault::none;
    };
    auto const outcome = fixture.apply(make_document(14, "late"), 2);
    REQUIRE(has_value(outcome));
    CHECK(value(outcome).m_outcome == apply_outcome::conflict);
    CHECK_FALSE(fixture.m_log.contains("late"));
}

// Guards against storing a document that every host would reject.
TEST_CASE("an invalid document is not stored")
{
    store_fixture fixture;
    auto document = make_document(1, "bad");
    document.m_services[1].m_name = document.m_services[0].m_name;
    auto const outcome = fixture.apply(document, 0);
    REQUIRE_FALSE(has_value(outcome));
    CHECK(failure(outcome).m_code == result_code::duplicate_name);
    CHECK(fixture.m_platform.m_call_count == 0);
}

// Guards against a fault of a single call that makes `apply` report a wrong
// result, leaves a head with missing parts, or blocks later changes.
TEST_CASE("apply reports the correct result after a fault of any one call")
{
    for (auto const kind :
         {fault::down, fault::slow, fault::stale_read, fault::answer_lost,
          fault::silent, fault::damaged_read})
    {
        for (std::uint64_t fault_index = 0; fault_index < 14; ++fault_index)
        {
            CAPTURE(static_cast<int>(kind));
            CAPTURE(fault_index);
            store_fixture fixture;
            fixture.require_apply(10, 0);
            fixture.require_apply(20, 1);
            auto const calls_before = fixture.m_platform.m_call_count;
            fixture.m_platform.m_choose_fault =
                [&](std::uint64_t call, auto const&)
            {
                return call == calls_before + fault_index ? kind : fault::none;
            };
            auto const outcome = fixture.apply(make_document(30, "new"), 2);
            fixture.m_platform.m_choose_fault = [](auto, auto const&)
            {
                return fault::none;
            };
            CHECK_FALSE(fixture.m_log.m_has_missing_parts);
            if (has_value(outcome))
            {
                CHECK(value(outcome).m_outcome == apply_outcome::stored);
                CHECK(fixture.m_log.contains("new"));
            }
            else
            {
                // Only a damaged head makes the command fail.
                CHECK(kind == fault::damaged_read);
                CHECK_FALSE(fixture.m_log.contains("new"));
            }
            auto const loaded = fixture.load_without_cache();
            REQUIRE(has_value(loaded));
            fixture.require_apply(40, value(loaded).m_document.m_generation);
        }
    }
}

// Guards against a lost answer that makes `apply` store the change twice or
// report a failure.
TEST_CASE("a lost answer is resolved by the change id of the stored head")
{
    store_fixture fixture;
    fixture.require_apply(10, 0);
    // The first call on the head reads it, the second one writes it.
    std::uint64_t head_calls = 0;
    fixture.m_platform.m_choose_fault = [&](auto, std::string const& key)
    {
        return key.ends_with("/head") && head_calls++ == 1 ? fault::answer_lost
                                                           : fault::none;
    };
    auto const outcome = fixture.apply(make_document(20, "lost"), 1);
    REQUIRE(has_value(outcome));
    CHECK(value(outcome).m_outcome == apply_outcome::stored);
    CHECK(value(outcome).m_generation == 2);
    CHECK(fixture.m_store->counters().m_answers_resolved == 1);
    CHECK(fixture.m_log.m_heads.size() == 2);
}

// Guards against an error that denies the effect of a write that may have
// taken place.
TEST_CASE("an error during an outage states whether the change may be stored")
{
    store_fixture fixture;
    fixture.require_apply(10, 0);
    fixture.m_platform.m_choose_fault = [](auto, auto const&)
    {
        return fault::down;
    };
    auto const early = fixture.apply(make_document(20, "early"), 1);
    REQUIRE_FALSE(has_value(early));
    CHECK(failure(early).m_code == result_code::store_unavailable);
    CHECK(failure(early).m_message.ends_with("did not take effect"));
    bool is_down = false;
    // The head is read, the answer to its write is lost, and the store stays
    // down from then on.
    std::uint64_t calls = 0;
    fixture.m_platform.m_choose_fault = [&](auto, std::string const& key)
    {
        auto const is_head = key.ends_with("/head");
        calls += is_head ? 1 : 0;
        is_down = is_down || calls > 2;
        return is_down                 ? fault::down
               : is_head && calls == 2 ? fault::answer_lost
                                       : fault::none;
    };
    auto const late = fixture.apply(make_document(20, "late"), 1);
    REQUIRE_FALSE(has_value(late));
    CHECK(failure(late).m_message.find("may have taken effect") !=
          std::string::npos);
    CHECK(fixture.m_log.contains("late"));
}

// Guards against a store that grows without bound, and against pruning of parts
// that a head in the history references.
TEST_CASE("the history keeps the last heads and prunes the parts of older ones")
{
    store_fixture fixture({.m_max_heads = 3});
    for (int i = 0; i < 12; ++i)
    {
        // Every fourth document reuses the parts of the first one.
        fixture.require_apply(100 * (i % 4 == 3 ? 0 : i),
                              static_cast<std::uint64_t>(i));
    }
    CHECK_FALSE(fixture.m_log.m_has_missing_parts);
    std::optional<result<std::vector<config::document_head>>> heads;
    fixture.m_store->history([&](auto result) { heads = std::move(result); });
    fixture.m_platform.run();
    REQUIRE(has_value(*heads));
    REQUIRE(value(*heads).size() == 3);
    CHECK(value(*heads).front().m_generation == 12);
    std::size_t full_parts = 0;
    for (auto const& [key, entry] : fixture.m_platform.m_entries)
    {
        full_parts += key.find("/parts/") != std::string::npos &&
                              !entry.m_versions.back().m_value.empty()
                          ? 1
                          : 0;
    }
    // Two service parts for each of three documents, the first part that they
    // share, and two parts of the document that the last change retired.
    CHECK(full_parts <= 9);
    for (auto const& head : value(*heads))
    {
        CHECK(head_log::has_all_parts(fixture.m_platform, head));
    }
}

// Guards against damaged values that reach a host or block later changes.
TEST_CASE("a damaged part is reported and the next apply writes it again")
{
    store_fixture fixture;
    fixture.require_apply(10, 0);
    auto const hash = fixture.m_log.m_heads.back().m_parts[1];
    auto& versions =
        fixture.m_platform.m_entries["hawthornspur/parts/" + hash].m_versions;
    versions.push_back({"{}", {++fixture.m_platform.m_revision, 0}});
    fixture.m_platform.m_entries["hawthornspur/history"].m_versions.push_back(
        {"[[[", {++fixture.m_platform.m_revision, 0}});
    auto const damaged = fixture.load_without_cache();
    REQUIRE_FALSE(has_value(damaged));
    CHECK(failure(damaged).m_code == result_code::store_answer_malformed);
    fixture.m_log.m_has_missing_parts = false;
    auto const outcome = fixture.apply(make_document(10, "again"), 1);
    REQUIRE(has_value(outcome));
    CHECK(value(outcome).m_is_in_history);
    CHECK(has_value(fixture.load_without_cache()));
}

// Guards against a host that misses a change because its watch is no longer
// answered, and against one that mistakes the end of a wait for a change.
TEST_CASE("a watch reports changes, a silent store and the end of its wait")
{
    store_fixture fixture;
    fixture.require_apply(10, 0);
    auto const revision = value(fixture.load()).m_head_revision;
    std::vector<result<loaded_configuration>> answers;
    auto const record = [&](auto result)
    {
        answers.push_back(std::move(result));
    };
    fixture.m_store->watch(revision, seconds(1), record);
    fixture.m_platform.run();
    fixture.m_store->watch(revision, seconds(10), record);
    auto const other =
        configuration_store::create(fixture.m_limiter->calls(), {});
    other->apply(make_document(20, "c1"), 1, [](auto const&) {});
    fixture.m_platform.run();
    fixture.m_platform.m_choose_fault = [](auto, auto const&)
    {
        return fault::silent;
    };
    fixture.m_store->watch(revision, seconds(10), record);
    fixture.m_platform.run();
    REQUIRE(answers.size() == 3);
    CHECK(failure(answers[0]).m_code == result_code::not_found);
    REQUIRE(has_value(answers[1]));
    CHECK(value(answers[1]).m_document.m_generation == 2);
    CHECK(failure(answers[2]).m_code == result_code::store_unavailable);
}

namespace
{

/// A writer that changes the configuration repeatedly, each time based on the
/// newest generation that it received.
struct concurrent_writer
{
    std::unique_ptr<call_limiter> m_limiter;
    std::unique_ptr<configuration_store> m_store;
    std::mt19937_64* m_random = nullptr;
    int m_remaining_changes = 0;
    int m_id = 0;
    std::vector<std::string> m_stored;
    std::vector<std::string> m_conflicting;

    void apply_next(std::uint64_t based_on)
    {
        if (m_remaining_changes-- == 0)
        {
            return;
        }
        auto const id = "w" + std::to_string(m_id) + "-" +
                        std::to_string(m_remaining_changes);
        auto const document = static_cast<int>((*m_random)() % 4) * 10;
        m_store->apply(make_document(document, id), based_on,
                       [this, id, based_on](result<apply_result> outcome)
                       {
                           if (!has_value(outcome))
                           {
                               apply_next(based_on);
                               return;
                           }
                           auto const is_stored = value(outcome).m_outcome ==
                                                  apply_outcome::stored;
                           (is_stored ? m_stored : m_conflicting).push_back(id);
                           apply_next(value(outcome).m_generation);
                       });
    }
};

} // namespace

// Guards against changes that overwrite each other, that are reported wrongly
// or whose parts are pruned by another writer, for any order of calls and any
// combination of faults.
TEST_CASE("concurrent writers and faults never lose a change or report a wrong "
          "result")
{
    CHECK(rc::check(
        [](std::uint64_t seed)
        {
            std::mt19937_64 random(seed);
            store_fixture fixture;
            fixture.m_platform.m_choose_delay = [&]
            {
                return core::duration(milliseconds(random() % 50));
            };
            fixture.m_platform.m_choose_fault = [&](auto, auto const&)
            {
                constexpr std::uint64_t kinds = 7;
                return random() % 8 == 0 ? static_cast<fault>(random() % kinds)
                                         : fault::none;
            };
            std::vector<concurrent_writer> writers(3);
            for (auto& writer : writers)
            {
                writer.m_id = static_cast<int>(&writer - writers.data());
                writer.m_limiter = call_limiter::create(
                    fixture.m_platform.make_calls(),
                    fixture.m_platform.make_scheduler(),
                    {.m_calls_per_second = 1000, .m_burst = 1000}, random());
                // A short history makes pruning concurrent with the writers.
                writer.m_store = configuration_store::create(
                    writer.m_limiter->calls(),
                    {.m_max_heads = 2, .m_max_attempts = 4});
                writer.m_random = &random;
                writer.m_remaining_changes = 8;
                writer.apply_next(0);
            }
            fixture.m_platform.run();
            RC_ASSERT_FALSE(fixture.m_log.m_has_missing_parts);
            for (std::size_t i = 0; i < fixture.m_log.m_heads.size(); ++i)
            {
                RC_ASSERT(fixture.m_log.m_heads[i].m_generation == i + 1);
            }
            for (auto const& writer : writers)
            {
                RC_ASSERT(std::all_of(writer.m_stored.begin(),
                                      writer.m_stored.end(),
                                      [&](auto const& id)
                                      { return fixture.m_log.contains(id); }));
                RC_ASSERT(std::none_of(writer.m_conflicting.begin(),
                                       writer.m_conflicting.end(),
                                       [&](auto const& id)
                                       { return fixture.m_log.contains(id); }));
            }
        }));
}

} // namespace hawthornspur::platform
