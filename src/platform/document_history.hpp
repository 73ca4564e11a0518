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

/// The newest heads, and the parts that no kept head names any more. The
/// platform cannot list keys, so parts to be pruned have to be remembered.
struct document_history
{
    /// Newest first.
    std::vector<config::document_head> m_heads;
    std::vector<std::string> m_retired;
};

config::parse_result<document_history> parse_history(std::string_view text);
std::string print_history(document_history const& history);

/// Adds a head unless its generation is kept already, drops the oldest ones
/// beyond `most` and retires the parts that only those named. A part that is
/// named again is no longer retired.
void add_head(document_history& history, config::document_head const& head,
              std::size_t most);

/// The parts that kept heads name.
std::set<std::string> named_parts(document_history const& history);

/// The kept head of a generation, or null.
config::document_head const* find_head(document_history const& history,
                                       std::uint64_t generation) noexcept;

} // namespace hawthornspur::platform

#endif
