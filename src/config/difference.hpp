#ifndef HAWTHORNSPUR_CONFIG_DIFFERENCE_HPP
#define HAWTHORNSPUR_CONFIG_DIFFERENCE_HPP

#include "core/configuration.hpp"

#include <cstdint>
#include <string>
#include <vector>

namespace hawthornspur::config
{

enum class change_kind : std::uint8_t
{
    added,
    removed,
    changed,
};

/// One difference between two documents.
struct field_change
{
    change_kind m_kind = change_kind::changed;
    /// For example "services[map].max_queue". Entries of lists are identified
    /// by name rather than by index, so that an inserted entry is one change.
    std::string m_path;
    /// Old value as JSON; empty for an added field.
    std::string m_old;
    /// New value as JSON; empty for a removed field.
    std::string m_new;
};

/// Returns the differences in document order, except for generation and change
/// id. A changed order of kinds is a difference, since the first matching kind
/// applies.
std::vector<field_change> find_differences(core::configuration const& before,
                                           core::configuration const& after);

/// One line per difference: "+ path: new", "- path: old" or
/// "~ path: old -> new".
std::string describe(std::vector<field_change> const& changes);

} // namespace hawthornspur::config

#endif
