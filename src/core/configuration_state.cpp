#include "core/configuration_state.hpp"

#include "core/ownership.hpp"

#include <algorithm>
#include <cassert>
#include <utility>

namespace hawthornspur::core
{

namespace
{

// More changes than one epoch of the store sees in centuries.
constexpr std::uint64_t generations_per_epoch = 1'000'000'000;

} // namespace

offer_result offer(configuration_state& state,
                   std::shared_ptr<configuration const> document,
                   configuration_source source)
{
    assert(document != nullptr);
    state.m_newest_generation =
        std::max(state.m_newest_generation, document->m_generation);
    if (state.m_in_force == nullptr ||
        document->m_generation > state.m_in_force->m_generation)
    {
        state.m_in_force = std::move(document);
        state.m_source = source;
        return offer_result::in_force;
    }
    if (document->m_generation < state.m_in_force->m_generation)
    {
        ++state.m_stale_offers;
        return offer_result::stale;
    }
    if (document->m_change_id != state.m_in_force->m_change_id)
    {
        ++state.m_conflicting_offers;
        return offer_result::conflicting;
    }
    return offer_result::same;
}

std::uint64_t next_generation(std::uint64_t based_on,
                              std::uint64_t epoch) noexcept
{
    auto const first = epoch > 1 ? (epoch - 1) * generations_per_epoch : 0;
    return std::max(based_on, first) + 1;
}

bool record_announced_generation(configuration_state& state,
                                 std::uint64_t generation)
{
    state.m_newest_generation = std::max(state.m_newest_generation, generation);
    // Compared for equality: a rejected document with a far too high generation
    // must not prevent the host from fetching the ones that follow.
    return generation != state.m_rejected_generation &&
           (state.m_in_force == nullptr ||
            generation > state.m_in_force->m_generation);
}

void record_rejected_document(configuration_state& state,
                              std::uint64_t generation)
{
    ++state.m_rejected_documents;
    state.m_rejected_generation = generation;
}

bool is_current(configuration_state const& state) noexcept
{
    return state.m_in_force != nullptr &&
           (state.m_in_force->m_generation >= state.m_newest_generation ||
            state.m_newest_generation == state.m_rejected_generation);
}

bool is_watcher(std::string const& host, std::string const& zone,
                std::vector<owner_candidate> const& hosts, std::size_t watchers)
{
    static constexpr std::string_view key = "configuration-watcher";
    auto const own_weight = rendezvous_weight(key, host);
    auto const predecessors = std::count_if(
        hosts.begin(), hosts.end(),
        [&](owner_candidate const& other)
        {
            return other.m_zone == zone && other.m_name != host &&
                   rendezvous_weight(key, other.m_name) > own_weight;
        });
    return static_cast<std::size_t>(predecessors) < watchers;
}

} // namespace hawthornspur::core
