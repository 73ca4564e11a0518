#include "core/configuration_state.hpp"
#include "core/models/cluster.hpp"
#include "core/ownership.hpp"

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>

namespace hawthornspur::core
{

namespace
{

std::shared_ptr<configuration const> make_document(std::uint64_t generation,
                                                   std::string change_id)
{
    auto document = std::make_shared<configuration>();
    document->m_generation = generation;
    document->m_change_id = std::move(change_id);
    return document;
}

bool all_hosts_have_newest(models::simulated_cluster const& cluster)
{
    return std::all_of(cluster.m_hosts.begin(), cluster.m_hosts.end(),
                       [&](models::cluster_host const& host)
                       {
                           return host.m_configuration.m_in_force ==
                                  cluster.m_store.m_accepted.back();
                       });
}

} // namespace

// Guards against a change after a restore of the store that hosts discard as
// old, since they have a lost one in force.
TEST_CASE("the first change of an epoch is newer than all of earlier epochs")
{
    CHECK(next_generation(0, 0) == 1);
    CHECK(next_generation(6, 1) == 7);
    constexpr std::uint64_t lost = 9;
    auto const second = next_generation(4, 2);
    CHECK(second > lost);
    CHECK(next_generation(second, 2) == second + 1);
    // The store comes back from a copy of the first epoch once more.
    CHECK(next_generation(4, 3) > second + lost);
}

// Guards against a host that returns to an older document, or replaces the
// document of a generation by another one, after stale or conflicting offers.
TEST_CASE("the generation in force never reverts")
{
    CHECK(rc::check(
        []
        {
            auto const range = rc::gen::inRange<std::uint64_t>(1, 8);
            auto const offers = *rc::gen::container<
                std::vector<std::tuple<std::uint64_t, std::uint64_t, bool>>>(
                rc::gen::tuple(range, range, rc::gen::arbitrary<bool>()));
            configuration_state state;
            std::map<std::uint64_t, std::string> change_ids;
            std::uint64_t previous = 0;
            std::uint64_t highest_offered = 0;
            for (auto const& [generation, change, is_valid] : offers)
            {
                (void)record_announced_generation(state, generation);
                if (is_valid)
                {
                    highest_offered = std::max(highest_offered, generation);
                    offer(state,
                          make_document(generation, std::to_string(change)));
                }
                else
                {
                    record_rejected_document(state, generation);
                }
                if (state.m_in_force == nullptr)
                {
                    continue;
                }
                auto const current = state.m_in_force->m_generation;
                RC_ASSERT(current >= previous);
                RC_ASSERT(current == highest_offered);
                previous = current;
                auto const [entry, is_new] =
                    change_ids.emplace(current, state.m_in_force->m_change_id);
                RC_ASSERT(entry->second == state.m_in_force->m_change_id);
            }
        }));
}

// Guards against documents that are accepted although they are stale or
// conflicting, and against discarded documents that are not counted.
TEST_CASE("offer() reports accepted, repeated, stale and conflicting documents")
{
    configuration_state state;
    CHECK(!is_current(state));
    CHECK(offer(state, make_document(4, "a"), configuration_source::peer) ==
          offer_result::in_force);
    CHECK(state.m_source == configuration_source::peer);
    CHECK(offer(state, make_document(4, "a")) == offer_result::same);
    CHECK(offer(state, make_document(4, "b")) == offer_result::conflicting);
    CHECK(offer(state, make_document(3, "c")) == offer_result::stale);
    CHECK(state.m_in_force->m_change_id == "a");
    CHECK(state.m_conflicting_offers == 1);
    CHECK(state.m_stale_offers == 1);
    CHECK(is_current(state));
    CHECK(!record_announced_generation(state, 4));
    CHECK(record_announced_generation(state, 5));
    CHECK(!is_current(state));
}

// Guards against a rejected document that is fetched again for every message
// of every peer, and against one that blocks the documents after it.
TEST_CASE("a rejected generation is not fetched again, other ones are")
{
    configuration_state state;
    offer(state, make_document(4, "a"));
    CHECK(record_announced_generation(state, 900));
    record_rejected_document(state, 900);
    CHECK(!record_announced_generation(state, 900));
    CHECK(is_current(state));
    CHECK(record_announced_generation(state, 5));
    CHECK(offer(state, make_document(5, "b")) == offer_result::in_force);
}

// Guards against zones in which too many hosts, or none, watch the store.
TEST_CASE("two hosts of each zone, or its only one, watch the store")
{
    std::vector<owner_candidate> hosts;
    for (int i = 0; i < 9; ++i)
    {
        hosts.push_back({"h" + std::to_string(i), i < 8 ? "a" : "b"});
    }
    auto const count =
        std::count_if(hosts.begin(), hosts.end(),
                      [&](owner_candidate const& host)
                      { return is_watcher(host.m_name, host.m_zone, hosts); });
    CHECK(count == 3);
}

// Guards against hosts that receive a change only from the store, which may be
// down. The bound is that of design section 1 for a healthy system.
TEST_CASE("a document that one host has read reaches all hosts within 5 s")
{
    for (std::size_t const count : {5U, 19U, 100U})
    {
        CAPTURE(count);
        auto cluster = models::make_cluster(
            {.m_hosts = count, .m_zones = count == 100 ? 8U : 3U});
        models::run(cluster, std::chrono::seconds(15));
        CHECK(models::submit(cluster, 1, "second"));
        // The store fails as soon as one host has read the change.
        while (std::none_of(cluster.m_hosts.begin(), cluster.m_hosts.end(),
                            [&](models::cluster_host const& host)
                            {
                                return host.m_configuration.m_in_force ==
                                       cluster.m_store.m_accepted.back();
                            }))
        {
            models::run(cluster, std::chrono::milliseconds(1));
        }
        cluster.m_store.m_is_up = false;
        models::run(cluster, std::chrono::seconds(5));
        CHECK(all_hosts_have_newest(cluster));
        CHECK(cluster.m_violations == std::vector<std::string>{});
    }
}

// Guards against a change that every host has to read from a slow store. The
// bound is that of design section 1 for a slow store and a third of the hosts
// replaced.
TEST_CASE("a slow store and restarted hosts delay a change by at most 16 s")
{
    auto cluster = models::make_cluster({.m_hosts = 18});
    models::run(cluster, std::chrono::seconds(15));
    for (std::size_t i = 0; i < 18; i += 3)
    {
        models::kill_host(cluster, i + i / 3 % 3);
    }
    cluster.m_store.m_answer_time = std::chrono::seconds(5);
    CHECK(models::submit(cluster, 1, "second"));
    for (std::size_t i = 0; i < 18; ++i)
    {
        models::start_host(cluster, i);
    }
    models::run(cluster, std::chrono::seconds(16));
    CHECK(all_hosts_have_newest(cluster));
    CHECK(cluster.m_violations == std::vector<std::string>{});
}

} // namespace hawthornspur::core
