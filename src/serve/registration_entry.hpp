#ifndef HAWTHORNSPUR_SERVE_REGISTRATION_ENTRY_HPP
#define HAWTHORNSPUR_SERVE_REGISTRATION_ENTRY_HPP

#include "platform/platform_calls.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace hawthornspur::serve
{

struct entry_host;

/// What a host writes to the store to be found by the others.
std::string write_registration_entry(entry_host const& host);

/// Nothing for an entry that cannot be read.
std::optional<platform::listed_host>
read_registration_entry(std::string_view text);

} // namespace hawthornspur::serve

#endif
