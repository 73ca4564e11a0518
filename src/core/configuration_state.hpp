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

/// Where a document was received from.
enum class configuration_source : std::uint8_t
{
    store,
    peer,
};

enum class offer_result : std::uint8_t
{
    /// The document replaced the one in force.
    in_force,
    /// The document is the one in force already.
    same,
    /// Discarded: older than the one in force. A host never returns to an older
    /// generation.
    stale,
    /// Discarded: same generation as the one in force, but another change id.
    conflicting,
};

/// The configuration in force on one host, and the generations announced to it.
struct configuration_state
{
    /// Null until the first document is accepted. Requests share ownership, so
    /// that each one ends under the configuration with which it started.
    std::shared_ptr<configuration const> m_in_force;
    configuration_source m_source = configuration_source::store;
    /// Highest generation that was offered or announced.
    std::uint64_t m_newest_generation = 0;
    /// Generation of the last document that failed validation; 0 if unknown.
    std::uint64_t m_rejected_generation = 0;
    std::uint64_t m_stale_offers = 0;
    std::uint64_t m_conflicting_offers = 0;
    std::uint64_t m_rejected_documents = 0;
};

/// Puts a validated document in force if it is newer than the current one.
offer_result offer(configuration_state& state,
                   std::shared_ptr<configuration const> document,
                   configuration_source source = configuration_source::store);

/// The generation of a change to `based_on`, stored in an epoch of the store,
/// which counts from 1 (0: unknown). Hosts may have generations in force that
/// the store has lost; the first change of an epoch exceeds all of these.
std::uint64_t next_generation(std::uint64_t based_on,
                              std::uint64_t epoch) noexcept;

/// Records a generation that a peer announced. Returns true if its document
/// should be fetched from the peer: it is newer than the one in force and was
/// not rejected. A rejected document would otherwise be fetched again for each
/// message of each peer. Regular reads of the store are not affected.
bool record_announced_generation(configuration_state& state,
                                 std::uint64_t generation);

/// Records a document that failed validation; `generation` is 0 if unknown.
void record_rejected_document(configuration_state& state,
                              std::uint64_t generation);

/// True if a document is in force and no newer one is known, apart from a
/// rejected one. A starting host is not ready until then.
bool is_current(configuration_state const& state) noexcept;

/// True if the host watches the store. The first `watchers` hosts of each zone
/// in rendezvous order do; the others receive changes from their peers.
bool is_watcher(std::string const& host, std::string const& zone,
                std::vector<owner_candidate> const& hosts,
                std::size_t watchers = 2);

} // namespace hawthornspur::core

#endif
