#ifndef HAWTHORNSPUR_PLATFORM_DOCUMENT_HISTORY_HPP
#define HAWTHORNSPUR_PLATFORM_DOCUMENT_HISTORY_HPP

#include "config/document.hpp"

#include <cstddef>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace hawthornspur::platform
{

/// The newest heads and the retired parts, which none of them references. The
/// platform cannot list keys, so the parts to be pruned are recorded here.
struct document_history
{
    /// Newest first.
    std::vector<config::document_head> m_heads;
    std::vector<std::string> m_retired_parts;
};

config::parse_result<document_history> parse_history(std::string_view text);
std::string print_history(document_history const& history);

/// Adds a head unless its generation is present, removes the oldest heads
/// beyond `max_heads` and retires the parts that only they referenced. A part
/// that is referenced again is no longer retired.
void add_head(document_history& history, config::document_head const& head,
              std::size_t max_heads);

/// Hashes of the parts that the heads in the history reference.
std::set<std::string> referenced_parts(document_history const& history);

/// The head of a generation, or null if it is not in the history.
config::document_head const* find_head(document_history const& history,
                                       std::uint64_t generation) noexcept;

} // namespace hawthornspur::platform

#endif
