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
    /// Entries of lists are named instead of numbered, so that an entry
    /// inserted before others is one change: "services[map].max_queue".
    std::string m_path;
    /// Values as JSON; empty on the side where there is none.
    std::string m_old;
    std::string m_new;
};

/// All differences but generation and change id, in document order. A changed
/// order of kinds is reported, since the first matching kind applies.
std::vector<field_change> find_differences(core::configuration const& before,
                                           core::configuration const& after);

/// One line per difference: "+ path: new", "- path: old" or
/// "~ path: old -> new".
std::string describe(std::vector<field_change> const& changes);

} // namespace hawthornspur::config

#endif
