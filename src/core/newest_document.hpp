#ifndef HAWTHORNSPUR_CORE_NEWEST_DOCUMENT_HPP
#define HAWTHORNSPUR_CORE_NEWEST_DOCUMENT_HPP

#include "core/time.hpp"

#include <compare>
#include <cstdint>
#include <optional>

namespace hawthornspur::core
{

/// Where a version of the document stands in the history of the store. Ordered
/// by age.
struct document_position
{
    std::uint64_t m_epoch = 0;
    std::uint64_t m_revision = 0;

    friend auto operator<=>(document_position const&,
                            document_position const&) = default;
};

/// Whether the newest version of the document in the store, as far as this host
/// knows, is the one that it has in force. If not, the host does not know which
/// access keys operators have withdrawn: the version may be unreadable,
/// removed, or older than the one in force because the store came back from an
/// earlier state.
struct newest_document
{
    /// The newest version that this host has read.
    std::optional<document_position> m_read;
    /// The newest version that is not in force, if nothing newer is.
    std::optional<document_position> m_unused;
    /// Time at which m_unused became known.
    time_point m_unused_since{};
    /// The newest version that another host has read and put in force, and its
    /// generation.
    std::optional<document_position> m_used_elsewhere;
    std::uint64_t m_generation_elsewhere = 0;
};

/// Records a version that the store named as its newest at some time before
/// `now`. Returns whether the host has come into doubt by it, or into doubt
/// about another version.
bool record_read_document(newest_document& newest, document_position position,
                          bool is_in_force, time_point now);

/// Records that another host has read a version that it could not put in force.
/// Returns whether this host has come into doubt by it: it has read nothing as
/// new itself, and no other host has put a later version in force.
bool record_reported_document(newest_document& newest,
                              document_position position, time_point now);

/// Records that another host has read a version and has it in force as this
/// generation.
void record_used_document(newest_document& newest, document_position position,
                          std::uint64_t generation);

/// Ends the doubt if another host has put a later version in force that this
/// host has in force too. To be called when either may have changed.
void settle_doubt(newest_document& newest, std::uint64_t generation_in_force);

/// Records that the document in force was the store's newest one at `time`.
void record_confirmed_document(newest_document& newest, time_point time);

/// Records that the store came back from an earlier state. Positions from
/// before are not comparable with later ones.
void record_restored_store(newest_document& newest);

/// Whether access keys must not be used, and the document in force must not be
/// confirmed to other hosts.
bool is_in_doubt(newest_document const& newest) noexcept;

} // namespace hawthornspur::core

#endif
