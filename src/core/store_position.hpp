#ifndef HAWTHORNSPUR_CORE_STORE_POSITION_HPP
#define HAWTHORNSPUR_CORE_STORE_POSITION_HPP

#include <cstdint>
#include <optional>

namespace hawthornspur::core
{

/// How far a host has read the history of a store. Each time the store comes
/// back from an earlier state, a new epoch begins, in which it gives out
/// revisions again. A store that does not tell its epoch has epoch 0 always.
struct store_position
{
    std::uint64_t m_epoch = 0;
    /// Revision up to which changes are known; nothing before the first read.
    std::optional<std::uint64_t> m_revision;
};

/// What a read says about the store, compared with a position in its history.
enum class read_order : std::uint8_t
{
    /// At least as new as the position.
    current,
    /// Older than the position: a stale copy, or a late answer of an earlier
    /// epoch.
    outdated,
    /// The store has come back from an earlier state. What was read before is
    /// no base for further reads, and what was written since may be lost.
    restored,
};

/// Compares a read as of `revision` in `epoch` with the position. A read that
/// may be stale does not show that a store without epochs went back.
read_order compare_read(store_position const& known, std::uint64_t epoch,
                        std::uint64_t revision, bool may_be_stale) noexcept;

} // namespace hawthornspur::core

#endif
