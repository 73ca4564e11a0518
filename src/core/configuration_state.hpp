#ifndef HAWTHORNSPUR_CORE_CONFIGURATION_STATE_HPP
#define HAWTHORNSPUR_CORE_CONFIGURATION_STATE_HPP

#include "core/configuration.hpp"
#include "core/time.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace hawthornspur::core
{

struct owner_candidate;

/// Where a document came from, for counters and `status`.
enum class configuration_source : std::uint8_t
{
    store,
    peer,
};

enum class offer_result : std::uint8_t
{
    in_force,
    same,
    /// Older than the one in force: not taken, since hosts only move forward.
    stale,
    /// The same generation with another change id: not taken and counted,
    /// since a generation names one document.
    conflicting,
};

/// The configuration in force on one host and what it knows about newer ones.
struct configuration_state
{
    /// Requests hold a reference, so that they finish under the rules they
    /// started with.
    std::shared_ptr<configuration const> m_in_force;
    configuration_source m_source = configuration_source::store;
    std::uint64_t m_newest_generation = 0;
    /// The stored generation that failed the check last.
    std::uint64_t m_rejected_generation = 0;
    std::uint64_t m_stale_offers = 0;
    std::uint64_t m_conflicting_offers = 0;
    std::uint64_t m_rejected_documents = 0;
};

/// Offers a checked document.
offer_result offer(configuration_state& state,
                   std::shared_ptr<configuration const> document,
                   configuration_source source = configuration_source::store);

/// Notes that a peer announced a generation. Returns true when it is newer
/// than the one in force, so that the document should be fetched. A generation
/// that failed the check is not fetched from peers again, since each message of
/// each peer announces it; the regular read of the store still offers it.
bool record_announced_generation(configuration_state& state,
                                 std::uint64_t generation);

/// Notes a stored document that failed the check.
void record_rejected_document(configuration_state& state,
                              std::uint64_t generation);

/// Whether a document is in force and no newer one is known but a rejected one.
/// A host that starts is not ready before.
bool is_current(configuration_state const& state) noexcept;

/// Whether a host watches the store: the first `watchers` of its zone in
/// rendezvous order do, the others hear of changes from them.
bool is_watcher(std::string const& host, std::string const& zone,
                std::vector<owner_candidate> const& hosts,
                std::size_t watchers = 2);

} // namespace hawthornspur::core

#endif
