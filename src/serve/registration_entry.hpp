#ifndef HAWTHORNSPUR_SERVE_REGISTRATION_ENTRY_HPP
#define HAWTHORNSPUR_SERVE_REGISTRATION_ENTRY_HPP

#include "platform/platform_calls.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace hawthornspur::serve
{

struct entry_host;

/// Returns the entry with which a host registers in the store.
std::string format_registration_entry(entry_host const& host);

/// Parses the entry of a host; returns nothing if it is malformed.
std::optional<platform::listed_host>
parse_registration_entry(std::string_view text);

} // namespace hawthornspur::serve

#endif
